#ifndef BW_MEASUREMENT_DELIVERY_FAULT_NETWORK_H
#define BW_MEASUREMENT_DELIVERY_FAULT_NETWORK_H

#include "bw_core/random/random_source.h"
#include "bw_measurement/delivery/delivery_ledger.h"
#include "bw_measurement/delivery/fault_host.h"
#include "bw_measurement/delivery/fault_options.h"
#include "bw_measurement/delivery/fault_store.h"
#include "bw_simulation/time/event_queue.h"

#include <memory>
#include <vector>

namespace bw {

/// Daemons, callers, the store and backend servers in virtual time, joined at
/// the message interface of the decision classes. Messages are lost, delayed,
/// duplicated and reordered; daemons pause and restart; callers retry at other
/// entry hosts. The same seed gives the same run.
class fault_network {
public:
  using host_action = std::function<void(fault_host &)>;

  fault_network(fault_options Options, std::uint64_t Seed);
  fault_network(const fault_network &) = delete;
  fault_network &operator=(const fault_network &) = delete;

  /// Runs until no message is on its way any more.
  delivery_verdicts run();

  double attemptsPerRequest() const;

  // The part below is for the simulated hosts.

  /// Delivers to that daemon, if it still runs. `Lost` is called for some of
  /// the messages that did not arrive in time.
  void sendToDaemon(const daemon_id &To, const host_action &Deliver,
                    const event_queue::action &Lost);
  /// Delivers to whichever daemon runs on that host then.
  void sendToHost(const host_id &To, const host_action &Deliver);
  /// Runs on that daemon after the delay; dropped if it ended, postponed while
  /// it is paused. Keeps the order.
  void onDaemon(const daemon_id &To, duration Delay, const host_action &Action);

  event_queue &queue() { return Queue; }
  random_source &random() { return Random; }
  fault_store &store() { return Store; }
  delivery_ledger &ledger() { return Ledger; }
  const fault_options &options() const { return Options; }
  const fault_host &randomHost();
  /// The version of the one resource that callers fetch.
  std::uint64_t resourceVersion() const { return ResourceVersion; }

private:
  struct caller {
    caller_try Try;
    unsigned Tries = 0;
    bool Knows = false;
  };

  fault_host *findHost(const host_id &Host);
  void deliverTo(const host_id &To, const incarnation_id *Incarnation,
                 const host_action &Deliver);
  duration transitTime();
  void scheduleFaults(time_point End);
  void scheduleHostFaults(std::size_t Index, time_point End);
  void scheduleTicks(time_point End);
  void startCaller(std::uint64_t Number);
  void callEntryHost(const std::shared_ptr<caller> &Caller);
  void sendTry(const std::shared_ptr<caller> &Caller);

  fault_options Options;
  random_source Random;
  event_queue Queue;
  fault_store Store;
  delivery_ledger Ledger;
  std::vector<std::unique_ptr<fault_host>> Hosts;
  std::uint64_t ResourceVersion = 1;
};

} // namespace bw

#endif
