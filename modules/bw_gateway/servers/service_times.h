#ifndef BW_GATEWAY_SERVERS_SERVICE_TIMES_H
#define BW_GATEWAY_SERVERS_SERVICE_TIMES_H

#include "bw_admission/room/room_estimate.h"
#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/time.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace bw {

/// Work of a request, in requests of usual length of its service.
using work_amount = strong_number<struct work_amount_tag, double>;

/// Usual times of the requests of each route, learned from answers. Not
/// thread-safe.
class service_times {
public:
  /// Records an answer. `Load` is that of the server when the request was sent,
  /// without the request. Returns the latency without queueing.
  duration record(const service_id &Service, const route_id &Route,
                  duration Latency, const server_load &Load);

  /// Returns the mean latency; nothing before there are some answers.
  std::optional<duration> latency(const route_id &Route) const;
  /// Returns the mean time without the time in the queues of servers.
  std::optional<duration> work(const route_id &Route) const;
  /// The same for all requests of the service.
  std::optional<duration> work(const service_id &Service) const;
  /// Returns the work of a request; 1 while it is not known.
  work_amount amount(const service_id &Service, const route_id &Route) const;

private:
  struct statistics {
    /// In seconds.
    double Latency = 0;
    double Work = 0;
    std::uint32_t Samples = 0;
  };
  static void add(statistics &Known, double Latency, double Work);

  std::unordered_map<route_id, statistics> Routes;
  std::unordered_map<service_id, statistics> Services;
};

} // namespace bw

#endif
