#include "bw_detection/detector/server_detector.h"

#include <algorithm>
#include <limits>

using namespace bw;

namespace {

// Upper bound of the time in which bad requests of one kind count as one
// observation.
constexpr duration MaxCorrelationWindow = std::chrono::milliseconds(250);
// How long connections opened after a suspected connection count as new.
constexpr duration NewConnectionPeriod = std::chrono::seconds(10);
// How long the recent requests in digests are valid. A slowdown of the whole
// service shows in them after some tenths of a second; older digests would let
// the first slow instance be ejected for it.
constexpr duration ReferenceValidity = std::chrono::milliseconds(500);
// How long the result of a path check is valid.
constexpr duration PathCheckValidity = std::chrono::seconds(5);
// A server with a gray failure may answer the few requests of one check, so a
// healthy result expires sooner.
constexpr duration HealthyPathValidity = std::chrono::seconds(1);
// Maximum length of a trial. At its end, the trial fails if any of its requests
// was bad.
constexpr duration MaxTrialTime = std::chrono::seconds(10);
// Bad requests that fail a trial. A single one occurs in the trial of 1 healthy
// server in 80.
constexpr std::uint8_t TrialBadLimit = 2;
// Factor on the threshold while neither the successor nor the peers corroborate
// the owner's evidence.
constexpr double UncorroboratedFactor = 2;
// Share of the threshold that a kind must reach on its own before the evidence
// of other kinds is added.
constexpr double MinOwnShare = 0.5;
// How long an ejection for one kind counts as evidence against the others. When
// it counted for the whole ejection, servers that were unhealthy for one kind
// were ejected for healthy kinds too.
constexpr duration CrossKindPeriod = std::chrono::seconds(5);
// Stalled requests needed to count a stall. Fewer may be one slow request on an
// otherwise idle server.
constexpr std::uint8_t MinStalledRequests = 2;

duration overlap(time_point Begin, time_point End, time_point Started) {
  return std::max(End - std::max(Begin, Started), duration::zero());
}

void move(per_class<float> &Counts, evidence_class From, evidence_class To,
          float Weight) {
  float &Old = Counts[static_cast<std::size_t>(From)];
  Old = std::max(Old - Weight, 0.0F);
  Counts[static_cast<std::size_t>(To)] += Weight;
}

bool isAnswer(server_outcome Outcome) {
  return Outcome == server_outcome::Succeeded ||
         Outcome == server_outcome::Failed || Outcome == server_outcome::Shed;
}

} // namespace

server_detector::server_detector(latency_reference &Reference, time_point Now,
                                 bool ColdStart)
    : Reference(Reference), Threshold(ejectionThreshold(Reference.options())),
      GraceEnd(ColdStart ? Now + Reference.options().ColdStartGrace : Now),
      LastProgress(Now), BusySince(Now) {}

tracked_request server_detector::started(time_point Now, kind_index Kind,
                                         connection_number Connection) {
  return startedTrial(Now, Kind, Connection, Kind);
}

tracked_request server_detector::startedTrial(time_point Now, kind_index Kind,
                                              connection_number Connection,
                                              kind_index TrialFor) {
  const bool OpenedConnection = Connection > NewestConnection;
  NewestConnection = std::max(NewestConnection, Connection);
  tracked_request Request = {.Started = Now,
                             .Connection = Connection,
                             .Kind = Kind,
                             .TrialFor = TrialFor};
  const auto Free =
      std::find_if(InFlight.begin(), InFlight.end(),
                   [](const in_flight &Entry) { return !Entry.Used; });
  if (Free == InFlight.end())
    return Request;
  if (InFlightCount++ == 0)
    BusySince = Now;
  *Free = {.Started = Now,
           .Connection = Connection,
           .Kind = Kind,
           .TrialFor = TrialFor,
           .Used = true,
           .OpenedConnection = OpenedConnection};
  Request.Index = static_cast<std::uint8_t>(Free - InFlight.begin());
  return Request;
}

detection_events server_detector::finished(time_point Now,
                                           const tracked_request &Request,
                                           server_outcome Outcome) {
  in_flight Entry = {.Started = Request.Started,
                     .Connection = Request.Connection,
                     .Kind = Request.Kind,
                     .TrialFor = Request.TrialFor};
  if (Request.Index < MaxTracked) {
    Entry = InFlight[Request.Index];
    InFlight[Request.Index] = in_flight();
    --InFlightCount;
  }
  evaluateFinished(Now, Entry, Outcome);
  if (isAnswer(Outcome))
    recordProgress(Now);
  detection_events Events;
  decide(Now, Request.Kind, Events);
  if (Request.TrialFor != Request.Kind)
    decide(Now, Request.TrialFor, Events);
  return Events;
}

detection_events server_detector::tick(time_point Now) {
  for (in_flight &Entry : InFlight)
    if (Entry.Used)
      evaluateAge(Now, Entry);
  evaluateStall(Now);
  detection_events Events;
  suspectConnections(Now, Events);
  for (std::uint8_t Kind = 0; Kind < MaxKinds; ++Kind)
    decide(Now, kind_index(Kind), Events);
  return Events;
}

detection_events server_detector::pathChecked(time_point Now, kind_index Kind,
                                              const path_report &Report) {
  detection_events Events;
  kind_state &State = kindOf(Kind);
  if (State.Path != path_state::Requested)
    return Events;
  const bool Healthy = isHealthyFromSuccessor(Now, Kind, Report);
  State.PathStateAt = Now;
  State.Path = Report.Good + Report.Bad == 0 ? path_state::NoReply
               : Healthy                     ? path_state::Healthy
                                             : path_state::Unhealthy;
  if (Healthy && isUnresponsive(Now, Kind))
    reportPathFault(Kind, Events);
  decide(Now, Kind, Events);
  return Events;
}

void server_detector::reportPathFault(kind_index Kind,
                                      detection_events &Events) {
  resetTest(kindOf(Kind));
  Events.add({.Type = detection_event_type::PathFault, .Kind = Kind});
}

// While this host gets no answer at all, one good answer to the successor shows
// a path fault. While it gets some answers, the successor must see no bad
// request, since many servers with gray failures answer part of the requests.
bool server_detector::isHealthyFromSuccessor(time_point Now, kind_index Kind,
                                             const path_report &Report) const {
  return Report.Good > 0 && (Report.Bad == 0 || isUnresponsive(Now, Kind));
}

bool server_detector::isUnresponsive(time_point Now, kind_index Kind) const {
  return StalledRequests > 0 &&
         Now - stallBegin() > Reference.limit(Kind, evidence_class::VeryHigh);
}

// An error response proves that the path works.
bool server_detector::hasServerErrors(kind_index Kind) const {
  constexpr auto Failed = static_cast<std::size_t>(evidence_class::Failed);
  const double Score = kindOf(Kind).Counts[Failed] *
                       Reference.weight(Kind, evidence_class::Failed);
  return Score >= Reference.options().SuspicionShare.value() * Threshold;
}

bool server_detector::anyEjected() const {
  return std::any_of(Kinds.begin(), Kinds.end(), [](const kind_state &Kind) {
    return Kind.Phase != server_phase::Serving;
  });
}

double server_detector::score(kind_index Kind) const {
  const kind_state &State = kindOf(Kind);
  if (State.Phase != server_phase::Serving)
    return State.EjectedScore;
  return std::max(scoreOf(Kind, State.Counts), 0.0);
}

void server_detector::evaluateFinished(time_point Now, in_flight &Entry,
                                       server_outcome Outcome) {
  const duration Latency = Now - Entry.Started;
  switch (Outcome) {
  case server_outcome::Succeeded:
    if (kindOf(Entry.Kind).Phase != server_phase::Ejected && Now >= GraceEnd)
      Reference.record(Now, Entry.Kind, Latency);
    addEvidence(
        Now, Entry,
        Reference.classify(Entry.Kind, comparableLatency(Entry, Latency)),
        false);
    break;
  case server_outcome::Failed:
    addEvidence(Now, Entry, evidence_class::Failed, false);
    break;
  case server_outcome::Unreachable:
    addEvidence(Now, Entry, evidence_class::Unreachable, true);
    break;
  case server_outcome::Cancelled:
    evaluateAge(Now, Entry);
    break;
  case server_outcome::Shed:
    break;
  }
  if (isAnswer(Outcome))
    confirmEvidence(Entry);
}

void server_detector::evaluateAge(time_point Now, in_flight &Entry) {
  const evidence_class Class = Reference.classify(
      Entry.Kind, comparableLatency(Entry, Now - Entry.Started));
  if (isBad(Class) && Class > Entry.WorstClass)
    addEvidence(Now, Entry, Class, true);
}

void server_detector::evaluateTrial(kind_state &Kind, const in_flight &Entry,
                                    evidence_class Class) {
  if (Class <= evidence_class::High)
    ++Kind.TrialGood;
  if (Class >= evidence_class::Extreme &&
      Entry.WorstClass < evidence_class::Extreme)
    ++Kind.TrialBad;
}

void server_detector::addEvidence(time_point Now, in_flight &Entry,
                                  evidence_class Class, bool Silent) {
  kind_state &OnTrial = kindOf(Entry.TrialFor);
  if (OnTrial.Phase == server_phase::Trial)
    evaluateTrial(OnTrial, Entry, Class);
  if (kindOf(Entry.Kind).Phase == server_phase::Ejected)
    return;
  if (Entry.WorstClass == evidence_class::Normal)
    Reference.recordClass(Now, Entry.Kind, Class);
  if (kindOf(Entry.Kind).Phase == server_phase::Trial)
    Entry.WorstClass = std::max(Entry.WorstClass, Class);
  else if (isBad(Class))
    addBad(Now, Entry, Class, Silent);
  else
    addGood(Now, Entry, Class);
}

void server_detector::addGood(time_point Now, const in_flight &Entry,
                              evidence_class Class) {
  kind_state &State = kindOf(Entry.Kind);
  State.Counts[static_cast<std::size_t>(Class)] += evidenceWeight(Now);
  if (isOnNewConnection(Now, Entry))
    discardUnconfirmed(State);
}

void server_detector::addBad(time_point Now, in_flight &Entry,
                             evidence_class Class, bool Silent) {
  const bool First = Entry.WorstClass == evidence_class::Normal;
  Entry.WorstClass = std::max(Entry.WorstClass, Class);
  if (Silent && First)
    ++StalledRequests;
  if (Silent && isOnNewConnection(Now, Entry))
    SilentOnNewConnection = true;
  if (Entry.Weight > 0) {
    raiseClass(Entry, Class);
    return;
  }
  if (Class > evidence_class::Unbounded) {
    countBad(Now, Entry, Class, Silent);
    return;
  }
  const evidence_class Unexplained = Reference.classify(
      Entry.Kind, comparableLatency(Entry, unexplainedAge(Now, Entry)));
  if (isBad(Unexplained))
    countBad(Now, Entry, Unexplained, Silent);
}

// Bad requests of one kind within the correlation window count as one
// observation, since they are likely to share one brief cause.
void server_detector::countBad(time_point Now, in_flight &Entry,
                               evidence_class Class, bool Silent) {
  kind_state &State = kindOf(Entry.Kind);
  StallCounted = true;
  LastStall.Counted = true;
  if (Now < State.WindowEnd)
    return;
  State.WindowEnd = Now + correlationWindow(Entry.Kind);
  Entry.Weight = evidenceWeight(Now);
  Entry.CountedClass = Class;
  Entry.Unconfirmed = Silent && !isOnNewConnection(Now, Entry);
  State.Counts[static_cast<std::size_t>(Class)] += Entry.Weight;
  if (Entry.Unconfirmed)
    State.Unconfirmed[static_cast<std::size_t>(Class)] += Entry.Weight;
}

void server_detector::raiseClass(in_flight &Entry, evidence_class Class) {
  if (Class <= Entry.CountedClass)
    return;
  kind_state &State = kindOf(Entry.Kind);
  move(State.Counts, Entry.CountedClass, Class, Entry.Weight);
  if (Entry.Unconfirmed)
    move(State.Unconfirmed, Entry.CountedClass, Class, Entry.Weight);
  Entry.CountedClass = Class;
}

// Any answer, even a late one, shows that the connection works, so the evidence
// counts against the server.
void server_detector::confirmEvidence(in_flight &Entry) {
  if (!Entry.Unconfirmed)
    return;
  float &Count = kindOf(Entry.Kind)
                     .Unconfirmed[static_cast<std::size_t>(Entry.CountedClass)];
  Count = std::max(Count - Entry.Weight, 0.0F);
}

// A request on a new connection succeeded, so the silence was a fault of the
// old connections.
void server_detector::discardUnconfirmed(kind_state &Kind) {
  for (std::size_t Class = 0; Class < EvidenceClassCount; ++Class)
    Kind.Counts[Class] =
        std::max(Kind.Counts[Class] - Kind.Unconfirmed[Class], 0.0F);
  Kind.Unconfirmed = {};
}

void server_detector::recordProgress(time_point Now) {
  const time_point Begin = stallBegin();
  if (StallCounted || Now - Begin >= MaxCorrelationWindow)
    LastStall = {.Begin = Begin, .End = Now, .Counted = StallCounted};
  LastProgress = Now;
  StallCounted = false;
  StalledRequests = 0;
}

// While several requests are unanswered, each further period of one 0.999
// quantile without an answer is as unlikely for a healthy server as the first.
void server_detector::evaluateStall(time_point Now) {
  if (StalledRequests < MinStalledRequests)
    return;
  const auto Stuck = std::find_if(
      InFlight.begin(), InFlight.end(), [&](const in_flight &Entry) {
        return Entry.Used && Entry.WorstClass >= evidence_class::VeryHigh &&
               kindOf(Entry.Kind).Phase == server_phase::Serving;
      });
  if (Stuck == InFlight.end())
    return;
  const duration Step = Reference.limit(Stuck->Kind, evidence_class::VeryHigh);
  if (Now - stallBegin() < 2 * Step || Now < NextStallEvidence)
    return;
  NextStallEvidence = Now + Step;
  constexpr auto Extreme = static_cast<std::size_t>(evidence_class::Extreme);
  kind_state &State = kindOf(Stuck->Kind);
  State.Counts[Extreme] += evidenceWeight(Now);
  State.Unconfirmed[Extreme] += evidenceWeight(Now);
}

void server_detector::suspectConnections(time_point Now,
                                         detection_events &Events) {
  for (in_flight &Entry : InFlight) {
    if (!Entry.Used || Entry.Suspected || !isSilent(Now, Entry))
      continue;
    Entry.Suspected = true;
    Events.add({.Type = detection_event_type::ConnectionSuspected,
                .Kind = Entry.Kind,
                .Connection = Entry.Connection});
    if (Now < NewConnectionsUntil)
      continue;
    FirstNewConnection = NewestConnection.next();
    NewConnectionsUntil = Now + NewConnectionPeriod;
    SilentOnNewConnection = false;
  }
}

bool server_detector::isSilent(time_point Now, const in_flight &Entry) const {
  const duration Limit = Reference.limit(Entry.Kind, evidence_class::VeryHigh);
  const duration Age = comparableLatency(Entry, Now - Entry.Started);
  return std::chrono::duration<double>(Age) >
         Reference.options().SilenceFactor *
             std::chrono::duration<double>(Limit);
}

// Silence on a newly opened connection is a fault of the server or the path,
// not of the connection.
bool server_detector::isOnNewConnection(time_point Now,
                                        const in_flight &Entry) const {
  const bool AfterSuspicion =
      Now < NewConnectionsUntil && Entry.Connection >= FirstNewConnection;
  return Entry.OpenedConnection || AfterSuspicion;
}

// Age of a request, minus the part of a stall that another request has been
// counted for. Pauses of healthy servers stay within the 0.999 quantile, so at
// most a small multiple of it is subtracted, and nothing from a request that
// started once a stall had lasted that long.
duration server_detector::unexplainedAge(time_point Now,
                                         const in_flight &Entry) const {
  const duration Pause = Reference.limit(Entry.Kind, evidence_class::VeryHigh);
  duration Silence{};
  if (LastStall.Counted)
    Silence += overlap(LastStall.Begin, LastStall.End, Entry.Started);
  if (StallCounted && Entry.Started < stallBegin() + Pause)
    Silence += overlap(stallBegin(), Now, Entry.Started);
  return Now - Entry.Started -
         std::min(Silence, Reference.options().PauseFactor * Pause);
}

duration server_detector::comparableLatency(const in_flight &Entry,
                                            duration Latency) const {
  return Entry.Started < GraceEnd
             ? Latency / Reference.options().ColdStartLatencyFactor
             : Latency;
}

time_point server_detector::stallBegin() const {
  return std::max(LastProgress, BusySince);
}

duration server_detector::correlationWindow(kind_index Kind) const {
  return std::min(Reference.limit(Kind, evidence_class::Normal),
                  MaxCorrelationWindow);
}

float server_detector::evidenceWeight(time_point Now) const {
  return Now < GraceEnd
             ? static_cast<float>(Reference.options().ColdStartWeight)
             : 1.0F;
}

void server_detector::decide(time_point Now, kind_index Kind,
                             detection_events &Events) {
  kind_state &State = kindOf(Kind);
  switch (State.Phase) {
  case server_phase::Serving:
    decideServing(Now, Kind, Events);
    break;
  case server_phase::Ejected:
    if (Now < State.Until)
      break;
    State.Phase = server_phase::Trial;
    State.TrialGood = 0;
    State.TrialBad = 0;
    Events.add({.Type = detection_event_type::TrialRequested, .Kind = Kind});
    break;
  case server_phase::Trial:
    decideTrial(Now, Kind, Events);
    break;
  }
}

void server_detector::decideServing(time_point Now, kind_index Kind,
                                    detection_events &Events) {
  kind_state &State = kindOf(Kind);
  const double Own = scoreOf(Kind, State.Counts);
  if (Own <= 0) {
    resetTest(State);
    return;
  }
  const double Suspicion = Reference.options().SuspicionShare.value();
  if (Own + scoreOfOtherKinds(Now, Kind) < Suspicion * Threshold)
    return;
  // An ejection for another kind has already been corroborated, so no further
  // checks are needed.
  if (!recentlyEjected(Now))
    requestChecks(Now, Kind, Events);
  const double Confirmed = confirmedScore(Kind);
  if (Confirmed < MinOwnShare * Threshold)
    return;
  const double Score = Confirmed + scoreOfOtherKinds(Now, Kind);
  if (Score < effectiveThreshold(Now, State))
    return;
  if (State.Path == path_state::Healthy && !hasServerErrors(Kind))
    reportPathFault(Kind, Events);
  else
    eject(Now, Kind, Score, Events);
}

void server_detector::decideTrial(time_point Now, kind_index Kind,
                                  detection_events &Events) {
  kind_state &State = kindOf(Kind);
  const bool Late = Now - State.Until > MaxTrialTime;
  if (State.TrialBad >= TrialBadLimit || (Late && State.TrialBad > 0)) {
    eject(Now, Kind, State.EjectedScore, Events);
    return;
  }
  // Without repeatable requests a trial has no evidence. The server returns to
  // service, and the sequential test starts again.
  if (State.TrialGood < Reference.options().TrialRequests && !Late)
    return;
  State.Phase = server_phase::Serving;
  resetTest(State);
  Events.add({.Type = detection_event_type::Returned, .Kind = Kind});
}

void server_detector::requestChecks(time_point Now, kind_index Kind,
                                    detection_events &Events) {
  kind_state &State = kindOf(Kind);
  if (!State.Suspected) {
    State.Suspected = true;
    State.SuspectedAt = Now;
    State.ReferenceAskedAt = Now - ReferenceValidity;
  }
  if (!referenceIsFresh(Now, State) &&
      Now - State.ReferenceAskedAt >= ReferenceValidity) {
    State.ReferenceAskedAt = Now;
    Events.add(
        {.Type = detection_event_type::ReferenceRequested, .Kind = Kind});
  }
  const duration Memory = State.Path == path_state::Healthy
                              ? HealthyPathValidity
                              : PathCheckValidity;
  const bool Expired = Now - State.PathStateAt > Memory;
  if (State.Path != path_state::NotRequested && !Expired)
    return;
  State.Path = path_state::Requested;
  State.PathStateAt = Now;
  Events.add({.Type = detection_event_type::PathCheckRequested, .Kind = Kind});
}

double server_detector::effectiveThreshold(time_point Now,
                                           const kind_state &Kind) const {
  const detection_options &Options = Reference.options();
  if (recentlyEjected(Now) ||
      (Kind.Path == path_state::Unhealthy && referenceIsFresh(Now, Kind)))
    return Threshold;
  const bool AwaitsPath = Kind.Path == path_state::Requested &&
                          Now - Kind.PathStateAt < Options.PathCheckTimeout;
  const bool AwaitsReference =
      !referenceIsFresh(Now, Kind) &&
      Now - Kind.ReferenceAskedAt < Options.ReferenceTimeout;
  if (AwaitsPath || AwaitsReference)
    return std::numeric_limits<double>::infinity();
  return UncorroboratedFactor * Threshold;
}

// Digests received before the suspicion may predate a slowdown of the whole
// service, even if they are recent.
bool server_detector::referenceIsFresh(time_point Now,
                                       const kind_state &Kind) const {
  const std::uint32_t Known = Reference.peersSince(time_point::min());
  const std::uint32_t Needed =
      std::min(Known, Reference.options().RequiredFreshPeers);
  const time_point Since = std::max(Kind.SuspectedAt, Now - ReferenceValidity);
  return Needed > 0 && Reference.peersSince(Since) >= Needed;
}

void server_detector::eject(time_point Now, kind_index Kind, double Score,
                            detection_events &Events) {
  const detection_options &Options = Reference.options();
  kind_state &State = kindOf(Kind);
  const auto Halvings =
      (Now - State.LastEjection) / Options.EjectionHalvingPeriod;
  const auto Forgotten = std::min<std::int64_t>(Halvings, State.Ejections);
  State.Ejections = static_cast<std::uint8_t>(
      std::min<std::int64_t>(State.Ejections - Forgotten + 1, 255));
  State.LastEjection = Now;
  State.Phase = server_phase::Ejected;
  State.Until = Now + Options.EjectionTime(Options, State.Ejections);
  State.EjectedScore = static_cast<float>(Score);
  resetTest(State);
  Events.add({.Type = detection_event_type::Ejected,
              .Kind = Kind,
              .Score = Score,
              .Until = State.Until});
}

double server_detector::scoreOf(kind_index Kind,
                                const per_class<float> &Counts) const {
  double Score = 0;
  for (std::size_t Class = 0; Class < EvidenceClassCount; ++Class)
    Score += Counts[Class] *
             Reference.weight(Kind, static_cast<evidence_class>(Class));
  return Score;
}

double server_detector::confirmedScore(kind_index Kind) const {
  const kind_state &State = kindOf(Kind);
  const double Score = scoreOf(Kind, State.Counts);
  return SilentOnNewConnection ? Score
                               : Score - scoreOf(Kind, State.Unconfirmed);
}

// A server that is unhealthy for one kind is more likely to be unhealthy for
// another.
double server_detector::scoreOfOtherKinds(time_point Now,
                                          kind_index Kind) const {
  double Score = 0;
  for (std::uint8_t Other = 0; Other < MaxKinds; ++Other) {
    if (kind_index(Other) == Kind)
      continue;
    const kind_state &State = kindOf(kind_index(Other));
    if (State.Phase == server_phase::Serving)
      Score += std::clamp(confirmedScore(kind_index(Other)), 0.0, Threshold);
    else if (Now - State.LastEjection < CrossKindPeriod)
      Score += Threshold;
  }
  return Score;
}

bool server_detector::recentlyEjected(time_point Now) const {
  return std::any_of(Kinds.begin(), Kinds.end(), [&](const kind_state &Kind) {
    return Kind.Phase != server_phase::Serving &&
           Now - Kind.LastEjection < CrossKindPeriod;
  });
}

void server_detector::resetTest(kind_state &Kind) {
  Kind.Counts = {};
  Kind.Unconfirmed = {};
  Kind.Path = path_state::NotRequested;
  Kind.Suspected = false;
}
