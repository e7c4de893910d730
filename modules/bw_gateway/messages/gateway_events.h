#ifndef BW_GATEWAY_MESSAGES_GATEWAY_EVENTS_H
#define BW_GATEWAY_MESSAGES_GATEWAY_EVENTS_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/store_position.h"
#include "bw_core/ids/time.h"
#include "bw_customers/allowances/demand_messages.h"
#include "bw_customers/keys/presented_key.h"
#include "bw_gateway/messages/gateway_configuration.h"
#include "bw_membership/servers/server_directory.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace bw {

/// Identifies a caller's request within this process.
using request_number = strong_number<struct request_number_tag>;
/// Numbers the attempts of one request, from 1.
using attempt_number = strong_number<struct attempt_number_tag, std::uint32_t>;
/// The caller's own request id, for logs.
using request_label = strong_text<struct request_label_tag>;

/// The request head has been received, and its whole body if `IsReplayable`.
struct request_arrived {
  request_number Request;
  request_label Label;
  std::string VirtualHost;
  /// Path without the query.
  std::string Path;
  /// Time until the caller's deadline, if it sent one.
  std::optional<duration> CallerTimeout;
  /// The whole body is buffered and can be sent again to another server.
  bool IsReplayable = true;
  presented_key Key = {};
};

enum class attempt_outcome : std::uint8_t {
  Answered,    ///< Valid answer, not yet relayed to the caller.
  NotExecuted, ///< The server declined without executing it.
  NotSent,     ///< Connect failed; nothing of the request was sent.
  /// Nothing was sent, since the time to send it by had passed.
  Expired,
  Broken, ///< Connection or answer broke; may have executed.
};

/// Returns the name for logs and metrics, for example `not_executed`.
std::string_view outcomeName(attempt_outcome Outcome);

/// What a server says of itself in an answer.
struct server_statement {
  /// Requests per second that it accepts from all hosts together; nothing if it
  /// names no limit.
  std::optional<double> RequestLimit;
  /// It is shutting down and accepts no new requests.
  bool IsLeaving = false;
  /// Time in which it wants no requests from this host. Only in a refusal.
  std::optional<duration> RetryAfter;

  friend bool operator==(const server_statement &,
                         const server_statement &) = default;
};

struct attempt_ended {
  request_number Request;
  attempt_number Attempt;
  attempt_outcome Outcome = attempt_outcome::Broken;
  /// HTTP status of the answer, or 0 if there is none.
  int Status = 0;
  /// True when the whole answer is buffered; false while its body is still
  /// being received.
  bool IsComplete = true;
  /// Set if the server itself answered.
  std::optional<server_statement> Statement = {};
  /// Size of the body if it was received as a whole.
  byte_count Bytes{};
};

/// The rest of a relayed answer was received completely, or broke off.
struct relay_ended {
  request_number Request;
  attempt_number Attempt;
  bool IsComplete = true;
  /// Received size of the body.
  byte_count Bytes{};
};

/// The caller closed its connection before the answer was complete.
struct caller_left {
  request_number Request;
};

/// The backend servers that the platform listed at a position.
struct servers_listed {
  store_position Position;
  std::vector<listed_server> Servers;
  /// No host could read the list for a while, or the store has come back from a
  /// copy, so entries of running servers may be missing and may return.
  bool IsAfterOutage = false;
};

/// A configuration was read from the store or from another host.
struct configuration_read {
  std::shared_ptr<const gateway_configuration> Configuration;
};

/// A host could show that no newer version existed at that time.
struct configuration_verified {
  config_version Version;
  boot_time_point CurrentAt{};
};

/// Another host has a newer configuration than this one.
struct newer_version_known {
  config_version Version;
};

/// Total time that the engine's clock has not counted, as the host was
/// suspended.
struct time_suspended {
  duration Total{};
};

/// In-flight requests of one host by server. Servers without any are omitted.
using load_list = std::vector<std::pair<backend_server_id, std::uint32_t>>;

/// Outcomes that another host observed at a backend server since its last
/// report, and its requests in flight there.
struct server_report {
  backend_server_id Server;
  float Good = 0;
  float Bad = 0;
  /// In-flight requests of that host at the server when it reported.
  std::uint16_t InFlight = 0;
  /// The last statement of the server since the last report, without its
  /// `RetryAfter`, which concerns one host.
  std::optional<server_statement> Statement = {};
};

/// A report of another host of the data centre.
struct peer_reported {
  host_id Host;
  report_number Number;
  /// The report lists all servers at which the host has requests in flight.
  bool HasLoad = true;
  /// The report was sent to all hosts of the data centre, so aggregators do not
  /// forward it there.
  bool IsBroadcast = false;
  std::vector<server_report> Servers;
  /// Demand of customers with a limit.
  std::vector<customer_demand> Demands = {};
};

/// Number of a message about the load of many servers. The parts of a message
/// that is too long for a datagram have the same number; 0 has no further
/// parts.
using message_round = strong_number<struct message_round_tag, std::uint32_t>;

/// In-flight requests and failures of one data centre by server. Its first
/// aggregator sends them to the aggregators of other data centres.
struct load_summary {
  data_centre_id DataCentre;
  /// False when the summary carries only failures.
  bool HasLoad = true;
  std::vector<server_report> Servers;
  message_round Round = {};
  /// Only with load, in the first part, and if customers have limits.
  std::optional<demand_summary> Demand = {};
};

/// In-flight requests of all hosts at one server, and the new outcomes there.
struct aggregated_load {
  backend_server_id Server;
  /// Requests of the own data centre, including the receiver's, and of others.
  std::uint16_t Local = 0;
  std::uint16_t Remote = 0;
  float Good = 0;
  float Bad = 0;
  std::optional<server_statement> Statement = {};
};

/// How old the load of another data centre is.
struct heard_data_centre {
  data_centre_id DataCentre;
  duration Age{};
};

/// Load and outcomes that an aggregator sends to the hosts of its data centre.
struct load_aggregate {
  /// True when all servers with requests in flight are listed; false when only
  /// outcomes are.
  bool HasLoad = true;
  std::vector<aggregated_load> Servers;
  /// Number of the last report of each host that is included in the sums. In
  /// the first part only.
  std::vector<std::pair<host_id, report_number>> Included;
  message_round Round = {};
  /// Only with load, in the first part, and if customers have limits.
  std::optional<demand_totals> Demand = {};
  /// The other data centres whose load the sums include. Only with load, in the
  /// first part.
  std::vector<heard_data_centre> Heard = {};
};

/// Role of this host in the exchange of load reports.
struct exchange_duty {
  /// The host aggregates the load of the data centre and follows the store for
  /// it.
  bool IsAggregator = false;
  /// The host also sends summaries to other data centres.
  bool IsFirst = false;
  /// The host knows enough of its data centre to send sums of its load. False
  /// for a while after a start, when a host takes itself for the first one
  /// because it hears no other.
  bool IsInformed = true;

  friend bool operator==(const exchange_duty &,
                         const exchange_duty &) = default;
};

/// The numbers of hosts that share the fleet's retry budget and its servers.
struct hosts_counted {
  std::uint32_t Hosts = 1;
  /// Hosts of the own data centre, including this one.
  std::uint32_t LocalHosts = 1;
};

/// A planned stop of this host has begun.
struct stop_began {
  /// Time in which all requests must have their answers.
  duration FinishWithin{};
};

using gateway_event =
    std::variant<request_arrived, attempt_ended, relay_ended, caller_left,
                 servers_listed, configuration_read, peer_reported,
                 load_summary, load_aggregate, exchange_duty, hosts_counted,
                 stop_began, configuration_verified, newer_version_known,
                 time_suspended>;

} // namespace bw

#endif
