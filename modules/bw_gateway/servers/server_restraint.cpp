#include "bw_gateway/servers/server_restraint.h"

#include <algorithm>

using namespace bw;

namespace {

// The limit is stated in each answer, so it has ended unnoticed if no host
// reports it for this long. Until then all hosts but a few stay away.
constexpr duration LimitTimeout = std::chrono::seconds(60);
// Reports of other hosts can be older than what this host was told.
constexpr duration MaxReportDelay = std::chrono::seconds(1);
// Keeps a few requests at a server with a limit of 0, which show its end.
constexpr double MinRate = 0.1;
// One request at once: many hosts may have saved up tokens at the same time.
constexpr double MaxTokens = 1;

} // namespace

bool server_restraint::apply(const server_statement &Statement,
                             time_point SentAt, time_point Now) {
  const bool WasLeaving = IsLeaving;
  IsLeaving = IsLeaving || Statement.IsLeaving;
  if (Statement.RetryAfter)
    RefusesUntil = std::max(RefusesUntil, Now + *Statement.RetryAfter);
  // An answer to an earlier request may have overtaken the one with the limit.
  const bool IsLater = SentAt > LimitAt;
  bool IsChanged = IsLeaving != WasLeaving;
  if (Statement.RequestLimit || IsLater)
    IsChanged = setLimit(Statement.RequestLimit, Now) || IsChanged;
  if (Limit)
    OwnLimitAt = Now;
  return IsChanged;
}

bool server_restraint::applyReported(const server_statement &Statement,
                                     time_point Now) {
  const bool WasLeaving = IsLeaving;
  IsLeaving = IsLeaving || Statement.IsLeaving;
  const bool IsOutdated = !Statement.RequestLimit &&
                          OwnLimitAt != time_point() &&
                          Now - OwnLimitAt < MaxReportDelay;
  const bool IsChanged = !IsOutdated && setLimit(Statement.RequestLimit, Now);
  return IsChanged || IsLeaving != WasLeaving;
}

bool server_restraint::setLimit(std::optional<double> NewLimit,
                                time_point Now) {
  const bool IsChanged = NewLimit != limit(Now);
  Limit = NewLimit;
  if (Limit)
    LimitAt = Now;
  return IsChanged;
}

std::optional<double> server_restraint::limit(time_point Now) const {
  if (!Limit || Now - LimitAt >= LimitTimeout)
    return std::nullopt;
  return std::max(*Limit, MinRate);
}

void server_restraint::setRate(double NewRate, time_point Now) {
  Tokens = tokens(Now);
  TokensAt = Now;
  Rate = NewRate;
}

double server_restraint::tokens(time_point Now) const {
  const double Seconds = std::chrono::duration<double>(Now - TokensAt).count();
  return std::min(MaxTokens, Tokens + Rate * Seconds);
}

time_point server_restraint::nextRequest(time_point Now) const {
  if (IsLeaving)
    return time_point::max();
  time_point Result = std::max(Now, RefusesUntil);
  if (!limit(Now))
    return Result;
  const double Missing = 1 - tokens(Now);
  if (Missing <= 0)
    return Result;
  if (Rate <= 0)
    return time_point::max();
  return std::max(Result,
                  Now + std::chrono::duration_cast<duration>(
                            std::chrono::duration<double>(Missing / Rate)));
}

void server_restraint::take(time_point Now) {
  if (!limit(Now))
    return;
  Tokens = tokens(Now) - 1;
  TokensAt = Now;
}
