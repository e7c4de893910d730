#ifndef BW_GATEWAY_MESSAGES_GATEWAY_CONFIGURATION_H
#define BW_GATEWAY_MESSAGES_GATEWAY_CONFIGURATION_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/time.h"
#include "bw_core/ids/units.h"

#include "bw_customers/directory/customer_directory.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bw {

/// Whether a request may be executed more than once.
enum class execution_rule : std::uint8_t { Repeatable, AtMostOnce };

/// A service that receives requests of a route, in proportion to its weight.
struct route_destination {
  service_id Service;
  double Weight = 1;
};

/// A route of one virtual host.
struct gateway_route {
  route_id Id;
  /// Virtual host name that callers send.
  std::string VirtualHost;
  /// Path prefix that begins and ends with a slash.
  std::string Prefix;
  std::vector<route_destination> Destinations;
  execution_rule Execution = execution_rule::AtMostOnce;
  /// Maximum time until the caller gets an answer. Without a value, only the
  /// caller's own deadline applies.
  std::optional<duration> Timeout;
  /// Latency objective of the route's answers.
  std::optional<duration> TargetLatency;
  /// Maximum number of servers that one request may be sent to.
  std::uint32_t MaxAttempts = 1;
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// Requests need no key of a customer.
  bool IsPublic = false;
  /// Responses are large, so traffic between data centres costs most here.
  bool IsDownload = false;
};

/// Size and time limits on requests of callers.
struct caller_limits {
  byte_count Header = kibibytes(16);
  byte_count Body = mebibytes(64);
  duration HeaderTimeout = std::chrono::seconds(3);
  duration IdleTimeout = std::chrono::seconds(15);
};

struct gateway_configuration {
  config_version Version;
  caller_limits Limits;
  std::vector<gateway_route> Routes;
  /// Null if the configuration names no customers; requests then need no key.
  std::shared_ptr<const customer_directory> Customers = {};
};

} // namespace bw

#endif
