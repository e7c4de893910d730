#include "bw_engine/owner/owned_instance.h"

#include "bw_core/random/stable_hash.h"

#include <algorithm>

using namespace bw;

namespace {

// Delay before entry hosts retry an instance on trial. It accepts one request
// at a time, and a trial of 8 requests should be short.
constexpr std::chrono::milliseconds TrialRetryDelay{250};

// Longer than a pooled connection is likely to stay idle, so that connections
// that no longer respond are not reused.
constexpr std::chrono::seconds FreshConnectionPeriod{10};

slot_queue_options queueOptions(const listed_server &Server,
                                const service_settings &Settings) {
  slot_queue_options Options;
  Options.Slots = Server.Slots;
  Options.Queue.Capacity = Settings.QueueCapacity;
  Options.Queue.Salt = stableHash(Server.Server.value());
  return Options;
}

} // namespace

owned_instance::owned_instance(const listed_server &Server,
                               const service_settings &Settings, time_point Now)
    : Server(Server), Settings(Settings), Slots(queueOptions(Server, Settings)),
      Reference(Settings.Detection, stableHash(Server.Server.value())),
      Detector(Reference, Now, true) {}

std::optional<ejection_refusal>
owned_instance::ejection(const instance_offer &Offer, time_point Now) const {
  if (Offer.DespiteEjection)
    return std::nullopt;
  switch (Detector.phase(Offer.Kind)) {
  case server_phase::Serving:
    return std::nullopt;
  case server_phase::Trial:
    if (Offer.Repeatable && !isTrialRunning(Offer.Kind))
      return std::nullopt;
    break;
  case server_phase::Ejected:
    break;
  }
  return ejection_refusal{reportedScore(Offer.Kind),
                          retryAfter(Offer.Kind, Now)};
}

bool owned_instance::isTrialRunning(kind_index Kind) const {
  return std::any_of(Running.begin(), Running.end(), [&](const auto &Entry) {
    return Entry.second.IsTrial && Entry.second.Kind == Kind;
  });
}

slot_decisions owned_instance::offer(const instance_offer &Offer,
                                     time_point Now) {
  Offers.emplace(Offer.Attempt, Offer);
  return Slots.offer({.Attempt = Offer.Attempt,
                      .Caller = Offer.Caller,
                      .Long = Offer.Long,
                      .MayWait = Offer.MayWait,
                      .Deadline = Offer.Deadline},
                     Now);
}

void owned_instance::started(const attempt_id &Attempt, time_point Now) {
  const auto Found = Offers.find(Attempt);
  if (Found == Offers.end())
    return;
  const instance_offer Offer = Found->second;
  Offers.erase(Found);
  running_request Request{.Tracked = {}, .Kind = Offer.Kind};
  Request.IsTrial =
      Offer.Repeatable && Detector.phase(Offer.Kind) == server_phase::Trial;
  Request.Tracked =
      Request.IsTrial
          ? Detector.startedTrial(Now, Offer.Kind, Connection, Offer.Kind)
          : Detector.started(Now, Offer.Kind, Connection);
  Running.emplace(Attempt, Request);
}

detection_events owned_instance::recordOutcome(const attempt_id &Attempt,
                                               server_outcome Outcome,
                                               time_point Now) {
  const auto Found = Running.find(Attempt);
  if (Found == Running.end() || Found->second.HasOutcome)
    return {};
  Found->second.HasOutcome = true;
  path_evidence &Evidence = PathEvidence[Found->second.Kind.value()];
  if (Outcome == server_outcome::Unreachable)
    ++Evidence.Unanswered;
  else if (Outcome != server_outcome::Cancelled)
    ++Evidence.Answered;
  return Detector.finished(Now, Found->second.Tracked, Outcome);
}

slot_decisions owned_instance::finished(const attempt_id &Attempt,
                                        slot_outcome Outcome, time_point Now) {
  Offers.erase(Attempt);
  Running.erase(Attempt);
  return Slots.finished(Attempt, Outcome, Now);
}

cancel_result owned_instance::cancel(const attempt_id &Attempt) {
  const cancel_result Result = Slots.cancel(Attempt);
  if (Result == cancel_result::Removed)
    Offers.erase(Attempt);
  return Result;
}

slot_decisions owned_instance::expire(time_point Now) {
  return Slots.tick(Now);
}

detection_events owned_instance::tick(time_point Now) {
  return Detector.tick(Now);
}

detection_events owned_instance::pathChecked(kind_index Kind,
                                             const path_report &Report,
                                             time_point Now) {
  PathEvidence[Kind.value()] = {};
  return Detector.pathChecked(Now, Kind, Report);
}

bool owned_instance::isPathVerified(kind_index Kind) const {
  const path_evidence &Evidence = PathEvidence[Kind.value()];
  return Evidence.Answered > 0 && Evidence.Unanswered == 0;
}

void owned_instance::recordEjection(const detection_event &Event) {
  if (Event.Type == detection_event_type::Ejected)
    EjectedUntil[Event.Kind.value()] = Event.Until;
}

void owned_instance::replaceConnections(time_point Now) {
  Connection = Connection.next();
  FreshConnectionsUntil = Now + FreshConnectionPeriod;
}

double owned_instance::reportedScore(kind_index Kind) const {
  return Detector.phase(Kind) == server_phase::Serving ? 0
                                                       : Detector.score(Kind);
}

duration owned_instance::retryAfter(kind_index Kind, time_point Now) const {
  switch (Detector.phase(Kind)) {
  case server_phase::Serving:
    return duration(0);
  case server_phase::Trial:
    return TrialRetryDelay;
  case server_phase::Ejected:
    break;
  }
  return std::max<duration>(TrialRetryDelay, EjectedUntil[Kind.value()] - Now);
}
