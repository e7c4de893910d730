#include "bw_customers/freshness/configuration_freshness.h"

#include <algorithm>

using namespace bw;

namespace {

// Shares of the bound. Followers watch for at most a fifth, so their proofs are
// up to two fifths old; two hops, each up to a tenth later, keep the others
// below the share at which they read the store.
constexpr double WatchShare = 0.2;
constexpr double AskShare = 0.1;
constexpr double AskEverywhereShare = 0.4;
// Pause between the queries of a host that cannot serve requests with keys.
constexpr double AskAgainShare = 0.05;
// The same while it knows no host to ask.
constexpr double NoTargetShare = 0.01;
// A new host reads the store after this share if no host has answered.
constexpr double FirstReadShare = 0.1;
// Length of the first watch that counts after a restore, and the least length
// of those before it.
constexpr double ShortWatchShare = 0.02;
// After a restore, hosts ask others for so much of the time after which they
// otherwise read the store.
constexpr int RestoreReadDivisor = 3;
// A host asks at most some ten hosts at a time, and a query expires with the
// bound.
constexpr std::size_t MaxOpenQueries = 64;

} // namespace

configuration_freshness::configuration_freshness(
    configuration_freshness_options GivenOptions)
    : Options(GivenOptions), LastQuery(Options.FirstQuery) {}

duration configuration_freshness::share(double Share) const {
  return std::chrono::duration_cast<duration>(*Options.Bound * Share);
}

// The proof stays valid for a newer version: if no version above the old one
// existed at that time, then none above the new one did either.
void configuration_freshness::setVersion(config_version Given,
                                         boot_time_point Now) {
  if (Given <= Version)
    return;
  if (Version == config_version())
    Since = Now;
  Version = Given;
  NewestKnown = std::max(NewestKnown, Given);
}

bool configuration_freshness::recordProof(config_version Proven,
                                          boot_time_point At) {
  recordReportedVersion(Proven);
  if (!isOn() || Version == config_version() || Proven != Version ||
      isNewerVersionKnown() || (Verified && At <= *Verified))
    return false;
  Verified = At;
  return true;
}

// What was proven before a restore stays true of the versions acknowledged by
// then, so that keys are served meanwhile, up to the bound.
void configuration_freshness::recordRestore(boot_time_point Now) {
  StoreProofsFrom = Now + Options.RestoreTime;
}

bool configuration_freshness::recordStoreProof(config_version Proven,
                                               boot_time_point SentAt) {
  if (!StoreProofsFrom || SentAt >= *StoreProofsFrom)
    return recordProof(Proven, SentAt);
  recordReportedVersion(Proven);
  return false;
}

bool configuration_freshness::recordReportedVersion(config_version Reported) {
  if (Reported <= NewestKnown)
    return false;
  NewestKnown = Reported;
  return true;
}

boot_time_point configuration_freshness::nextQuery() const {
  if (!isOn() || Version == config_version())
    return boot_time_point::max();
  return Verified ? std::max(NextQuery, *Verified + share(AskShare))
                  : NextQuery;
}

query_reach configuration_freshness::reach(boot_time_point Now) const {
  if (Now < nextQuery())
    return query_reach::None;
  return Verified && Now - *Verified < share(AskEverywhereShare)
             ? query_reach::Aggregators
             : query_reach::Everywhere;
}

std::vector<query_number>
configuration_freshness::startQueries(std::size_t Count, boot_time_point Now) {
  std::vector<query_number> Result;
  if (!isOn())
    return Result;
  NextQuery = Now + share(Count == 0     ? NoTargetShare
                          : isFresh(Now) ? AskShare
                                         : AskAgainShare);
  while (!Open.empty() && Now - Open.front().SentAt >= *Options.Bound)
    Open.pop_front();
  for (std::size_t Index = 0; Index < Count; ++Index) {
    LastQuery = LastQuery.next();
    Open.push_back({.Number = LastQuery, .SentAt = Now});
    Result.push_back(LastQuery);
  }
  while (Open.size() > MaxOpenQueries)
    Open.pop_front();
  return Result;
}

// Counts from when the query was sent: the time at which the reply arrives, or
// is read, says nothing about when its sender looked.
bool configuration_freshness::recordReply(const freshness_reply &Reply,
                                          boot_time_point Now) {
  const auto Found =
      std::find_if(Open.begin(), Open.end(), [&](const open_query &Each) {
        return Each.Number == Reply.Number;
      });
  if (!isOn() || Found == Open.end())
    return false;
  const boot_time_point SentAt = Found->SentAt;
  Open.erase(Found);
  if (Now - SentAt >= *Options.Bound || Reply.Age < duration::zero() ||
      Reply.Age >= *Options.Bound)
    return false;
  return recordProof(Reply.Version, SentAt - Reply.Age);
}

std::optional<freshness_reply>
configuration_freshness::answer(query_number Number,
                                boot_time_point Now) const {
  if (!isOn() || !Verified || Now - *Verified >= *Options.Bound)
    return std::nullopt;
  return freshness_reply{.Number = Number,
                         .Version = Version,
                         .Age = std::max(Now - *Verified, duration::zero())};
}

boot_time_point configuration_freshness::storeReadDue() const {
  if (!isOn() || Version == config_version())
    return boot_time_point::max();
  const boot_time_point Due = Verified ? *Verified + share(Options.ReadShare)
                                       : Since + share(FirstReadShare);
  // The hosts that follow the store prove first; the others need not all read.
  return StoreProofsFrom
             ? std::max(Due, *StoreProofsFrom +
                                 share(Options.ReadShare) / RestoreReadDivisor)
             : Due;
}

std::optional<duration>
configuration_freshness::watchLimit(boot_time_point Now) const {
  if (!isOn())
    return std::nullopt;
  if (!StoreProofsFrom || (Verified && *Verified >= *StoreProofsFrom))
    return share(WatchShare);
  // A watch proves something only when it has ended: the first one that counts
  // is short, and those before it end when it may be sent.
  return std::clamp(*StoreProofsFrom - Now, share(ShortWatchShare),
                    share(WatchShare));
}

std::optional<boot_time_point> configuration_freshness::sendBefore() const {
  if (!isOn())
    return std::nullopt;
  return Verified ? *Verified + *Options.Bound - Options.Margin
                  : boot_time_point::min();
}

bool configuration_freshness::isFresh(boot_time_point Now) const {
  const auto Before = sendBefore();
  return !Before || Now < *Before;
}

std::optional<duration>
configuration_freshness::proofAge(boot_time_point Now) const {
  if (!Verified)
    return std::nullopt;
  return Now - *Verified;
}
