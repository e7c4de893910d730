#ifndef BW_RESOURCES_BUDGET_PROCESS_BUDGET_H
#define BW_RESOURCES_BUDGET_PROCESS_BUDGET_H

#include "bw_core/ids/time.h"
#include "bw_resources/budget/budget_options.h"

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace bw {

/// Identifies a caller's connection within this process.
using connection_number = strong_number<struct connection_number_tag>;

/// What one caller's connection holds.
struct caller_holding {
  /// Memory of responses as far as received and not written, and of heads of
  /// requests.
  byte_count Responses;
  /// Bytes of responses among them, which count towards the caller's share.
  byte_count Buffered;
  /// Memory of request bodies, of unparsed input and of what is being sent to
  /// servers.
  byte_count Bodies;
  /// Requests in progress.
  std::uint32_t Requests = 0;
  /// Nothing of a request or a response is pending.
  bool IsIdle = true;
};

/// Used and peak amount of one budget.
struct budget_amount {
  std::uint64_t Used = 0;
  std::uint64_t Peak = 0;

  void set(std::uint64_t Amount);
};

struct budget_usage {
  budget_amount CallerConnections;
  budget_amount ServerConnections;
  budget_amount CallerBytes;
  budget_amount ServerBytes;
  budget_amount OpenRequests;
};

/// Counts what the connections of one process hold and decides whether to
/// admit, pause, refuse or close. Not thread-safe.
class process_budget {
public:
  explicit process_budget(process_budget_options Options);

  // Caller connections.
  bool hasRoomForCaller() const;
  connection_number addCaller(time_point Now);
  void removeCaller(connection_number Caller);
  void updateCaller(connection_number Caller, const caller_holding &Holding,
                    time_point Now);
  /// The caller took or sent some bytes.
  void callerProgressed(connection_number Caller, time_point Now);
  /// The caller connection that has been idle for longest.
  std::optional<connection_number> longestIdleCaller() const;

  // Bytes.
  /// True if no more of a response is to be read from a server. `Own` is what
  /// is buffered of this response; `IsNext` if the caller gets it next.
  bool pausesResponse(connection_number Caller, byte_count Own,
                      bool IsNext) const;
  /// True if no more of this caller's body is to be read.
  bool pausesBody(connection_number Caller) const;
  /// True while request bodies use their whole budget.
  bool areBodiesAtLimit() const;
  /// True while responses and heads use their whole budget.
  bool areResponsesAtLimit() const;
  /// The connection to reset because the bytes held for callers reach their
  /// limit.
  std::optional<connection_number> callerToReset(time_point Now) const;

  // Server connections.
  bool hasRoomForServer() const;
  void serverOpened();
  void serverClosed();

  // Requests.
  /// False if a new request is to be refused.
  bool hasRoomForRequest() const;
  void requestOpened();
  void requestClosed();

  const budget_usage &usage() const { return Usage; }
  const process_budget_options &options() const { return Options; }

private:
  struct caller_account {
    caller_holding Holding;
    time_point LastProgress;
    /// Set while the connection is idle.
    std::optional<std::list<connection_number>::iterator> IdlePlace;
  };

  void setIdle(connection_number Caller, caller_account &Account, bool IsIdle);

  process_budget_options Options;
  budget_usage Usage;
  connection_number LastCaller;
  std::unordered_map<connection_number, caller_account> Callers;
  /// Callers for which responses or bodies are held.
  std::uint64_t CallersWithResponses = 0;
  std::uint64_t CallersWithBodies = 0;
  /// Idle callers, the one that is idle for longest first.
  std::list<connection_number> Idle;
};

} // namespace bw

#endif
