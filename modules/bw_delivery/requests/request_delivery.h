#ifndef BW_DELIVERY_REQUESTS_REQUEST_DELIVERY_H
#define BW_DELIVERY_REQUESTS_REQUEST_DELIVERY_H

#include "bw_delivery/requests/delivery_messages.h"

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace bw {

struct request_delivery_options {
  bool Repeatable = false;
  /// Limit on attempts per request, including hedges and resumptions.
  unsigned MaxAttempts = 4;
  /// A repeatable request that has no answer head after this time is hedged
  /// with a second attempt.
  duration HedgeAfter = std::chrono::milliseconds(400);
  /// A transfer without progress for this time is resumed on another instance.
  duration StallAfter = std::chrono::seconds(3);
  /// A submission without an answer for this time is fenced, as the forward
  /// message may have been lost on a connection that no longer responds.
  duration FenceAfter = std::chrono::seconds(2);
  /// A fence without a reply is sent again after this time.
  duration FenceRepeat = std::chrono::milliseconds(200);
  /// How long after the deadline to wait for a fence reply.
  duration FenceGrace = std::chrono::milliseconds(500);
  /// Takes a token from the retry budget; returns false if none is left. Called
  /// before every attempt except the first.
  std::function<bool()> TryRetry = [] { return false; };
};

/// State machine of one request at its entry host, or of one submission at its
/// executor. Each event returns the commands to execute, in order. The request
/// is finished after `end_answer`, `abort_answer` or `report_outcome`; further
/// events return no commands.
///
/// `NotRun` is reported only when it is certain that no attempt ran. A request
/// that is not repeatable has at most one open attempt, and the next attempt
/// starts only after a fence or a refusal has closed the previous one. Not
/// thread-safe.
class request_delivery {
public:
  request_delivery(request_id Id, time_point Deadline,
                   request_delivery_options Options);

  delivery_commands start(time_point Now);

  delivery_commands serverPicked(const attempt_target &Pick, time_point Now);

  /// No backend server can accept the request at present.
  delivery_commands noServerAvailable(time_point Now);

  delivery_commands answerHead(const attempt_id &Attempt,
                               const answer_head &Head, time_point Now);

  /// Body bytes were relayed to the caller.
  delivery_commands dataRelayed(const attempt_id &Attempt, byte_count Bytes,
                                time_point Now);

  /// Flow control by the caller paused or resumed the transfer. A paused
  /// transfer does not count as stalled.
  void transferPaused(bool Paused, time_point Now);

  /// The explicit end frame of the answer was received.
  delivery_commands answerEnded(const attempt_id &Attempt, time_point Now);

  /// The stream to the owner failed, or the owner could not complete it.
  delivery_commands answerLost(const attempt_id &Attempt, time_point Now);

  /// The owner refused the attempt or the backend server shed it. `NotRun`: the
  /// attempt was certainly not run and never will be.
  delivery_commands attemptRefused(const attempt_id &Attempt, bool NotRun,
                                   time_point Now);

  delivery_commands fenceReplied(const fence_reply &Reply, time_point Now);

  delivery_commands timer(time_point Now);

  /// The caller disconnected. A submission that may run is tracked until it
  /// ends, so that its outcome can be stored.
  delivery_commands callerCancelled(time_point Now);

  const request_id &id() const { return Id; }
  bool finished() const { return Finished; }
  unsigned attempts() const { return Attempts; }

private:
  enum class attempt_phase { Waiting, Fencing, Relaying };

  struct open_attempt {
    attempt_id Id;
    attempt_target To;
    sender_time Deadline;
    attempt_phase Phase = attempt_phase::Waiting;
    time_point FenceAgainAt{};
  };

  open_attempt *findOpen(const attempt_id &Attempt);
  void closeAttempt(const attempt_id &Attempt);
  void cancelOpen(delivery_commands &Out, const attempt_id *Except);
  void retryOrReport(delivery_commands &Out, time_point Now,
                     std::string_view Reason);
  void requestServer(delivery_commands &Out);
  bool takeRetry();
  void forward(delivery_commands &Out, const attempt_target &Pick,
               time_point Now);
  void rejectMismatchedHead(delivery_commands &Out, const attempt_id &Attempt,
                            const answer_head &Head, time_point Now);
  void acceptHead(delivery_commands &Out, const attempt_id &Attempt,
                  const answer_head &Head, time_point Now);
  void acceptResumed(delivery_commands &Out, const attempt_id &Attempt,
                     const answer_head &Head, time_point Now);
  bool continuesTransfer(const answer_head &Head) const;
  void handleLostAttempt(delivery_commands &Out, const attempt_id &Attempt,
                         time_point Now);
  void resumeOrAbort(delivery_commands &Out, time_point Now);
  bool canResume() const;
  void fence(delivery_commands &Out, open_attempt &Attempt, time_point Now);
  void deadlinePassed(delivery_commands &Out, time_point Now);
  void hedge(delivery_commands &Out);
  void reportOutcome(delivery_commands &Out, request_outcome Reported,
                     answer_status Status, std::string_view Reason);
  void reportFailure(delivery_commands &Out, std::string_view Reason);
  void abort(delivery_commands &Out);
  void scheduleWake(delivery_commands &Out, time_point Now) const;
  bool isStalled(const open_attempt &Attempt, time_point Now) const;
  delivery_commands finishStep(delivery_commands Out, time_point Now) const;

  request_id Id;
  time_point Deadline;
  request_delivery_options Options;
  std::vector<open_attempt> Open;
  std::vector<backend_server_id> TriedServers;
  unsigned Attempts = 0;
  bool PickPending = false;
  bool Finished = false;
  bool CallerDisconnected = false;
  /// An attempt was closed without proof that it did not run.
  bool MayHaveRun = false;
  bool HedgeTried = false;
  time_point HedgeAt{};

  /// The head that was relayed to the caller, if any, and the number of body
  /// bytes relayed after it.
  std::optional<answer_head> Relayed;
  byte_count Received;
  bool Paused = false;
  time_point LastProgress{};
};

} // namespace bw

#endif
