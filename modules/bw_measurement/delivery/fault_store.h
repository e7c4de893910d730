#ifndef BW_MEASUREMENT_DELIVERY_FAULT_STORE_H
#define BW_MEASUREMENT_DELIVERY_FAULT_STORE_H

#include "bw_core/random/random_source.h"
#include "bw_delivery/submissions/submission_messages.h"
#include "bw_measurement/delivery/fault_options.h"
#include "bw_simulation/time/event_queue.h"

#include <functional>
#include <map>

namespace bw {

/// The store's claims, with lost answers, writes that land late and outages.
class fault_store {
public:
  using reply = std::function<void(const claim_answer &)>;

  fault_store(const fault_options &Options, event_queue &Queue,
              random_source &Random)
      : Options(Options), Queue(Queue), Random(Random) {}

  void create(const submission_identity &Identity,
              const submission_claim &Claim, const reply &Reply);
  void read(const submission_identity &Identity, const reply &Reply);

  /// Schedules outages until `End`.
  void scheduleOutages(time_point End);

private:
  claim_answer write(const submission_identity &Identity,
                     const submission_claim &Claim);
  void answer(const reply &Reply, const claim_answer &Answer);

  const fault_options &Options;
  event_queue &Queue;
  random_source &Random;
  std::map<submission_identity, submission_claim> Claims;
  time_point AwayUntil{};
};

} // namespace bw

#endif
