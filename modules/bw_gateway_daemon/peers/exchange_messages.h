#ifndef BW_GATEWAY_DAEMON_PEERS_EXCHANGE_MESSAGES_H
#define BW_GATEWAY_DAEMON_PEERS_EXCHANGE_MESSAGES_H

#include "bw_core/errors/error.h"
#include "bw_customers/freshness/configuration_freshness.h"
#include "bw_gateway/hosts/host_directory.h"
#include "bw_gateway/messages/gateway_events.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bw {

/// Thrown for an invalid message from another host.
class exchange_error : public error {
public:
  explicit exchange_error(const std::string &Reason)
      : error("invalid message from another host: " + Reason) {}
  std::string_view code() const override { return "exchange_invalid"; }
};

/// Asks another host whether the configuration is current.
struct freshness_query {
  query_number Number;
  /// UDP port of the sender that receives the reply.
  std::uint16_t ReplyPort = 0;
};

/// Report that a host sends to others several times a second. At most one of
/// the optional members is set, and then there are no observations.
struct host_report {
  peer_reported Observations;
  /// For the aggregators of other data centres.
  std::optional<load_summary> Summary;
  /// For the hosts of the local data centre.
  std::optional<load_aggregate> Aggregate;
  host_state State;
  std::optional<freshness_query> Query = {};
  std::optional<freshness_reply> Reply = {};
};

/// Splits a message into parts that each fit into a report of the given size
/// once encoded. A short message stays as it is.
std::vector<load_aggregate> splitAggregate(load_aggregate Whole,
                                           byte_count MaxBytes);
std::vector<load_summary> splitSummary(load_summary Whole, byte_count MaxBytes);

std::string encodeReport(const host_report &Report);
/// \throws exchange_error, like all decoders
host_report decodeReport(std::string_view Bytes);

std::string encodeServers(const servers_listed &Servers);
servers_listed decodeServers(std::string_view Bytes);

std::string encodeConfiguration(const gateway_configuration &Configuration);
std::shared_ptr<const gateway_configuration>
decodeConfiguration(std::string_view Bytes);

std::string encodeHosts(const std::vector<gateway_host> &Hosts);
std::vector<gateway_host> decodeHosts(std::string_view Bytes);

} // namespace bw

#endif
