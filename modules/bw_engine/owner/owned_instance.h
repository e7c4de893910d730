#ifndef BW_ENGINE_OWNER_OWNED_INSTANCE_H
#define BW_ENGINE_OWNER_OWNED_INSTANCE_H

#include "bw_detection/detector/server_detector.h"
#include "bw_detection/reference/latency_reference.h"
#include "bw_engine/fleet/service_settings.h"
#include "bw_limits/slots/slot_queue.h"
#include "bw_membership/servers/server_directory.h"

#include <map>
#include <memory>
#include <optional>

namespace bw {

/// A request that is offered to the instance.
struct instance_offer {
  attempt_id Attempt;
  caller_id Caller;
  kind_index Kind;
  bool Repeatable = false;
  bool Long = false;
  /// Run the request even if the instance is ejected.
  bool DespiteEjection = false;
  /// The request may wait for a slot.
  bool MayWait = true;
  time_point Deadline{};
};

/// Refusal of a request because the instance is ejected or on trial.
struct ejection_refusal {
  double Score = 0;
  duration RetryAfter{};
};

/// State of one instance at its owner: slots, queue, failure detector and the
/// requests in flight. Single thread; not copyable, as the detector refers to
/// the latency reference.
class owned_instance {
public:
  /// `Settings` must outlive the instance.
  owned_instance(const listed_server &Server, const service_settings &Settings,
                 time_point Now);
  owned_instance(const owned_instance &) = delete;
  owned_instance &operator=(const owned_instance &) = delete;

  /// Set if the request's kind is ejected, or is on trial and cannot accept
  /// this request.
  std::optional<ejection_refusal> ejection(const instance_offer &Offer,
                                           time_point Now) const;

  slot_decisions offer(const instance_offer &Offer, time_point Now);

  /// An admitted request is being sent to the backend server.
  void started(const attempt_id &Attempt, time_point Now);
  /// The backend server's outcome for the request is known.
  detection_events recordOutcome(const attempt_id &Attempt,
                                 server_outcome Outcome, time_point Now);
  /// The request releases its slot.
  slot_decisions finished(const attempt_id &Attempt, slot_outcome Outcome,
                          time_point Now);
  cancel_result cancel(const attempt_id &Attempt);

  /// Refuses all waiting requests, and new ones until `open` is called.
  slot_decisions close(slot_refusal Reason) { return Slots.close(Reason); }
  void open() { Slots.open(); }
  slot_decisions expire(time_point Now);
  detection_events tick(time_point Now);
  detection_events pathChecked(kind_index Kind, const path_report &Report,
                               time_point Now);

  /// Records that the ejection of a kind has begun or ended.
  void recordEjection(const detection_event &Event);
  /// True if there were outcomes since the last path check and all of them were
  /// answers. The network path then works, and any fault lies with the server.
  bool isPathVerified(kind_index Kind) const;

  /// Requires new connections for requests during the next few seconds.
  void replaceConnections(time_point Now);
  bool needsFreshConnection(time_point Now) const {
    return Now < FreshConnectionsUntil;
  }

  slot_count freeSlots() const { return Slots.freeSlots(); }
  double reportedScore(kind_index Kind) const;
  duration retryAfter(kind_index Kind, time_point Now) const;
  std::size_t inFlight() const { return Slots.inFlight(); }
  bool anyEjected() const { return Detector.anyEjected(); }

  latency_reference &reference() { return Reference; }
  const service_settings &settings() const { return Settings; }
  const listed_server &server() const { return Server; }

private:
  struct running_request {
    tracked_request Tracked;
    kind_index Kind;
    bool IsTrial = false;
    bool HasOutcome = false;
  };

  /// Number of outcomes since the last path check.
  struct path_evidence {
    std::uint32_t Answered = 0;
    std::uint32_t Unanswered = 0;
  };

  bool isTrialRunning(kind_index Kind) const;

  listed_server Server;
  const service_settings &Settings;
  slot_queue Slots;
  latency_reference Reference;
  server_detector Detector;
  std::map<attempt_id, instance_offer> Offers;
  std::map<attempt_id, running_request> Running;
  per_kind<time_point> EjectedUntil{};
  per_kind<path_evidence> PathEvidence{};
  time_point FreshConnectionsUntil{};
  connection_number Connection{1};
};

} // namespace bw

#endif
