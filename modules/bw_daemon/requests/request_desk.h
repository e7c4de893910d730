#ifndef BW_DAEMON_REQUESTS_REQUEST_DESK_H
#define BW_DAEMON_REQUESTS_REQUEST_DESK_H

#include "bw_daemon/decide/decide_events.h"
#include "bw_daemon/owner/attempt_listener.h"
#include "bw_daemon/owner/outgoing_request.h"
#include "bw_daemon/requests/request_intake.h"
#include "bw_daemon/requests/requester.h"
#include "bw_delivery/submissions/submission_table.h"
#include "bw_engine/entry/entry_engine.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bw {

/// A submission that goes to the daemon that executes it.
struct relay_order {
  request_id Id;
  daemon_id Executor;
  service_request Service;
  outgoing_request Request;
  /// One of the two names the submission.
  std::string Ticket;
  idempotency_key Key;
  claim_nonce Nonce;
};

/// What happened to a caller's request for a record of an order.
struct order_step {
  caller_id Caller;
  /// Path of the request: `/orders/<order>/records/<record>`.
  std::string Path;
  bool IsRefused = false;
  /// Code of the refusal, else `complete` or `incomplete`.
  std::string Detail;
};

struct request_desk_options {
  daemon_id Self;
  std::uint64_t Seed = 1;
  /// Hands an attempt to its owner, here or elsewhere.
  std::function<void(const forward_attempt &, const outgoing_request &)>
      Forward;
  std::function<void(const send_fence &)> Fence;
  std::function<void(const cancel_attempt &)> Cancel;
  std::function<void(const relay_order &)> Relay;
  /// Creates the claim object if absent, or reads it.
  std::function<void(const submission_identity &,
                     const std::optional<submission_claim> &)>
      Claim;
  std::function<void(const confirm_request &, std::shared_ptr<requester>)>
      Confirm;
  /// A record of an order was handed out or refused.
  std::function<void(const order_step &)> Audit = [](const order_step &) {};
  /// Every ended request, for the metrics.
  std::function<void(const entry_request &, request_outcome, duration)>
      OnEnded = [](const entry_request &, request_outcome, duration) {};
};

/// The requests of callers at this host: examines them, runs submissions at
/// most once, carries out what the entry engine decides, and answers. Decide
/// thread only.
class request_desk : public attempt_listener {
public:
  request_desk(fleet_view &Fleet, request_desk_options Options);
  request_desk(const request_desk &) = delete;
  request_desk &operator=(const request_desk &) = delete;

  void setCatalogue(const catalogue_pointer &Catalogue);

  /// A caller's request. Returns its id, under which `callerClosed` ends it.
  request_id arrived(const http_request &Request,
                     std::shared_ptr<requester> From, time_point Now);
  void callerClosed(const request_id &Request, time_point Now);

  /// Another daemon hands a submission to this executor.
  void relayed(relay_order Order, std::shared_ptr<requester> From,
               time_point Now);
  void handle(relay_ended Event, time_point Now);
  void handle(const claim_answered &Event, time_point Now);

  void whole(const attempt_id &Attempt, int Status, http_headers Headers,
             std::string Body) override;
  void head(const attempt_id &Attempt, int Status, http_headers Headers,
            std::shared_ptr<answer_relay> Relay) override;
  void ended(const attempt_id &Attempt, const attempt_end &End) override;
  void lost(const attempt_id &Attempt, forward_loss Loss, time_point Now);
  void fenceReplied(const fence_reply &Reply, time_point Now);
  void handle(const answer_progress &Event, time_point Now);
  void handle(const answer_paused &Event, time_point Now);

  void tick(time_point Now);
  std::optional<time_point> nextTick() const { return Engine.nextTick(); }
  std::size_t openRequests() const { return Requests.size(); }

  /// The time of the event that is handled now, for the listener's calls.
  void setNow(time_point Now) { CurrentTime = Now; }

private:
  struct whole_answer {
    int Status = 200;
    http_headers Headers;
    std::string Body;
  };
  struct streamed_answer {
    int Status = 200;
    http_headers Headers;
    std::shared_ptr<answer_relay> Relay;
  };
  struct open_request {
    entry_request Entry;
    outgoing_request Outgoing;
    std::string Path;
    time_point Started{};
    /// The first one gets a streamed answer, all get a whole one.
    std::vector<std::shared_ptr<requester>> Requesters;
    std::optional<submission_key> Submission;
    std::map<attempt_id, whole_answer> Whole;
    std::map<attempt_id, streamed_answer> Streamed;
    std::optional<attempt_id> Chosen;
    std::shared_ptr<answer_sink> Sink;
  };
  /// A submission whose claim is not settled, or that runs elsewhere.
  struct waiting_submission {
    request_id Id;
    service_request Service;
    outgoing_request Outgoing;
    std::string Path;
    std::vector<std::shared_ptr<requester>> Requesters;
    time_point Deadline{};
  };

  request_id nextId();
  void begin(const service_request &Service, outgoing_request Outgoing,
             std::string Path, std::vector<std::shared_ptr<requester>> From,
             std::optional<submission_key> Submission, time_point Now);
  void submit(const service_request &Service, const http_request &Request,
              const std::shared_ptr<requester> &From, time_point Now);
  void decide(const submission_decision &Decision, waiting_submission Waiting,
              const submission_identity *Identity, time_point Now);
  void issueTicket(const ticket_request &Request, requester &From,
                   time_point Now);
  void tellStatus(const status_request &Request, requester &From);
  void run(const entry_commands &Commands, time_point Now);
  void run(open_request &Open, const delivery_command &Command, time_point Now);
  void relayHead(open_request &Open, const attempt_id &Attempt);
  void relayResumed(open_request &Open, const attempt_id &Attempt);
  void endAnswer(open_request &Open, const attempt_outcome &Outcome,
                 time_point Now);
  void abortAnswer(open_request &Open, const attempt_outcome &Outcome,
                   time_point Now);
  void tellOutcome(open_request &Open, const report_outcome &Told,
                   time_point Now);
  void close(open_request &Open, const attempt_outcome &Outcome,
             std::string Body, bool IsBodyKept, time_point Now);
  open_request *find(const request_id &Request);

  fleet_view &Fleet;
  request_desk_options Options;
  random_source Random;
  entry_engine Engine;
  submission_table Submissions;
  request_intake Intake;
  std::unordered_map<request_id, open_request> Requests;
  std::map<submission_key, request_id> Running;
  std::map<submission_identity, waiting_submission> Claiming;
  std::unordered_map<request_id, waiting_submission> Relayed;
  sequence_number LastSequence;
  time_point CurrentTime{};
  time_point NextTableTick{};
};

} // namespace bw

#endif
