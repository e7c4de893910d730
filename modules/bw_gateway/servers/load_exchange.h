#ifndef BW_GATEWAY_SERVERS_LOAD_EXCHANGE_H
#define BW_GATEWAY_SERVERS_LOAD_EXCHANGE_H

#include "bw_gateway/messages/gateway_events.h"

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bw {

/// What hosts tell each other of the requests in flight at each server and of
/// their outcomes. Each host reports to the *aggregators* of its data centre;
/// these send the sums to all its hosts, and the first of them sends them to
/// the aggregators of other data centres. So the messages of a host do not grow
/// with the number of hosts. Not thread-safe.
class load_exchange {
public:
  load_exchange(host_id Self, data_centre_id OwnDataCentre)
      : Self(std::move(Self)), OwnDataCentre(std::move(OwnDataCentre)) {}

  void setDuty(exchange_duty NewDuty);
  exchange_duty duty() const { return Duty; }

  /// Outcomes of own requests.
  void observed(const backend_server_id &Server, double Good, double Bad);
  /// Drops all that is known of a server that is gone or has restarted.
  void forget(const backend_server_id &Server);

  /// Requests of all other hosts at the server, as far as known.
  std::uint32_t inFlightElsewhere(const backend_server_id &Server) const;
  /// A failure was seen that other hosts do not know of yet.
  bool hasNewFailure() const { return NewFailure; }
  /// Aggregator: hosts have requests that the others are to be told of.
  bool hasNearLoad() const;
  /// This host shall send sums to its data centre: the first aggregator does,
  /// and another one while it hears none of them.
  bool sendsAggregates(time_point Now) const;

  /// All own observations since the last call and the load given. The load
  /// names each server at which this host has requests.
  peer_reported takeReport(const load_list &OwnLoad);
  /// For the hosts of the own data centre, from an aggregator: what others
  /// reported since the last call and, if wanted, the load of everybody.
  load_aggregate takeAggregate(const load_list &OwnLoad, bool WithLoad);
  /// For other data centres, from the first aggregator: failures seen here
  /// since the last call and, if wanted, the load of this data centre.
  load_summary takeSummary(const load_list &OwnLoad, bool WithLoad);
  /// Failures wait to be told to other data centres.
  bool hasFailureForFar() const { return FailureForFar; }

  void take(const peer_reported &Report, time_point Now);
  void take(const load_summary &Summary, time_point Now);
  void take(const load_aggregate &Aggregate, time_point Now);
  /// Drops the load of hosts that fell silent.
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
    /// Own outcomes that were not reported yet.
    outcomes Unreported;
    /// Of others, to be passed on to the own data centre, and to others.
    outcomes ForNear;
    outcomes ForFar;
    /// First-hand, at an aggregator.
    std::uint32_t NearInFlight = 0;
    std::uint32_t FarInFlight = 0;
    /// From an aggregator, without own requests.
    std::uint32_t AggregatedNear = 0;
    std::uint32_t AggregatedFar = 0;

    friend bool operator==(const record &, const record &) = default;
  };
  struct reported_load {
    load_list Servers;
    time_point At{};
    report_number Number;
  };
  using load_counter = std::uint32_t record::*;
  using load_map = std::unordered_map<backend_server_id, std::uint32_t>;

  load_map loadMap(const load_list &OwnLoad);

  void replace(reported_load &Load, load_counter Counter,
               const std::vector<server_report> &Servers, time_point Now);
  void withdraw(const reported_load &Load, load_counter Counter);
  template <typename Id>
  void expire(std::map<Id, reported_load> &Loads, load_counter Counter,
              time_point Now);
  void clearAggregate();
  void withdrawOwn(const load_aggregate &Aggregate);
  void passToFar(const backend_server_id &Server, float Good, float Bad);

  host_id Self;
  data_centre_id OwnDataCentre;
  exchange_duty Duty;
  /// Own reports that an aggregator may not have summed up yet, newest last.
  std::deque<std::pair<report_number, load_list>> Reported;
  std::unordered_map<backend_server_id, record> Records;
  std::map<host_id, reported_load> NearHosts;
  std::map<data_centre_id, reported_load> FarDataCentres;
  /// When an aggregator was last heard.
  time_point AggregateAt{};
  bool NewFailure = false;
  bool FailureForFar = false;
};

} // namespace bw

#endif
