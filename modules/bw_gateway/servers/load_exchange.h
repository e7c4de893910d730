#ifndef BW_GATEWAY_SERVERS_LOAD_EXCHANGE_H
#define BW_GATEWAY_SERVERS_LOAD_EXCHANGE_H

#include "bw_gateway/messages/gateway_events.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bw {

/// Exchange of in-flight requests and outcomes by server between hosts. Each
/// host reports to the *aggregators* of its data centre. These send the sums to
/// all hosts of the data centre, and the first of them sends a summary to the
/// aggregators of other data centres. The number of messages of a host thus
/// does not grow with the number of hosts. Not thread-safe.
class load_exchange {
public:
  load_exchange(host_id Self, data_centre_id OwnDataCentre);

  void setDuty(exchange_duty NewDuty);
  exchange_duty duty() const { return Duty; }

  /// Records outcomes of this host's own requests.
  void recordOutcomes(const backend_server_id &Server, double Good, double Bad);
  /// Records what a server said to this host of a limit or of its leaving.
  void recordStatement(const backend_server_id &Server,
                       const server_statement &Statement);
  /// Returns the hosts of the own data centre that have requests, including
  /// this one; empty while it does not know them.
  const std::vector<host_id> &localSenders() const { return LocalSenders; }

  /// Drops the state of a server that was removed or has restarted.
  void forget(const backend_server_id &Server);

  /// Returns the known in-flight requests of all other hosts at the server.
  std::uint32_t inFlightElsewhere(const backend_server_id &Server) const;
  /// Returns the age of the load of another data centre; nothing if it has not
  /// been received or has expired.
  std::optional<duration> summaryAge(const data_centre_id &DataCentre,
                                     time_point Now) const;
  /// Adds the data centres whose load the aggregate includes, if it has any.
  void addHeard(load_aggregate &Aggregate, time_point Now) const;
  /// True when an own failure has not been reported to other hosts yet.
  bool hasUnreportedFailure() const { return HasUnreportedFailure; }
  /// True when a host of the data centre has reported requests in flight. Only
  /// aggregators receive such reports.
  bool hasLocalLoad() const;
  /// True when this host should send aggregates to its data centre: as the
  /// first aggregator, or as another one while it receives no aggregates.
  bool sendsAggregates(time_point Now) const;

  /// Returns a report of the own outcomes since the last call and the given
  /// load, which lists each server at which this host has requests in flight.
  peer_reported takeReport(const load_list &OwnLoad);
  /// Returns an aggregator's message to the hosts of its data centre: the
  /// outcomes that others reported since the last call and, if `WithLoad`, the
  /// load of all hosts.
  load_aggregate takeAggregate(const load_list &OwnLoad, bool WithLoad);
  /// Returns the first aggregator's message to other data centres: the failures
  /// seen in this one since the last call and, if `WithLoad`, its load.
  load_summary takeSummary(const load_list &OwnLoad, bool WithLoad);
  /// True when failures are waiting to be sent to other data centres.
  bool hasFailureForRemote() const { return FailureForRemote; }

  void receive(const peer_reported &Report, time_point Now);
  void receive(const load_summary &Summary, time_point Now);
  void receive(const load_aggregate &Aggregate, time_point Now);
  /// Drops the load of hosts and data centres that stopped reporting.
  void expire(time_point Now);

private:
  struct outcomes {
    float Good = 0;
    float Bad = 0;

    bool isEmpty() const { return Good == 0 && Bad == 0; }
    friend bool operator==(const outcomes &, const outcomes &) = default;
    void add(float MoreGood, float MoreBad) {
      Good += MoreGood;
      Bad += MoreBad;
    }
  };
  struct record {
    /// Own outcomes not yet reported.
    outcomes Unreported;
    /// Outcomes to be forwarded to the own data centre, and to others.
    outcomes ForLocal;
    outcomes ForRemote;
    /// At an aggregator: sums of the reports and summaries it received.
    std::uint32_t LocalInFlight = 0;
    std::uint32_t RemoteInFlight = 0;
    /// At other hosts: sums received from an aggregator, without own requests.
    std::uint32_t AggregatedLocal = 0;
    std::uint32_t AggregatedRemote = 0;
    /// Statements of the server not yet reported, and to be forwarded.
    std::optional<server_statement> UnreportedStatement;
    std::optional<server_statement> StatementForLocal;
    std::optional<server_statement> StatementForRemote;

    friend bool operator==(const record &, const record &) = default;
  };
  struct reported_load {
    load_list Servers;
    time_point At{};
    report_number Number;
    message_round Round;
  };
  using load_counter = std::uint32_t record::*;
  using load_map = std::unordered_map<backend_server_id, std::uint32_t>;

  load_map loadMap(const load_list &OwnLoad);

  void replaceLoad(reported_load &Load, load_counter Counter,
                   const std::vector<server_report> &Servers, time_point Now);
  void subtractLoad(const reported_load &Load, load_counter Counter);
  template <typename Id>
  void expire(std::map<Id, reported_load> &Loads, load_counter Counter,
              time_point Now);
  void clearAggregate();
  void subtractOwnLoad(const load_aggregate &Aggregate);
  void addLoad(reported_load &Load, load_counter Counter,
               const std::vector<server_report> &Servers);
  message_round nextRound();
  /// Queues a statement that other hosts have not heard yet.
  void forward(const backend_server_id &Server,
               const std::optional<server_statement> &Statement);
  /// Sets the senders of the data centre at an aggregator.
  void countSenders();
  void queueForRemote(const backend_server_id &Server, float Good, float Bad);

  host_id Self;
  data_centre_id OwnDataCentre;
  exchange_duty Duty;
  /// Recent own reports, newest last. The sums of an aggregator contain one of
  /// them.
  std::deque<std::pair<report_number, load_list>> Reported;
  std::unordered_map<backend_server_id, record> Records;
  std::map<host_id, reported_load> LocalHosts;
  std::map<data_centre_id, reported_load> RemoteDataCentres;
  /// At hosts that are no aggregators: when the load of other data centres was
  /// summed up there, by the time of this host.
  std::map<data_centre_id, time_point> HeardAt;
  std::vector<host_id> LocalSenders;
  /// The last message of this host that may be sent in parts.
  message_round LastRound;
  /// The aggregate that is being received, and the own report that it includes.
  message_round AggregateRound;
  std::optional<report_number> IncludedReport;
  /// When an aggregate with load was last received.
  time_point AggregateAt{};
  bool HasUnreportedFailure = false;
  bool FailureForRemote = false;
};

} // namespace bw

#endif
