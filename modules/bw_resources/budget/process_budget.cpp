#include "bw_resources/budget/process_budget.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>

using namespace bw;

namespace {

// Reading pauses for connections above the mean from this share of a bytes
// budget on, before new requests are refused.
constexpr double PauseShare = 0.6;
// New requests are refused from this share of the callers' bytes on, so that
// responses on their way still fit.
constexpr double RefuseShare = 0.9;

bool isAbove(const budget_amount &Amount, byte_count Limit, double Share) {
  return static_cast<double>(Amount.Used) >
         static_cast<double>(Limit.value()) * Share;
}

bool isAboveMean(byte_count Held, const budget_amount &Total,
                 std::uint64_t Holders) {
  return Holders == 0 || Held.value() * Holders > Total.Used;
}

// Used stays exact when a holder's amount changes.
void replace(budget_amount &Total, byte_count Old, byte_count New) {
  Total.set(Total.Used - Old.value() + New.value());
}

std::uint64_t holders(byte_count Held) { return Held > byte_count() ? 1 : 0; }

} // namespace

void budget_amount::set(std::uint64_t Amount) {
  Used = Amount;
  Peak = std::max(Peak, Used);
}

process_budget::process_budget(process_budget_options Options)
    : Options(Options) {}

bool process_budget::hasRoomForCaller() const {
  return Callers.size() < Options.CallerConnections.value();
}

connection_number process_budget::addCaller(time_point Now) {
  LastCaller = LastCaller.next();
  caller_account &Account = Callers[LastCaller];
  Account.LastProgress = Now;
  setIdle(LastCaller, Account, true);
  Usage.CallerConnections.set(Callers.size());
  return LastCaller;
}

void process_budget::removeCaller(connection_number Caller) {
  const auto Found = Callers.find(Caller);
  if (Found == Callers.end())
    return;
  updateCaller(Caller, {}, Found->second.LastProgress);
  setIdle(Caller, Found->second, false);
  Callers.erase(Found);
  Usage.CallerConnections.set(Callers.size());
}

void process_budget::updateCaller(connection_number Caller,
                                  const caller_holding &Holding,
                                  time_point Now) {
  const auto Found = Callers.find(Caller);
  if (Found == Callers.end())
    return;
  caller_account &Account = Found->second;
  const caller_holding Old = Account.Holding;
  replace(Usage.CallerBytes, Old.Responses, Holding.Responses);
  replace(Usage.ServerBytes, Old.Bodies, Holding.Bodies);
  CallersWithResponses += holders(Holding.Responses) - holders(Old.Responses);
  CallersWithBodies += holders(Holding.Bodies) - holders(Old.Bodies);
  // A connection that held nothing was not waited for.
  if (Old.IsIdle)
    Account.LastProgress = Now;
  Account.Holding = Holding;
  setIdle(Caller, Account, Holding.IsIdle);
}

void process_budget::callerProgressed(connection_number Caller,
                                      time_point Now) {
  const auto Found = Callers.find(Caller);
  if (Found != Callers.end())
    Found->second.LastProgress = Now;
}

void process_budget::setIdle(connection_number Caller, caller_account &Account,
                             bool IsIdle) {
  if (IsIdle == Account.IdlePlace.has_value())
    return;
  if (IsIdle) {
    Account.IdlePlace = Idle.insert(Idle.end(), Caller);
    return;
  }
  Idle.erase(*Account.IdlePlace);
  Account.IdlePlace.reset();
}

std::optional<connection_number> process_budget::longestIdleCaller() const {
  if (Idle.empty())
    return std::nullopt;
  return Idle.front();
}

bool process_budget::pausesResponse(connection_number Caller, byte_count Own,
                                    bool IsNext) const {
  const auto Found = Callers.find(Caller);
  if (Found == Callers.end())
    return false;
  const caller_holding &Holding = Found->second.Holding;
  if (areResponsesAtLimit())
    return true;
  // The next response is never paused before some of it can be written:
  // otherwise the responses behind it would hold the share for ever.
  if (IsNext && Own == byte_count())
    return false;
  if ((IsNext ? Own : Holding.Buffered) > Options.ResponsesPerCaller)
    return true;
  return isAbove(Usage.CallerBytes, Options.CallerBytes, PauseShare) &&
         isAboveMean(Holding.Responses, Usage.CallerBytes,
                     CallersWithResponses);
}

bool process_budget::pausesBody(connection_number Caller) const {
  const auto Found = Callers.find(Caller);
  if (Found == Callers.end())
    return false;
  return areBodiesAtLimit() ||
         (isAbove(Usage.ServerBytes, Options.ServerBytes, PauseShare) &&
          isAboveMean(Found->second.Holding.Bodies, Usage.ServerBytes,
                      CallersWithBodies));
}

bool process_budget::areBodiesAtLimit() const {
  return Usage.ServerBytes.Used >= Options.ServerBytes.value();
}

bool process_budget::areResponsesAtLimit() const {
  return Usage.CallerBytes.Used >= Options.CallerBytes.value();
}

std::optional<connection_number>
process_budget::callerToReset(time_point Now) const {
  if (!areResponsesAtLimit())
    return std::nullopt;
  // Connections with one request come last; then the product of bytes and time
  // decides.
  using rank = std::tuple<bool, double>;
  std::optional<connection_number> Result;
  rank Highest;
  for (const auto &[Number, Account] : Callers) {
    if (Account.Holding.Responses == byte_count())
      continue;
    const std::chrono::duration<double> Silence = Now - Account.LastProgress;
    // The second added makes bytes alone decide between connections that have
    // just made progress.
    const rank Own(Account.Holding.Requests > 1,
                   static_cast<double>(Account.Holding.Responses.value()) *
                       (1 + std::max(0.0, Silence.count())));
    if (!Result || Own > Highest) {
      Result = Number;
      Highest = Own;
    }
  }
  return Result;
}

bool process_budget::hasRoomForServer() const {
  return Usage.ServerConnections.Used < Options.ServerConnections.value();
}

void process_budget::serverOpened() {
  Usage.ServerConnections.set(Usage.ServerConnections.Used + 1);
}

void process_budget::serverClosed() {
  Usage.ServerConnections.set(Usage.ServerConnections.Used - 1);
}

bool process_budget::hasRoomForRequest() const {
  return Usage.OpenRequests.Used < Options.OpenRequests.value() &&
         !isAbove(Usage.CallerBytes, Options.CallerBytes, RefuseShare);
}

void process_budget::requestOpened() {
  Usage.OpenRequests.set(Usage.OpenRequests.Used + 1);
}

void process_budget::requestClosed() {
  if (Usage.OpenRequests.Used > 0)
    Usage.OpenRequests.set(Usage.OpenRequests.Used - 1);
}
