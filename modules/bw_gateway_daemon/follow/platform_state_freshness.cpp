// How the state keeps track of whether its configuration is current.

#include "bw_gateway_daemon/follow/platform_state.h"

#include <algorithm>

using namespace bw;

namespace {

// Random hosts asked besides the usual ones, so that proofs spread while the
// aggregators are unreachable.
constexpr std::size_t RandomTargetsNear = 1;
constexpr std::size_t RandomTargetsFar = 1;

void addMissing(std::vector<gateway_host> &Hosts,
                const std::vector<gateway_host> &More) {
  for (const gateway_host &Each : More)
    if (std::find(Hosts.begin(), Hosts.end(), Each) == Hosts.end())
      Hosts.push_back(Each);
}

} // namespace

void platform_state::updateFreshness(const std::function<void()> &Change) {
  const auto Verified = Freshness.verifiedAt();
  const config_version Newest = Freshness.newestKnown();
  Change();
  if (Freshness.verifiedAt() && Freshness.verifiedAt() != Verified)
    Decide->push(configuration_verified{.Version = Freshness.version(),
                                        .CurrentAt = *Freshness.verifiedAt()});
  if (Freshness.isNewerVersionKnown() && Freshness.newestKnown() != Newest)
    Decide->push(newer_version_known{.Version = Freshness.newestKnown()});
}

void platform_state::recordProof(config_version Version,
                                 boot_time_point SentAt) {
  const std::lock_guard Guard(Mutex);
  updateFreshness([&] { Freshness.recordStoreProof(Version, SentAt); });
}

std::vector<verification_query> platform_state::takeQueries() {
  const std::lock_guard Guard(Mutex);
  const boot_time_point BootNow = Clock.bootNow();
  const query_reach Reach = Freshness.reach(BootNow);
  if (!needsProofLocked() || Reach == query_reach::None)
    return {};
  const time_point Now = Clock.now();
  Directory.setOwnState(ownStateLocked(), Now);
  std::vector<gateway_host> Targets = Directory.verifiers(Now);
  // The aggregators have about the same proof. An aggregator itself asks all
  // followers, since the others depend on it.
  if (!Targets.empty() && !Directory.duty(Now).IsAggregator)
    Targets = {Targets[Random.below(Targets.size())]};
  if (Reach == query_reach::Everywhere)
    addMissing(Targets, Directory.randomHosts(RandomTargetsNear,
                                              RandomTargetsFar, Random));
  const auto Numbers = Freshness.startQueries(Targets.size(), BootNow);
  std::vector<verification_query> Result;
  for (std::size_t Index = 0; Index < Targets.size(); ++Index)
    Result.push_back({.To = Targets[Index], .Number = Numbers[Index]});
  return Result;
}

time_point platform_state::nextQuery() const {
  const std::lock_guard Guard(Mutex);
  const boot_time_point Due = Freshness.nextQuery();
  if (!needsProofLocked() || Due == boot_time_point::max())
    return time_point::max();
  return Clock.now() + (Due - Clock.bootNow());
}

std::optional<freshness_reply>
platform_state::answerQuery(query_number Number) const {
  const std::lock_guard Guard(Mutex);
  return Freshness.answer(Number, Clock.bootNow());
}

void platform_state::recordReply(const freshness_reply &Reply) {
  const std::lock_guard Guard(Mutex);
  updateFreshness([&] { Freshness.recordReply(Reply, Clock.bootNow()); });
}

std::optional<duration> platform_state::untilStoreRead() const {
  const std::lock_guard Guard(Mutex);
  const boot_time_point Due = Freshness.storeReadDue();
  if (!needsProofLocked() || Due == boot_time_point::max())
    return std::nullopt;
  return std::max(Due - Clock.bootNow(), duration::zero());
}

std::optional<duration> platform_state::watchLimit() const {
  const std::lock_guard Guard(Mutex);
  return needsProofLocked() ? Freshness.watchLimit(Clock.bootNow())
                            : std::nullopt;
}

bool platform_state::mayServeKeys() const {
  const std::lock_guard Guard(Mutex);
  return !needsProofLocked() || Freshness.isFresh(Clock.bootNow());
}

std::optional<duration> platform_state::proofAge() const {
  const std::lock_guard Guard(Mutex);
  return Freshness.proofAge(Clock.bootNow());
}
