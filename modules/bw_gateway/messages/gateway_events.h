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

/// What another host saw of one backend server since its last report.
struct server_report {
  backend_server_id Server;
  float Good = 0;
  float Bad = 0;
  /// Requests of that host at the server when it reported.
  std::uint16_t InFlight = 0;
};

/// One data centre's requests at each server, summed up by one of its hosts.
struct load_summary {
  data_centre_id DataCentre;
  std::vector<server_report> Servers;
};

struct peer_reported {
  host_id Host;
  /// The report names all servers at which the host has requests; otherwise
  /// only servers that failed.
  bool HasLoad = true;
  std::vector<server_report> Servers;
};

/// The number of hosts that share the fleet's retry budget.
struct hosts_counted {
  std::uint32_t Hosts = 1;
};

using gateway_event =
    std::variant<request_arrived, attempt_ended, relay_ended, caller_left,
                 servers_listed, configuration_read, peer_reported,
                 load_summary, hosts_counted>;

} // namespace bw

#endif
