#ifndef BW_DAEMON_DECIDE_DECIDE_SERVICE_H
#define BW_DAEMON_DECIDE_DECIDE_SERVICE_H

#include "bw_daemon/decide/decide_events.h"
#include "bw_daemon/fleet/fleet_control.h"
#include "bw_daemon/owner/owner_desk.h"
#include "bw_daemon/peers/peer_gateway.h"
#include "bw_daemon/requests/request_desk.h"
#include "bw_daemon/settings/daemon_settings.h"
#include "bw_kernel/services/service.h"
#include "bw_membership/drain/drain_state.h"
#include "bw_operations/rpc/operator_rpc.h"

#include <atomic>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace bw {

class accept_service;
class platform_service;
class watch_service;

struct decide_service_options {
  daemon_settings Settings;
  daemon_id Self;
  start_order Started;
  std::uint64_t Seed = 1;
  /// Every ended request, for the metrics.
  std::function<void(const entry_request &, request_outcome, duration)>
      OnEnded = [](const entry_request &, request_outcome, duration) {};
  /// An operator asked this host to stop.
  std::function<void()> OnDrainWanted = [] {};
};

/// Duty *decide*: the one thread that owns all decision state. It takes events
/// from its ring and hands commands to the other duties.
class decide_service : public service {
public:
  static constexpr std::string_view ServiceName = "decide";

  decide_service(runtime_clock &Clock, decide_service_options Options);
  ~decide_service() override;

  void attach(service_registry &Registry) override;
  void start() override;
  void stop() override;

  decide_ring &events() { return Events; }
  bool isReady() const { return Ready; }
  /// What this host sees of the fleet. Thread-safe.
  schema::status_answer status() const;

  /// Starts the graceful stop. Thread-safe.
  void beginStop() { Events.push(stop_wanted{}); }
  /// Waits until everything in flight has ended after `beginStop`.
  void waitUntilDrained() { Drained.get_future().wait(); }

  /// Asks a host's daemon to stop. Thread-safe.
  drain_outcome drain(const host_id &Host);

private:
  void run();
  void tick(time_point Now);
  void checkDrained(time_point Now);
  void noteDrain(time_point Now);
  void publishStatus();
  time_point nextTick(time_point Now) const;

  void handle(caller_arrived &Event, time_point Now);
  void handle(caller_closed &Event, time_point Now);
  void handle(backend_head &Event, time_point Now);
  void handle(backend_ended &Event, time_point Now);
  void handle(answer_progress &Event, time_point Now);
  void handle(answer_paused &Event, time_point Now);
  void handle(peer_arrived &Event, time_point Now);
  void handle(peer_left &Event, time_point Now);
  void handle(remote_head &Event, time_point Now);
  void handle(remote_ended &Event, time_point Now);
  void handle(remote_lost &Event, time_point Now);
  void handle(peer_answered &Event, time_point Now);
  void handle(relay_ended &Event, time_point Now);
  void handle(catalogue_loaded &Event, time_point Now);
  void handle(head_seen &Event, time_point Now);
  void handle(store_away &Event, time_point Now);
  void handle(hosts_loaded &Event, time_point Now);
  void handle(claim_answered &Event, time_point Now);
  void handle(stop_wanted &Event, time_point Now);
  void handle(drain_wanted &Event, time_point Now);

  void apply(const catalogue_pointer &Catalogue, time_point Now);
  void takeForward(peer_arrived &Event, time_point Now);
  void takePathCheck(peer_arrived &Event);
  void answerPathCheck(const peer_answered &Event, time_point Now);
  void answerFence(const peer_answered &Event, time_point Now);
  void forward(const forward_attempt &Forward, const outgoing_request &Request);
  void fence(const send_fence &Fence);
  void cancel(const cancel_attempt &Cancel);
  request_desk_options requestOptions();
  owner_desk_options ownerOptions();
  fleet_control_options fleetOptions();

  runtime_clock &Clock;
  decide_service_options Options;
  decide_ring Events;
  accept_service *Accept = nullptr;
  platform_service *Platform = nullptr;
  watch_service *Watch = nullptr;
  fleet_view Fleet;
  std::unique_ptr<peer_gateway> Peers;
  std::unique_ptr<fleet_control> Control;
  std::unique_ptr<owner_desk> Owner;
  std::unique_ptr<request_desk> Desk;
  backend_service *Backend = nullptr;
  /// Attempts that came on a stream, to cancel them when it closes.
  std::map<peer_stream_id, attempt_id> StreamAttempts;
  catalogue_pointer Catalogue;
  drain_state Drain;
  std::atomic<bool> Ready = false;
  std::promise<void> Drained;
  bool IsDrained = false;
  time_point NextTick{};
  time_point NextStatus{};
  time_point NextDrainNote{};
  mutable std::mutex StatusMutex;
  schema::status_answer Status;
  std::thread Thread;
};

} // namespace bw

#endif
