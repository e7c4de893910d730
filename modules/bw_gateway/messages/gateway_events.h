#ifndef BW_GATEWAY_MESSAGES_GATEWAY_EVENTS_H
#define BW_GATEWAY_MESSAGES_GATEWAY_EVENTS_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/time.h"
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

/// A request of a caller, unique within this process.
using request_number = strong_number<struct request_number_tag>;
/// Counts the attempts of one request up from 1.
using attempt_number = strong_number<struct attempt_number_tag, std::uint32_t>;
/// The caller's own id of a request, for logs.
using request_label = strong_text<struct request_label_tag>;

/// The head of a request and, if it is replayable, its body were read.
struct request_arrived {
  request_number Request;
  request_label Label;
  std::string VirtualHost;
  /// Without query.
  std::string Path;
  /// How long the caller waits from now on; none when it did not say.
  std::optional<duration> Patience;
  /// The whole body is held, so that it can be sent to another server.
  bool IsReplayable = true;
};

enum class attempt_outcome : std::uint8_t {
  Answered,    ///< A valid answer; nothing was handed to the caller yet.
  NotExecuted, ///< The server says that it did not run the request.
  NotSent,     ///< No connection; no byte of the request was sent.
  Broken,      ///< The connection or the answer broke; it may have run.
};

/// Name for logs and metrics, for example `not_executed`.
std::string_view outcomeName(attempt_outcome Outcome);

struct attempt_ended {
  request_number Request;
  attempt_number Attempt;
  attempt_outcome Outcome = attempt_outcome::Broken;
  /// HTTP status of the answer; 0 without one.
  int Status = 0;
  /// The whole answer is held; else its body is still being received.
  bool IsComplete = true;
};

/// The rest of an answer that is being relayed was received, or broke off.
struct relay_ended {
  request_number Request;
  attempt_number Attempt;
  bool IsComplete = true;
};

/// The caller closed its connection; nobody waits for the answer.
struct caller_left {
  request_number Request;
};

/// State of the platform's store; grows with each change there.
using store_revision = strong_number<struct store_revision_tag>;

/// The backend servers as the platform listed them at a revision.
struct servers_listed {
  store_revision Revision;
  std::vector<listed_server> Servers;
  /// No host had a list for a while: entries may have lapsed that come back.
  bool IsAfterOutage = false;
};

struct configuration_read {
  std::shared_ptr<const gateway_configuration> Configuration;
};

/// Requests of one host at each server, without servers that have none.
using load_list = std::vector<std::pair<backend_server_id, std::uint32_t>>;

/// What another host saw of one backend server since its last report.
struct server_report {
  backend_server_id Server;
  float Good = 0;
  float Bad = 0;
  /// Requests of that host at the server when it reported.
  std::uint16_t InFlight = 0;
};

/// Counts the reports of one host.
using report_number = strong_number<struct report_number_tag, std::uint32_t>;

struct peer_reported {
  host_id Host;
  report_number Number;
  /// The report names all servers at which the host has requests.
  bool HasLoad = true;
  /// It went to all hosts of the data centre and need not be passed on there.
  bool IsBroadcast = false;
  std::vector<server_report> Servers;
};

/// One data centre's requests at each server, and failures there, from its
/// first aggregator to those of other data centres.
struct load_summary {
  data_centre_id DataCentre;
  /// Otherwise it tells of failures only.
  bool HasLoad = true;
  std::vector<server_report> Servers;
};

/// Requests of all hosts at one server and what was newly seen of it.
struct aggregated_load {
  backend_server_id Server;
  /// Of the own data centre, the receiver included, and of others.
  std::uint16_t Near = 0;
  std::uint16_t Far = 0;
  float Good = 0;
  float Bad = 0;
};

/// From an aggregator to the hosts of its data centre.
struct load_aggregate {
  /// It names all servers with requests; otherwise it tells outcomes only.
  bool HasLoad = true;
  std::vector<aggregated_load> Servers;
  /// The last report of each host that the sums hold.
  std::vector<std::pair<host_id, report_number>> Included;
};

/// What this host does for the others of its data centre.
struct exchange_duty {
  /// It sums up the load of the data centre and follows the store for it.
  bool IsAggregator = false;
  /// It is the one that tells other data centres.
  bool IsFirst = false;

  friend bool operator==(const exchange_duty &,
                         const exchange_duty &) = default;
};

/// The number of hosts that share the fleet's retry budget.
struct hosts_counted {
  std::uint32_t Hosts = 1;
};

using gateway_event =
    std::variant<request_arrived, attempt_ended, relay_ended, caller_left,
                 servers_listed, configuration_read, peer_reported,
                 load_summary, load_aggregate, exchange_duty, hosts_counted>;

} // namespace bw

#endif
