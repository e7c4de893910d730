#include "bw_measurement/delivery/fault_store.h"

#include <algorithm>

using namespace bw;
using namespace std::chrono_literals;

void fault_store::scheduleOutages(time_point End) {
  const double Mean = static_cast<double>(Options.StoreOutageEvery.count());
  time_point At = Queue.now();
  while (true) {
    At += duration(static_cast<std::int64_t>(Random.exponential(Mean)));
    if (At >= End)
      return;
    const double Length = Random.exponential(
        static_cast<double>(Options.StoreOutageMean.count()));
    const time_point Until = At + duration(static_cast<std::int64_t>(Length));
    Queue.at(At, [this, Until] { AwayUntil = std::max(AwayUntil, Until); });
  }
}

claim_answer fault_store::write(const submission_identity &Identity,
                                const submission_claim &Claim) {
  const auto [Found, IsNew] = Claims.try_emplace(Identity, Claim);
  if (IsNew)
    return {claim_answer_kind::Created, Claim};
  return {claim_answer_kind::Exists, Found->second};
}

void fault_store::answer(const reply &Reply, const claim_answer &Answer) {
  Queue.after(2ms, [Reply, Answer] { Reply(Answer); });
}

void fault_store::create(const submission_identity &Identity,
                         const submission_claim &Claim, const reply &Reply) {
  if (Queue.now() < AwayUntil) {
    answer(Reply, {claim_answer_kind::Unavailable, {}});
    return;
  }
  if (!Random.chance(Options.StoreLostChance)) {
    answer(Reply, write(Identity, Claim));
    return;
  }
  // Lost before the write, after it, or the write lands long after the
  // daemon stopped waiting.
  answer(Reply, {claim_answer_kind::Lost, {}});
  const std::uint64_t Case = Random.below(3);
  if (Case == 0)
    return;
  const double Late = Random.exponential(5e9);
  const duration Delay =
      Case == 1 ? duration(0) : duration(static_cast<std::int64_t>(Late));
  Queue.after(Delay, [this, Identity, Claim] { write(Identity, Claim); });
}

void fault_store::read(const submission_identity &Identity,
                       const reply &Reply) {
  if (Queue.now() < AwayUntil) {
    answer(Reply, {claim_answer_kind::Unavailable, {}});
    return;
  }
  if (Random.chance(Options.StoreLostChance)) {
    answer(Reply, {claim_answer_kind::Lost, {}});
    return;
  }
  const auto Found = Claims.find(Identity);
  if (Found == Claims.end())
    answer(Reply, {claim_answer_kind::Absent, {}});
  else
    answer(Reply, {claim_answer_kind::Exists, Found->second});
}
