#include "bw_measurement/detection/balancing_policies.h"

#include <memory>

using namespace bw;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t ErrorsInARow = 5;
constexpr duration ErrorEjection = 30s;

struct error_counts {
  service_simulation *Simulation = nullptr;
  std::vector<std::uint32_t> Errors;
  std::vector<double> Scores;

  void exclude() const {
    for (std::uint8_t Kind = 0; Kind < MaxKinds; ++Kind)
      Simulation->exclude(kind_index(Kind), Scores);
  }

  void finished(std::size_t Instance, server_outcome Outcome) {
    const bool Error = Outcome == server_outcome::Failed ||
                       Outcome == server_outcome::Unreachable;
    Errors[Instance] = Error ? Errors[Instance] + 1 : 0;
    if (Errors[Instance] < ErrorsInARow || Scores[Instance] > 0)
      return;
    Scores[Instance] = Errors[Instance];
    Simulation->noteAllEjected(Instance);
    exclude();
    Simulation->after(ErrorEjection, [this, Instance] {
      Scores[Instance] = 0;
      Errors[Instance] = 0;
      exclude();
    });
  }
};

void followFaults(service_simulation &Simulation) {
  std::vector<simulated_instance> &Instances = Simulation.instances();
  for (std::size_t Index = 0; Index < Instances.size(); ++Index) {
    if (Instances[Index].PathBroken)
      Simulation.movePath(Index);
    if (Instances[Index].WasSilenced) {
      for (const simulated_connection &Kept :
           std::vector<simulated_connection>(Instances[Index].Connections))
        Simulation.abandon(Index, Kept.Number);
      Simulation.replaceConnections(Index);
    }
  }
  for (std::uint8_t Kind = 0; Kind < MaxKinds; ++Kind) {
    std::vector<double> Scores;
    for (std::size_t Index = 0; Index < Instances.size(); ++Index) {
      Scores.push_back(Instances[Index].Sick[Kind] ? 1 : 0);
      if (Instances[Index].Sick[Kind])
        Simulation.noteEjected(Index, kind_index(Kind));
    }
    Simulation.exclude(kind_index(Kind), Scores);
  }
}

} // namespace

balancing_policy bw::roundRobinPolicy() {
  struct turn {
    service_simulation *Simulation = nullptr;
    std::size_t Next = 0;
  };
  const auto State = std::make_shared<turn>();
  return {.Attach =
              [State](service_simulation &Simulation) {
                State->Simulation = &Simulation;
              },
          .Pick =
              [State](kind_index) {
                const auto &Instances = State->Simulation->instances();
                do
                  State->Next = (State->Next + 1) % Instances.size();
                while (Instances[State->Next].Leaving);
                return State->Next;
              }};
}

balancing_policy bw::consecutiveErrorsPolicy() {
  const auto State = std::make_shared<error_counts>();
  return {.Attach =
              [State](service_simulation &Simulation) {
                State->Simulation = &Simulation;
                State->Errors.resize(Simulation.instances().size());
                State->Scores.resize(Simulation.instances().size());
              },
          .Pick =
              [State](kind_index Kind) {
                return State->Simulation->pickLessBusy(Kind);
              },
          .Finished =
              [State](slot_position Position, server_outcome Outcome) {
                State->finished(Position.Instance, Outcome);
              }};
}

balancing_policy bw::oraclePolicy() {
  const auto Simulation = std::make_shared<service_simulation *>(nullptr);
  return {.Attach =
              [Simulation](service_simulation &Attached) {
                *Simulation = &Attached;
              },
          .Pick =
              [Simulation](kind_index Kind) {
                return (*Simulation)->pickLessBusy(Kind);
              },
          .FaultsChanged = [Simulation] { followFaults(**Simulation); }};
}
