#ifndef BW_MEASUREMENT_DETECTION_SERVICE_SIMULATION_H
#define BW_MEASUREMENT_DETECTION_SERVICE_SIMULATION_H

#include "bw_core/random/random_source.h"
#include "bw_detection/detector/server_detector.h"
#include "bw_measurement/detection/fault_scenario.h"
#include "bw_measurement/detection/quantile_table.h"
#include "bw_measurement/detection/service_profile.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <vector>

namespace bw {

class service_simulation;

/// Where a request runs.
struct slot_position {
  std::size_t Instance = 0;
  std::size_t Slot = 0;
};

/// Hooks of a way to choose instances. Every hook but Pick may be empty.
struct balancing_policy {
  std::function<void(service_simulation &)> Attach;
  /// The instance for a request of the kind.
  std::function<std::size_t(kind_index)> Pick;
  std::function<void(slot_position)> Started;
  std::function<void(slot_position, server_outcome)> Finished;
  /// After faults began or ended; for the oracle alone.
  std::function<void()> FaultsChanged;
  /// An instance came back from a restart.
  std::function<void(std::size_t)> Restarted;
};

struct simulated_request {
  kind_index Kind;
  time_point Arrived{};
  time_point Started{};
  time_point Finish{};
  connection_number Connection;
  server_outcome Outcome = server_outcome::Succeeded;
  std::uint32_t Version = 0;
  bool Busy = false;
  tracked_request Tracked;
};

struct simulated_connection {
  connection_number Number;
  bool Silent = false;
};

struct simulated_instance {
  std::vector<simulated_request> Slots;
  /// One kept connection for each slot.
  std::vector<simulated_connection> Connections;
  std::deque<simulated_request> Queue;
  std::uint32_t Busy = 0;
  connection_number NewestConnection;
  time_point PausedUntil{};
  time_point LastSick{};
  bool Leaving = false;
  bool PathBroken = false;
  bool WasSilenced = false;
  per_kind<bool> Sick{};
  per_kind<bool> Excluded{};
  per_kind<double> SlowFactor{};
  per_kind<double> ErrorShare{};
  per_kind<double> StallShare{};
  /// Of the fault that is on: kinds that still have to be excluded.
  per_kind<bool> Undetected{};
  time_point FaultBegin{};
};

struct simulation_result {
  std::uint64_t Offered = 0;
  std::uint64_t Answered = 0;
  std::uint64_t FalseEjections = 0;
  std::uint64_t MissedFaults = 0;
  /// One for each faulty instance and kind: from the start of the fault until
  /// no more work of the kind is sent the faulty way; FaultLength if missed.
  std::vector<duration> DetectionTimes;
  duration InstanceTime{};
  double HealthyCapacityMin = 1;
};

/// One service under one balancing policy in virtual time: a queue and slots
/// for each instance, service times, pauses and faults from a seed. Entry and
/// owner are one; only control messages take time on the network.
class service_simulation {
public:
  service_simulation(const service_profile &Profile,
                     const fault_scenario &Scenario, balancing_policy Policy,
                     std::uint64_t Seed);
  service_simulation(const service_simulation &) = delete;
  service_simulation &operator=(const service_simulation &) = delete;

  simulation_result run(std::size_t Cycles);

  time_point now() const { return Now; }
  random_source &random() { return Random; }
  const service_profile &profile() const { return Profile; }
  std::vector<simulated_instance> &instances() { return Instances; }
  simulated_request &request(slot_position Position) {
    return Instances[Position.Instance].Slots[Position.Slot];
  }
  void after(duration Delay, std::function<void()> Action);

  /// The less busy of two random instances that are not excluded.
  std::size_t pickLessBusy(kind_index Kind);
  /// Applies the floor to the given scores of ejected instances (0: serving).
  void exclude(kind_index Kind, const std::vector<double> &Scores);
  void noteEjected(std::size_t Instance, kind_index Kind);
  void noteAllEjected(std::size_t Instance);
  /// Gives up the request on a connection; a repeatable one is sent again.
  void abandon(std::size_t Instance, connection_number Connection);
  void replaceConnections(std::size_t Instance);
  void movePath(std::size_t Instance);
  /// What a request would meet on the way of the successor.
  simulated_request probe(std::size_t Instance, kind_index Kind);

private:
  struct timer {
    time_point Time;
    std::uint64_t Sequence;
    std::function<void()> Action;
    bool operator>(const timer &Other) const;
  };
  struct completion {
    time_point Time;
    std::uint64_t Sequence;
    slot_position Position;
    std::uint32_t Version;
    bool operator>(const completion &Other) const;
  };
  template <typename Item>
  using earliest_first =
      std::priority_queue<Item, std::vector<Item>, std::greater<>>;

  void advance(time_point End);
  void arrive();
  void dispatch(const simulated_request &Request);
  void start(std::size_t Instance, std::size_t Slot, simulated_request Request);
  void drawFate(std::size_t Instance, simulated_request &Request,
                bool SilentConnection, bool OwnerPath);
  void schedule(slot_position Position);
  void complete(slot_position Position, server_outcome Outcome);
  void startQueued(std::size_t Instance, std::size_t Slot);
  void pauseLater(std::size_t Instance);
  void pause(std::size_t Instance);
  void beginFaults();
  void beginFault(const fault &Fault, const std::vector<std::size_t> &Victims);
  void setFault(const fault &Fault, std::size_t Instance, bool On);
  void endFault(const fault &Fault, const std::vector<std::size_t> &Victims);
  void restart(std::size_t Instance, double ColdFactor);
  void silence(slot_position Position);
  void replaceConnection(simulated_instance &Instance, std::size_t Slot);
  void noteConnections(std::size_t Instance);
  void noteAllDetected(std::size_t Instance);
  void noteDetected(std::size_t Instance, kind_index Kind);
  void noteCapacity();
  std::size_t victimCount(fault_reach Reach) const;

  service_profile Profile;
  fault_scenario Scenario;
  balancing_policy Policy;
  random_source Random;
  std::vector<service_time> ServiceTimes;
  quantile_table Interarrival;
  quantile_table PauseGap;
  quantile_table PauseLength;
  std::vector<simulated_instance> Instances;
  earliest_first<completion> Completions;
  earliest_first<timer> Timers;
  std::uint64_t Sequence = 0;
  std::size_t NextVictim = 0;
  time_point Now{};
  time_point NextArrival{};
  bool Measuring = false;
  simulation_result Result;
};

} // namespace bw

#endif
