#include "bw_measurement/detection/detector_policy.h"

#include <algorithm>
#include <memory>
#include <optional>

using namespace bw;
using namespace std::chrono_literals;

namespace {

constexpr duration DigestPeriod = 2s;
constexpr std::size_t DigestTargets = 2;
constexpr std::size_t FreshDigests = 5;
// Requests that the successor sends for one path check.
constexpr std::size_t PathCheckRequests = 3;

struct watched_instance {
  watched_instance(const detection_options &Options, std::uint64_t Source)
      : Reference(Options, Source) {}

  latency_reference Reference;
  std::optional<server_detector> Detector;
  /// Kinds on trial and whether a request of the trial is in flight.
  per_kind<bool> OnTrial{};
  per_kind<bool> TrialBusy{};
};

class detector_fleet {
public:
  void attach(service_simulation &Attached);
  std::size_t pick(kind_index Kind);
  void started(slot_position Position);
  void finished(slot_position Position, server_outcome Outcome);
  void restarted(std::size_t Index);

private:
  void tick();
  void sendDigests(std::size_t Index);
  void collectDigests(std::size_t Index);
  void handle(std::size_t Index, const detection_events &Events);
  void handleEvent(std::size_t Index, const detection_event &Event);
  void checkPath(std::size_t Index, kind_index Kind);
  void answerPathCheck(std::size_t Index, kind_index Kind,
                       const path_report &Report);
  void moveOwner(std::size_t Index);
  void exclude(kind_index Kind);
  std::optional<kind_index> trialFor(std::size_t Index, kind_index Kind) const;
  std::size_t otherThan(std::size_t Index);

  service_simulation *Simulation = nullptr;
  detection_options Options;
  std::vector<std::unique_ptr<watched_instance>> Watched;
};

void detector_fleet::attach(service_simulation &Attached) {
  Simulation = &Attached;
  Options = Attached.profile().Detection;
  const std::size_t Count = Attached.instances().size();
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Watched.push_back(std::make_unique<watched_instance>(Options, Index + 1));
    Watched[Index]->Detector.emplace(Watched[Index]->Reference,
                                     Simulation->now(), false);
    const auto Phase = static_cast<std::int64_t>(
        Attached.random().below(DigestPeriod.count()));
    Attached.after(duration(Phase), [this, Index] { sendDigests(Index); });
  }
  Attached.after(Attached.profile().TickPeriod, [this] { tick(); });
}

std::size_t detector_fleet::pick(kind_index Kind) {
  for (std::size_t Index = 0; Index < Watched.size(); ++Index)
    if (trialFor(Index, Kind) && !Simulation->instances()[Index].Leaving)
      return Index;
  return Simulation->pickLessBusy(Kind);
}

// The kind on trial that a request of the given kind may serve.
std::optional<kind_index> detector_fleet::trialFor(std::size_t Index,
                                                   kind_index Kind) const {
  const auto &Kinds = Simulation->profile().Kinds;
  const watched_instance &Instance = *Watched[Index];
  if (!Kinds[Kind.value()].Repeatable)
    return std::nullopt;
  for (std::size_t Other = 0; Other < Kinds.size(); ++Other) {
    const bool Fits = Other == Kind.value() || !Kinds[Other].Repeatable;
    if (Fits && Instance.OnTrial[Other] && !Instance.TrialBusy[Other])
      return boundedKind(Other);
  }
  return std::nullopt;
}

void detector_fleet::started(slot_position Position) {
  simulated_request &Request = Simulation->request(Position);
  watched_instance &Instance = *Watched[Position.Instance];
  const std::optional<kind_index> Trial =
      trialFor(Position.Instance, Request.Kind);
  if (Trial)
    Instance.TrialBusy[Trial->value()] = true;
  Request.Tracked = Instance.Detector->startedTrial(
      Simulation->now(), Request.Kind, Request.Connection,
      Trial.value_or(Request.Kind));
}

void detector_fleet::finished(slot_position Position, server_outcome Outcome) {
  const simulated_request &Request = Simulation->request(Position);
  watched_instance &Instance = *Watched[Position.Instance];
  Instance.TrialBusy[Request.Tracked.TrialFor.value()] = false;
  handle(Position.Instance, Instance.Detector->finished(
                                Simulation->now(), Request.Tracked, Outcome));
}

void detector_fleet::restarted(std::size_t Index) {
  Watched[Index]->Detector.emplace(Watched[Index]->Reference, Simulation->now(),
                                   true);
  Watched[Index]->OnTrial = {};
  Watched[Index]->TrialBusy = {};
  collectDigests(Index);
}

void detector_fleet::tick() {
  for (std::size_t Index = 0; Index < Watched.size(); ++Index)
    handle(Index, Watched[Index]->Detector->tick(Simulation->now()));
  Simulation->after(Simulation->profile().TickPeriod, [this] { tick(); });
}

std::size_t detector_fleet::otherThan(std::size_t Index) {
  const std::size_t Other = Simulation->random().below(Watched.size() - 1);
  return Other < Index ? Other : Other + 1;
}

void detector_fleet::sendDigests(std::size_t Index) {
  const latency_digest Digest =
      Watched[Index]->Reference.digest(Simulation->now());
  for (std::size_t Count = 0; Count < DigestTargets; ++Count)
    Watched[otherThan(Index)]->Reference.merge(Simulation->now(), Digest);
  Simulation->after(DigestPeriod, [this, Index] { sendDigests(Index); });
}

void detector_fleet::collectDigests(std::size_t Index) {
  for (std::size_t Count = 0; Count < FreshDigests; ++Count) {
    watched_instance &Peer = *Watched[otherThan(Index)];
    Watched[Index]->Reference.merge(Simulation->now(),
                                    Peer.Reference.digest(Simulation->now()));
  }
}

void detector_fleet::handle(std::size_t Index, const detection_events &Events) {
  for (const detection_event &Event : Events)
    handleEvent(Index, Event);
}

void detector_fleet::handleEvent(std::size_t Index,
                                 const detection_event &Event) {
  watched_instance &Instance = *Watched[Index];
  const std::size_t Kind = Event.Kind.value();
  const duration RoundTrip = 2 * Simulation->profile().OneWay;
  switch (Event.Type) {
  case detection_event_type::ConnectionSuspected:
    Simulation->replaceConnections(Index);
    Simulation->abandon(Index, Event.Connection);
    break;
  case detection_event_type::ReferenceRequested:
    Simulation->after(RoundTrip, [this, Index] { collectDigests(Index); });
    break;
  case detection_event_type::PathCheckRequested:
    checkPath(Index, Event.Kind);
    break;
  case detection_event_type::PathFault:
    moveOwner(Index);
    break;
  case detection_event_type::Ejected:
    Instance.OnTrial[Kind] = false;
    Simulation->noteEjected(Index, Event.Kind);
    exclude(Event.Kind);
    break;
  case detection_event_type::TrialRequested:
    Instance.OnTrial[Kind] = true;
    Instance.TrialBusy[Kind] = false;
    break;
  case detection_event_type::Returned:
    Instance.OnTrial[Kind] = false;
    exclude(Event.Kind);
    break;
  }
}

// The successor waits for each of its requests until it is later than usual.
void detector_fleet::checkPath(std::size_t Index, kind_index Kind) {
  const duration Limit =
      Watched[Index]->Reference.limit(Kind, evidence_class::High);
  duration Longest{};
  path_report Report;
  for (std::size_t Count = 0; Count < PathCheckRequests; ++Count) {
    const simulated_request Probe = Simulation->probe(Index, Kind);
    const duration Latency = Probe.Finish - Probe.Started;
    const bool Good =
        Latency <= Limit && Probe.Outcome == server_outcome::Succeeded;
    ++(Good ? Report.Good : Report.Bad);
    Longest = std::max(Longest, std::min(Latency, Limit));
  }
  Simulation->after(2 * Simulation->profile().OneWay + Longest,
                    [=, this] { answerPathCheck(Index, Kind, Report); });
}

void detector_fleet::answerPathCheck(std::size_t Index, kind_index Kind,
                                     const path_report &Report) {
  handle(Index, Watched[Index]->Detector->pathChecked(Simulation->now(), Kind,
                                                      Report));
}

// The successor takes the instance over with a detector of its own.
void detector_fleet::moveOwner(std::size_t Index) {
  Simulation->movePath(Index);
  Simulation->replaceConnections(Index);
}

void detector_fleet::exclude(kind_index Kind) {
  std::vector<double> Scores;
  for (const auto &Instance : Watched) {
    const bool Ejected =
        Instance->Detector->phase(Kind) != server_phase::Serving;
    Scores.push_back(Ejected ? Instance->Detector->score(Kind) : 0);
  }
  Simulation->exclude(Kind, Scores);
}

} // namespace

balancing_policy bw::detectorPolicy() {
  const auto Fleet = std::make_shared<detector_fleet>();
  return {
      .Attach =
          [Fleet](service_simulation &Simulation) {
            Fleet->attach(Simulation);
          },
      .Pick = [Fleet](kind_index Kind) { return Fleet->pick(Kind); },
      .Started = [Fleet](slot_position Position) { Fleet->started(Position); },
      .Finished =
          [Fleet](slot_position Position, server_outcome Outcome) {
            Fleet->finished(Position, Outcome);
          },
      .Restarted = [Fleet](std::size_t Index) { Fleet->restarted(Index); }};
}
