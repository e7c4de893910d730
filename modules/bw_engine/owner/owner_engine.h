#ifndef BW_ENGINE_OWNER_OWNER_ENGINE_H
#define BW_ENGINE_OWNER_OWNER_ENGINE_H

#include "bw_core/random/random_source.h"
#include "bw_delivery/attempts/attempt_table.h"
#include "bw_engine/fleet/attempt_end.h"
#include "bw_engine/fleet/fleet_view.h"
#include "bw_engine/owner/owned_instance.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace bw {

/// The fields of a `forward` message that the owner uses.
struct forward_offer {
  attempt_offer Offer;
  caller_id Caller;
  service_id Service;
  request_kind Kind;
  backend_server_id Server;
  bool Repeatable = false;
  bool Long = false;
  bool DespiteEjection = false;
  /// The attempt may wait for a slot.
  bool MayWait = true;
};

/// Send the attempt's request to the backend server.
struct start_call {
  attempt_id Attempt;
  backend_server_id Server;
  server_address Address;
  /// Use a new connection: on a reused one a request may be sent twice.
  bool NeedsFreshConnection = false;
  duration Timeout{};
};

/// Cancel the call of an attempt, if it is in progress.
struct cancel_call {
  attempt_id Attempt;
};

/// Send the final message of an attempt to its entry host.
struct end_attempt {
  attempt_id Attempt;
  attempt_end End;
};

/// Ask the successor to check the instance with a repeatable request.
struct check_path {
  backend_server_id Server;
  request_kind Kind;
  host_id Successor;
  /// Answers that take longer count as failed.
  duration Limit{};
};

/// Send a latency digest to another owner of the service.
struct send_digest {
  host_id To;
  service_id Service;
  latency_digest Digest;
};

/// Request current latency digests from another owner of the service.
struct ask_digests {
  host_id To;
  service_id Service;
};

/// The backend server announced that it is leaving; notify the other hosts.
struct report_drain {
  drain_sign Sign;
};

/// Log an ejection or a return to service.
struct log_detection {
  backend_server_id Server;
  request_kind Kind;
  detection_event Event;
};

using owner_command =
    std::variant<start_call, cancel_call, end_attempt, check_path, send_digest,
                 ask_digests, report_drain, log_detection>;
using owner_commands = std::vector<owner_command>;

/// The head of a backend server's answer.
struct call_head {
  int Status = 0;
  /// The answer carries the id of the request.
  bool IsMatched = false;
  /// The backend server shed the request without running it.
  bool IsNotRun = false;
  bool IsDraining = false;
};

enum class call_end {
  Complete,      ///< the complete answer was received
  ConnectFailed, ///< the request was not sent
  Failed,        ///< the connection failed; may have run
  TimedOut,      ///< may have run
  Cancelled,     ///< may have run
};

struct owner_engine_options {
  std::uint64_t Seed = 1;
  attempt_table_options Attempts = {};
  /// Interval at which digests are sent to other owners of each service.
  duration DigestInterval = std::chrono::seconds(2);
  duration DetectorInterval = std::chrono::milliseconds(20);
};

/// Admits, refuses and completes the attempts that entry hosts forward to the
/// instances of this owner, and monitors the health of these instances. Single
/// thread.
class owner_engine {
public:
  /// The view must outlive the engine.
  owner_engine(fleet_view &Fleet, const owner_engine_options &Options);
  owner_engine(const owner_engine &) = delete;
  owner_engine &operator=(const owner_engine &) = delete;

  /// Sets the services of the configuration in force. Existing instances keep
  /// their state.
  void configure(const std::vector<service_settings> &Services);

  owner_commands offer(const forward_offer &Forward, time_point Now);
  fence_reply fence(const fence_request &Fence, time_point Now);
  /// The entry host cancelled the attempt.
  owner_commands cancel(const attempt_id &Attempt);

  /// Returns true if the answer is to be relayed. Otherwise the call must be
  /// cancelled; `callEnded` then ends the attempt.
  bool headReceived(const attempt_id &Attempt, const call_head &Head,
                    time_point Now, owner_commands &Out);
  /// The call has ended. `Head` is empty if none was received.
  owner_commands callEnded(const attempt_id &Attempt, call_end End,
                           const std::optional<call_head> &Head,
                           time_point Now);

  void digestReceived(const service_id &Service, const latency_digest &Digest,
                      time_point Now);
  /// Another owner of the service requested current digests.
  owner_commands digestsRequested(const service_id &Service,
                                  const host_id &From, time_point Now);
  owner_commands pathChecked(const backend_server_id &Server,
                             const request_kind &Kind,
                             const path_report &Report, time_point Now);
  /// Backend servers are leaving, were removed or were restarted.
  owner_commands serversChanged(const std::vector<server_event> &Events,
                                time_point Now);

  owner_commands tick(time_point Now);

  /// Creates a final message with the current state of the attempt's instance.
  attempt_end makeAttemptEnd(const attempt_id &Attempt, attempt_end_kind Kind,
                             time_point Now) const;

  std::size_t inFlight() const { return Calls.size(); }
  std::size_t instanceCount() const { return Instances.size(); }
  std::vector<backend_server_id> ejected() const;

private:
  struct attempt_record {
    backend_server_id Server;
    request_kind Kind;
    kind_index KindIndex;
    bool Repeatable = false;
    time_point Deadline{};
    time_point SentAt{};
    bool IsSent = false;
    bool IsEnded = false;
  };

  owned_instance *findOrCreateInstance(const forward_offer &Forward,
                                       time_point Now);
  owned_instance *find(const backend_server_id &Server);
  const owned_instance *find(const backend_server_id &Server) const;
  std::optional<attempt_end> refusalFor(const forward_offer &Forward,
                                        time_point Now);
  void refuse(const attempt_id &Attempt, attempt_end End, owner_commands &Out);
  void accept(const forward_offer &Forward, const attempt_acceptance &Accepted,
              time_point Now, owner_commands &Out);
  void apply(const slot_decisions &Decisions, time_point Now,
             owner_commands &Out);
  void startCall(const attempt_id &Attempt, time_point Now,
                 owner_commands &Out);
  void refuseWaiting(const slot_decision &Decision, time_point Now,
                     owner_commands &Out);
  void end(const attempt_id &Attempt, attempt_end End, owner_commands &Out);
  void reportOutcome(const attempt_id &Attempt, const attempt_record &Record,
                     server_outcome Outcome, time_point Now,
                     owner_commands &Out);
  void apply(owned_instance &Instance, const detection_events &Events,
             time_point Now, owner_commands &Out);
  void requestPathCheck(owned_instance &Instance, kind_index Kind,
                        time_point Now, owner_commands &Out);
  void requestReference(owned_instance &Instance, time_point Now,
                        owner_commands &Out);
  void sendDigests(time_point Now, owner_commands &Out);
  void drainSeen(const attempt_record &Record, time_point Now,
                 owner_commands &Out);
  const request_kind &kindName(const owned_instance &Instance,
                               kind_index Kind) const;

  fleet_view &Fleet;
  owner_engine_options Options;
  random_source Random;
  attempt_table Attempts;
  /// Updated in place and never removed, as instances refer to the settings.
  std::map<service_id, std::unique_ptr<service_settings>> Services;
  std::map<backend_server_id, std::unique_ptr<owned_instance>> Instances;
  std::map<attempt_id, attempt_record> Calls;
  /// Instances left to their successor because of a fault in the network path
  /// from this host, and until when.
  std::map<backend_server_id, time_point> YieldedUntil;
  time_point NextDigest{};
  time_point NextDetection{};
  time_point NextTableTick{};
};

} // namespace bw

#endif
