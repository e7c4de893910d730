#ifndef BW_GATEWAY_ADMISSION_REQUEST_ADMISSION_H
#define BW_GATEWAY_ADMISSION_REQUEST_ADMISSION_H

#include "bw_admission/queue/admission_queue.h"
#include "bw_admission/room/room_estimate.h"
#include "bw_admission/room/room_share.h"
#include "bw_core/random/random_source.h"
#include "bw_gateway/admission/returning_callers.h"
#include "bw_gateway/messages/gateway_commands.h"
#include "bw_gateway/messages/gateway_configuration.h"
#include "bw_gateway/servers/server_pool.h"

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bw {

/// What the admission of a request depends on.
struct admission_request {
  request_number Number;
  request_label Label;
  service_id Service;
  urgency Urgency;
  /// Empty if the configuration names no customers.
  customer_id Customer;
  time_point Arrived{};
  time_point Deadline{};
  /// Time in which the answer should arrive.
  duration Target{};
  /// Usual time of the route's requests without queueing; zero if not known.
  duration ServiceTime{};
};

/// Decides when a new request is sent: at once, later, or not at all. Requests
/// wait while no server of their service has room for their urgency. It is on
/// where the routes or customers of a configuration have different priorities
/// or the configuration names customers; otherwise no request waits. Retries
/// and hedges do not wait. Not thread-safe.
class request_admission {
public:
  enum class start_result : std::uint8_t {
    Started,
    NoRoom,   ///< No server that passes the filter.
    NoServer, ///< No server at all.
  };
  /// Callbacks of the engine.
  struct hooks {
    /// Sends the request to a server that passes the filter.
    std::function<start_result(request_number, const server_filter &)> Start;
    /// Answers a request that has not run and does not wait any more.
    std::function<void(request_number, refusal_reason,
                       std::optional<duration> RetryAfter)>
        Refuse;
    /// Returns the load of a service as reported last, and the part of this
    /// host at present.
    std::function<service_load(const service_id &)> Load;
    std::function<std::uint32_t(const service_id &)> OwnInFlight;
    /// When the load of other hosts was last reported, and how often it is.
    time_point LoadReported{};
    duration LoadInterval{};
  };

  explicit request_admission(std::uint64_t Seed) : Random(Seed) {}

  void setConfiguration(const gateway_configuration &Configuration);
  bool isOn() const { return IsOn; }
  /// True if no other level is more urgent; also while admission is off.
  bool isMostUrgent(urgency Urgency) const {
    return Levels.count() < 2 || Levels.grade(Urgency) <= 0;
  }

  /// Adds a new request, which `serve` then starts or refuses.
  void add(const admission_request &Request, time_point Now);
  /// Removes a request that has ended. Unknown numbers are ignored.
  void remove(request_number Number);
  /// Starts the requests that have room, in order, and refuses those that
  /// cannot be served in time.
  void serve(time_point Now, const hooks &Hooks);
  /// Removes and returns all waiting requests.
  std::vector<request_number> takeAll();
  bool empty() const { return Waiting.empty(); }
  std::size_t size() const { return Waiting.size(); }
  /// Returns when `serve` should be called even if no event arrives.
  time_point nextDue() const;

  /// Records that a caller was told to come back after this time.
  void recordRefusal(const request_label &Label, duration RetryAfter,
                     time_point Now) {
    Returning.add(Label, Now + RetryAfter);
  }
  /// Returns when the caller of a request that no server ran may come back:
  /// after the expected drain time of its queue, but no later than callers do.
  duration retryAfter(const admission_request &Request, time_point Now);
  /// Records that a server with this load declined or accepted a request.
  void recordDeclined(const service_id &Service, const server_load &Load) {
    Services[Service].Room.recordDeclined(Load);
  }
  void recordAccepted(const service_id &Service, const server_load &Load) {
    Services[Service].Room.recordAccepted(Load);
  }
  /// Returns a filter for a further attempt of a request that was sent before.
  /// An attempt that may be left out, such as a hedge, needs room as well.
  server_filter furtherAttempt(const admission_request &Request,
                               bool IsOptional, time_point Now) const;
  /// Returns the servers' queue for each slot, as learned for the service.
  double queuePerSlot(const service_id &Service) const;

private:
  struct waiting_service {
    room_estimate Room;
    room_share Share;
    /// The report that `Share` is based on.
    time_point LoadReported{};
    admission_queue Queue;
  };
  using service_map = std::unordered_map<service_id, waiting_service>;

  /// Returns the usual service time as far as it may keep the request out.
  static duration serviceTime(const admission_request &Request);
  static bool isInTime(const admission_request &Request,
                       const server_candidate &Candidate, time_point Now);
  void serve(const service_id &Id, waiting_service &Service, time_point Now,
             const hooks &Hooks);

  random_source Random;
  bool IsOn = false;
  urgency_levels Levels;
  service_map Services;
  std::unordered_map<request_number, admission_request> Waiting;
  returning_callers Returning;
  time_point ServedAt{};
};

} // namespace bw

#endif
