#ifndef BW_CUSTOMERS_ALLOWANCES_DEMAND_EXCHANGE_H
#define BW_CUSTOMERS_ALLOWANCES_DEMAND_EXCHANGE_H

#include "bw_core/ids/time.h"
#include "bw_customers/allowances/allowance_pools.h"
#include "bw_customers/allowances/allowance_shares.h"
#include "bw_customers/allowances/demand_messages.h"
#include "bw_customers/allowances/trailing_minimum.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bw {

/// Where this host is in the exchange, and what it must know of the fleet.
struct demand_exchange_options {
  host_id Self;
  data_centre_id DataCentre;
  allowance_bounds Bounds;
  /// Returns the allowance of a customer; no limit if it is unknown.
  std::function<customer_allowance(const customer_id &)> AllowanceOf =
      [](const customer_id &) { return customer_allowance(); };
};

/// Exchange of the demand of customers between hosts. Each host reports its
/// demand to the aggregators of its data centre, these exchange sums with the
/// aggregators of other data centres, and send totals back to their hosts. A
/// host uses a total only together with its own report that the total includes.
///
/// Shares shrink before others grow: reported demand counts at once, but the
/// share of a data centre and the part for its side of a partition grow only
/// after `GrowthDelay`, when all others know of it. Hosts that became silent
/// keep their shares until these have expired, so others do not use them.
///
/// The share of a host with little demand is less than one token, although the
/// customer uses less than its rate. An aggregator therefore keeps a pool for
/// its data centre: what its hosts may use together, less what they report to
/// have admitted. Hosts draw from the pool and must not draw again before the
/// aggregator knows of it.
///
/// The time that is passed in should count while the host is suspended. Not
/// thread-safe.
class demand_exchange {
public:
  /// A total is used for this long after the report that it includes was sent,
  /// and a host counts as heard for this long after its last message.
  static constexpr duration Validity = std::chrono::milliseconds(2500);
  /// Time in which a change of the demand in one data centre is known in all
  /// others: a summary interval, two report intervals and the delays.
  static constexpr duration GrowthDelay = std::chrono::milliseconds(500);
  /// The last demand of silent hosts counts until none of them can still use a
  /// share for it.
  static constexpr duration DemandTimeout = Validity + GrowthDelay;
  /// A new aggregator sends no totals until it has heard from all listed hosts,
  /// or for this long, in which each of them sends a message.
  static constexpr duration WarmUp = std::chrono::milliseconds(800);
  /// The same if it hears enough hosts to use the whole rate: a host that has
  /// demand sends three reports in this time.
  static constexpr duration LargeSideWarmUp = std::chrono::milliseconds(250);

  /// Number of hosts until it is known. A small number would let each of many
  /// hosts that start together use all of a rate.
  static constexpr std::uint32_t AssumedHosts = 32;
  /// Most customers in a message, so that it fits a datagram with names of up
  /// to 40 bytes.
  static constexpr std::size_t MaxCustomers = 700;

  explicit demand_exchange(demand_exchange_options Options);

  void setAggregator(bool IsAggregator, time_point Now);
  void setHosts(std::uint32_t Listed) { Hosts = Listed; }

  /// Returns the demands for the report with this number: `Own`, and those
  /// that the host still has shares for.
  std::vector<customer_demand> takeReport(report_number Number,
                                          std::vector<customer_demand> Own,
                                          time_point Now);
  /// Returns an aggregator's message to its data centre and applies it to this
  /// host. Nothing before the aggregator has heard from enough hosts.
  std::optional<demand_totals> takeTotals(time_point Now);
  /// Returns the message of an aggregator to other data centres.
  demand_summary takeSummary(time_point Now);

  /// At an aggregator: a report of a host of the data centre. Number 0 stands
  /// for a message without demands, which leaves the known ones.
  void receiveReport(const host_id &Host, report_number Number,
                     const std::vector<customer_demand> &Demands,
                     time_point Now);
  void receiveSummary(const data_centre_id &DataCentre,
                      const demand_summary &Summary, time_point Now);
  /// Totals that include the report of this host with the given number.
  void receiveTotals(report_number Included, const demand_totals &Totals,
                     time_point Now);

  /// Returns what is confirmed of a customer; nothing if no valid total
  /// includes a report of this host, or the total does not cover the customer.
  std::optional<confirmed_demand> confirmed(const customer_id &Customer,
                                            time_point Now) const;
  /// Requests of the customer that this host had admitted according to the
  /// report that the totals include.
  double includedAdmitted(const customer_id &Customer) const;
  /// True if an aggregator knows of demand.
  bool hasDemand() const { return !Sums.empty(); }
  /// Fraction of the listed hosts that an aggregator hears, including itself.
  ratio heard(time_point Now) const;

private:
  using demand_map = std::unordered_map<customer_id, request_rate>;
  using admitted_map = std::unordered_map<customer_id, double>;
  /// Demand that a sender reported, and the part of it that is silent.
  struct counted_demand {
    double Rate = 0;
    double Silent = 0;
  };
  using counted_map = std::unordered_map<customer_id, counted_demand>;
  struct own_report {
    report_number Number;
    time_point SentAt;
    demand_map Asked;
    admitted_map Admitted;
  };
  struct sender {
    time_point HeardAt{};
    /// When the demands were reported.
    time_point ReportedAt{};
    /// Hosts for which the sender speaks.
    std::uint32_t Heard = 1;
    bool IsSilent = false;
    counted_map Demands;
    admitted_map Admitted;
  };
  struct sum {
    counted_demand Local;
    counted_demand Remote;
    std::uint32_t Senders = 0;
    /// Of the local demand that is not silent.
    trailing_minimum LocalMinimum{GrowthDelay};
    /// Of the whole demand. A silent host has at most the share that its demand
    /// had of this.
    trailing_minimum TotalMinimum{DemandTimeout};
  };

  using sum_member = counted_demand sum::*;

  void replace(sender &Sender, counted_map Demands, sum_member Member);
  template <typename Id>
  void expire(std::map<Id, sender> &Senders, sum_member Member,
              duration SilentAfter, time_point Now);
  std::uint32_t heardLocally(time_point Now) const;
  void sample(time_point Now);
  bool isWarm(time_point Now) const;
  static double freePart(const sum &Sum, request_rate Rate);
  static double immediateDemand(const sum &Sum, request_rate Rate);
  static double heldBackTotal(const sum &Sum, request_rate Rate);
  ratio localPart(time_point Now) const;
  /// The part of a rate that this data centre may use without demand.
  ratio quietPart(time_point Now) const;
  static ratio activePart(const sum &Sum, request_rate Rate);
  ratio poolPart(const sum &Sum, request_rate Rate) const;
  void spend(sender &Sender, const std::vector<customer_demand> &Demands);
  void fillPools(time_point Now);

  demand_exchange_options Options;
  allowance_shares Shares;
  std::uint32_t Hosts = AssumedHosts;
  bool IsAggregator = false;
  time_point AggregatorSince{};
  std::map<host_id, sender> LocalHosts;
  std::map<data_centre_id, sender> RemoteDataCentres;
  std::unordered_map<customer_id, sum> Sums;
  allowance_pools Pools;
  std::optional<trailing_minimum> Factor;
  /// Own reports that a total may still include, oldest first.
  std::deque<own_report> Reported;
  /// The included report and the totals of the newest message.
  std::optional<own_report> Confirmed;
  std::unordered_map<customer_id, customer_standing> Standings;
  demand_totals Totals;
  time_point ConfirmedAt{};
};

} // namespace bw

#endif
