#include "bw_http/server/connection_limiter.h"

#include <algorithm>
#include <bit>
#include <chrono>
#include <utility>

using namespace bw;

namespace {

// What the library allocates for a connection: a buffer of 16 KB and a parser.
constexpr std::uint64_t ConnectionMemory = kibibytes(20).value();
// Limits of callers that docs/hard-load.md names (B8): by then a head is
// complete, or some more of a body has arrived.
constexpr std::chrono::seconds HeadTimeout(3);
constexpr std::chrono::seconds IdleTimeout(15);
constexpr std::size_t LongestHead = 16'384;

// The text that receives a body doubles its memory when it is full.
std::uint64_t memoryOf(std::size_t Received) {
  return Received == 0 ? 0 : std::bit_ceil(std::uint64_t(Received));
}

} // namespace

connection_limiter::connection_limiter(connection_limiter_options GivenOptions)
    : Options(std::move(GivenOptions)), Budget(Options.Budget) {}

std::optional<http_connection_id> connection_limiter::open(close_hook Close) {
  const std::lock_guard Guard(Mutex);
  if (!makeRoom()) {
    Options.OnLimit(close_reason::NoRoom);
    return std::nullopt;
  }
  connection New;
  New.Number = Budget.addCaller(Options.Now());
  New.Close = std::move(Close);
  Connections.insert_or_assign(Accepted, std::move(New));
  return Accepted;
}

bool connection_limiter::makeRoom() {
  while (!Budget.hasRoomForCaller()) {
    const auto Idle = Budget.longestIdleCaller();
    const auto Found = Idle ? find(*Idle) : slowestRequest();
    if (Found == Connections.end())
      return false;
    close(Found, Idle ? close_reason::Idle : close_reason::SlowRequest);
  }
  return true;
}

connection_limiter::connection_map::iterator
connection_limiter::find(connection_number Number) {
  return std::find_if(
      Connections.begin(), Connections.end(),
      [&](const auto &Each) { return Each.second.Number == Number; });
}

connection_limiter::connection_map::iterator
connection_limiter::slowestRequest() {
  auto Result = Connections.end();
  const time_point Now = Options.Now();
  for (auto Each = Connections.begin(); Each != Connections.end(); ++Each) {
    const connection &Own = Each->second;
    const bool IsSlow =
        (Own.Reading <= LongestHead && Now - Own.ReadingSince >= HeadTimeout) ||
        Now - Own.LastReceived >= IdleTimeout;
    if (Own.Requests > 0 || Own.Reading == 0 || !IsSlow)
      continue;
    if (Result == Connections.end() ||
        Own.ReadingSince < Result->second.ReadingSince)
      Result = Each;
  }
  return Result;
}

void connection_limiter::close(connection_map::iterator Closed,
                               close_reason Reason) {
  Options.OnLimit(Reason);
  Closed->second.Close(Reason != close_reason::Idle);
  Budget.removeCaller(Closed->second.Number);
  Connections.erase(Closed);
}

void connection_limiter::closed(http_connection_id Id) {
  const std::lock_guard Guard(Mutex);
  const auto Found = Connections.find(Id);
  if (Found == Connections.end())
    return;
  Budget.removeCaller(Found->second.Number);
  Connections.erase(Found);
}

void connection_limiter::disconnect(http_connection_id Id) {
  const std::lock_guard Guard(Mutex);
  const auto Found = Connections.find(Id);
  if (Found != Connections.end())
    Found->second.Close(false);
}

template <typename Change>
void connection_limiter::update(http_connection_id Id, Change Apply) {
  const auto Found = Connections.find(Id);
  if (Found == Connections.end())
    return;
  connection &Own = Found->second;
  Apply(Own);
  const byte_count Held(ConnectionMemory + memoryOf(Own.Reading) +
                        Own.RequestBytes + Own.ResponseBytes);
  Budget.updateCaller(Own.Number,
                      {.Responses = Held,
                       .Buffered = byte_count(Own.ResponseBytes),
                       .Requests = Own.Requests,
                       .IsIdle = Own.Reading == 0 && Own.Requests == 0 &&
                                 Own.ResponseBytes == 0},
                      Options.Now());
  // Later, because the connection that reports may be the one to reset.
  if (Budget.areResponsesAtLimit() && !std::exchange(IsResetPosted, true))
    Options.Post([this] { resetOverLimit(); });
}

void connection_limiter::resetOverLimit() {
  const std::lock_guard Guard(Mutex);
  IsResetPosted = false;
  while (const auto Number = Budget.callerToReset(Options.Now()))
    close(find(*Number), close_reason::HoldsMost);
}

void connection_limiter::received(http_connection_id Id, std::size_t Size) {
  const std::lock_guard Guard(Mutex);
  update(Id, [&](connection &Own) {
    Own.LastReceived = Options.Now();
    if (Own.Reading == 0)
      Own.ReadingSince = Own.LastReceived;
    Own.Reading += Size;
    Budget.callerProgressed(Own.Number, Own.LastReceived);
  });
}

void connection_limiter::progressed(http_connection_id Id) {
  const std::lock_guard Guard(Mutex);
  const auto Found = Connections.find(Id);
  if (Found != Connections.end())
    Budget.callerProgressed(Found->second.Number, Options.Now());
}

byte_count connection_limiter::requestBegan(http_connection_id Id) {
  const std::lock_guard Guard(Mutex);
  byte_count Held;
  update(Id, [&](connection &Own) {
    // The library keeps the request beside the one that is passed on.
    Held = byte_count(memoryOf(Own.Reading) + Own.Reading);
    Own.Reading = 0;
    Own.RequestBytes += Held.value();
    ++Own.Requests;
  });
  return Held;
}

void connection_limiter::requestEnded(http_connection_id Id, byte_count Held) {
  const std::lock_guard Guard(Mutex);
  update(Id, [&](connection &Own) {
    Own.RequestBytes -= Held.value();
    --Own.Requests;
  });
}

bool connection_limiter::makeRoomForRequest() {
  const std::lock_guard Guard(Mutex);
  while (!Budget.hasRoomForRequest()) {
    const auto Slowest = slowestRequest();
    if (Slowest == Connections.end())
      return false;
    close(Slowest, close_reason::SlowRequest);
  }
  return true;
}

void connection_limiter::responseQueued(http_connection_id Id,
                                        std::size_t Size) {
  const std::lock_guard Guard(Mutex);
  update(Id, [&](connection &Own) { Own.ResponseBytes += Size; });
}

void connection_limiter::responseWritten(http_connection_id Id,
                                         std::size_t Size) {
  const std::lock_guard Guard(Mutex);
  update(Id, [&](connection &Own) {
    Own.ResponseBytes -= std::min<std::uint64_t>(Own.ResponseBytes, Size);
  });
}

budget_usage connection_limiter::usage() const {
  const std::lock_guard Guard(Mutex);
  return Budget.usage();
}
