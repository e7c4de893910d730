#include "bw_limits/budgets/hedge_policy.h"

#include "bw_core/random/stable_hash.h"

#include <algorithm>

using namespace bw;

hedge_policy::hedge_policy(retry_budget &Budget, hedge_policy_options Options)
    : Budget(Budget), Options(Options) {}

// Estimates the quantile by stochastic approximation: the estimate converges
// where the share of latencies above it is one minus the quantile. Steps are
// relative to the estimate, so the same rule suits milliseconds and minutes.
// They are smaller once MinimumSamples have been recorded.
void hedge_policy::record(const service_id &Service, const request_kind &Kind,
                          duration Latency) {
  const std::uint64_t Key = keyOf(Service, Kind);
  auto Found = Kinds.find(Key);
  if (Found == Kinds.end()) {
    if (Kinds.size() >= Options.MaxKinds)
      return;
    Found = Kinds.emplace(Key, kind_entry{}).first;
  }
  kind_entry &Entry = Found->second;
  const double Sample = static_cast<double>(Latency.count());
  if (Entry.Samples++ == 0) {
    Entry.Estimate = Sample;
    return;
  }
  const double Step =
      Entry.Estimate * (Entry.Samples < Options.MinimumSamples ? 0.2 : 0.05);
  const double Quantile = Options.Quantile.value();
  Entry.Estimate +=
      Sample > Entry.Estimate ? Step * Quantile : -Step * (1 - Quantile);
}

std::optional<time_point>
hedge_policy::hedgeAt(const hedge_request &Request) const {
  if (!Request.Repeatable || Request.Long)
    return std::nullopt;
  const auto Found = Kinds.find(keyOf(Request.Service, Request.Kind));
  if (Found == Kinds.end() || Found->second.Samples < Options.MinimumSamples)
    return std::nullopt;
  const duration Delay =
      std::max(Options.MinimumDelay,
               duration(static_cast<duration::rep>(Found->second.Estimate)));
  if (Request.Deadline - Request.Started < Delay + Options.MinimumRemaining)
    return std::nullopt;
  return Request.Started + Delay;
}

bool hedge_policy::tryHedge(const hedge_request &Request, time_point Now) {
  const std::optional<time_point> From = hedgeAt(Request);
  if (!From || Now < *From)
    return false;
  if (Request.Deadline - Now < Options.MinimumRemaining)
    return false;
  return Budget.tryTake();
}

std::uint64_t hedge_policy::keyOf(const service_id &Service,
                                  const request_kind &Kind) {
  return mixHash(stableHash(Service.value()), stableHash(Kind.value()));
}
