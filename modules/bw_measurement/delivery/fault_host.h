#ifndef BW_MEASUREMENT_DELIVERY_FAULT_HOST_H
#define BW_MEASUREMENT_DELIVERY_FAULT_HOST_H

#include "bw_measurement/delivery/fault_messages.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace bw {

class fault_network;

/// One daemon of the simulation: entry host, executor and owner at once. It
/// only carries out what the decision classes return.
class fault_host {
public:
  fault_host(fault_network &Network, std::size_t Index);
  fault_host(const fault_host &) = delete;
  fault_host &operator=(const fault_host &) = delete;

  /// Loses all state; the host is away for a while and starts anew.
  void crash(duration Away);

  /// Stops for a while; with `Suspended` its monotonic clock stops too.
  void pause(duration Length, bool Suspended);

  void tick();

  /// Runs the action now, or in its turn when the pause is over.
  void perform(const std::function<void(fault_host &)> &Action);

  submission_ticket issueTicket();
  void submit(const caller_try &Try, const outcome_reply &Reply);
  void submitRouted(const caller_try &Try, const submission_claim &Claim,
                    const outcome_reply &Reply);
  void forwarded(const forwarded_request &Forward);
  void fenceAsked(const daemon_id &Asker, const send_fence &Fence);

  void headCame(const attempt_id &Attempt, const simulated_answer &Answer);
  void dataCame(const attempt_id &Attempt, byte_count Bytes);
  void endCame(const attempt_id &Attempt);
  void answerLost(const attempt_id &Attempt);
  void refusalCame(const attempt_id &Attempt, bool NotRun);
  void fenceReplied(const fence_reply &Reply);

  const daemon_id &id() const { return Daemon; }
  bool isUp() const { return Up; }
  time_point pausedUntil() const { return PausedUntil; }
  std::uint64_t deliveries() const { return DeliveryCount; }
  std::uint64_t attempts() const { return AttemptCount; }

private:
  struct running_delivery {
    running_delivery(request_delivery Machine, const caller_try &Try)
        : Machine(std::move(Machine)), Try(Try) {}

    request_delivery Machine;
    caller_try Try;
    std::optional<submission_key> Key;
    outcome_reply Reply;
    std::map<attempt_id, simulated_answer> Answers;
    std::optional<attempt_id> Current;
    bool Wrong = false;
    byte_count Received;
    std::uint64_t Version = 0;
    std::uint64_t Wake = 0;
  };
  using delivery_pointer = std::shared_ptr<running_delivery>;

  time_point local() const;
  void start();
  void resume();
  void later(duration Delay, const std::function<void()> &Action);
  bool takeRetryToken();

  void act(const submission_decision &Decision, const caller_try &Try,
           const outcome_reply &Reply);
  void askStore(const submission_decision &Decision, const caller_try &Try);
  void claimSettled(const submission_decision &Decision, const caller_try &Try);
  void route(const caller_try &Try, const submission_claim &Claim,
             const outcome_reply &Reply);
  void tellWaiters(const submission_key &Key, request_outcome Outcome);
  std::vector<outcome_reply> takeWaiters(const submission_key &Key);

  void run(const caller_try &Try, const std::optional<submission_key> &Key,
           const outcome_reply &Reply);
  delivery_pointer find(const attempt_id &Attempt) const;
  void execute(const delivery_pointer &Delivery,
               const delivery_commands &Commands);
  void carryOut(const delivery_pointer &Delivery, const pick_server &Command);
  void carryOut(const delivery_pointer &Delivery,
                const forward_request &Command);
  void carryOut(const delivery_pointer &Delivery, const send_fence &Command);
  void carryOut(const delivery_pointer &Delivery,
                const cancel_attempt &Command);
  void carryOut(const delivery_pointer &Delivery, const relay_head &Command);
  void carryOut(const delivery_pointer &Delivery, const relay_resumed &Command);
  void carryOut(const delivery_pointer &Delivery,
                const discard_answer &Command);
  void carryOut(const delivery_pointer &Delivery, const end_answer &Command);
  void carryOut(const delivery_pointer &Delivery, const abort_answer &Command);
  void carryOut(const delivery_pointer &Delivery,
                const report_outcome &Command);
  void carryOut(const delivery_pointer &Delivery, const wake_at &Command);
  void finish(const delivery_pointer &Delivery, attempt_outcome Outcome,
              bool Told);

  void sendToServer(const forwarded_request &Forward);
  void answerFromServer(const forwarded_request &Forward);
  void stream(const forwarded_request &Forward, const simulated_answer &Answer);
  void refuse(const forwarded_request &Forward, bool NotRun);

  fault_network &Network;
  daemon_id Daemon;
  bool Up = false;
  time_point PausedUntil{};
  /// What came while the daemon was paused, in order.
  std::deque<std::function<void(fault_host &)>> Backlog;
  duration ClockOffset{};
  double ClockDrift = 0;
  std::unique_ptr<submission_table> Submissions;
  std::unique_ptr<attempt_table> Attempts;
  std::unordered_map<request_id, delivery_pointer> Deliveries;
  std::map<submission_key, std::vector<outcome_reply>> Waiters;
  sequence_number LastRequest;
  double RetryTokens = 0;
  std::uint64_t DeliveryCount = 0;
  std::uint64_t AttemptCount = 0;
};

} // namespace bw

#endif
