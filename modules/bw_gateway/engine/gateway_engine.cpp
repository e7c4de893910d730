#include "bw_gateway/engine/gateway_engine.h"

#include <algorithm>
#include <utility>

using namespace bw;

namespace {

// Time after the request's deadline for the answer of a server that stops at
// the deadline to arrive.
constexpr duration DeadlineSlack = std::chrono::milliseconds(60);
// No attempt is started with less time left, as no server could answer.
constexpr duration MinTimeLeft = std::chrono::milliseconds(20);
// An attempt that takes this many times the mean latency of its route counts
// against its server.
constexpr double SlowFactor = 3;
// A repeatable request is hedged after this share of its target latency, early
// enough for the second answer to meet the target.
constexpr double HedgeShareOfTarget = 0.5;
// Maximum number of failed connects of one request that do not count as
// attempts.
constexpr std::uint32_t MaxConnectFailures = 3;
// Share of the total retry budget that the hosts spend. The rest covers hosts
// that restart, which lose their counts and start with one token each. It
// suffices for 0.57 hosts per attempt of the slack, as on the platform's sites.
constexpr double BudgetShare = 0.85;
// Share of the tokens above one that hedges leave for retries. A retry follows
// a failure, while a hedge may turn out to be unnecessary.
constexpr double HedgeReserve = 0.5;
// Bounds of the retry-after time of refused requests. It is uniformly random,
// so that callers do not all retry at once.
constexpr duration MinRetryAfter = std::chrono::milliseconds(300);
constexpr duration MaxRetryAfter = std::chrono::milliseconds(900);
// The same for requests refused because this host stops: other hosts can serve
// them at once.
constexpr duration MinRetryAfterStop = std::chrono::milliseconds(20);
constexpr duration MaxRetryAfterStop = std::chrono::milliseconds(100);
// Weight of a declined attempt as a failure of the server. A full server is
// healthy, but one that declines requests while others accept them should be
// avoided. The weight falls to 0 as the service's share of declined attempts
// rises to `CommonDeclineShare`, since declines by all servers say nothing
// about a single one.
constexpr double DeclinedWeight = 0.4;
constexpr double CommonDeclineShare = 0.35;
// Smoothing factor of a service's share of declined attempts. At ten attempts a
// second, a host follows a change within two seconds.
constexpr double DeclineSmoothing = 0.05;
// Number of hosts assumed until it is known.
constexpr std::uint32_t AssumedHosts = 32;

} // namespace

gateway_engine::gateway_engine(gateway_engine_options GivenOptions)
    : Options(std::move(GivenOptions)), Random(Options.Seed),
      DepartureRandom(Options.Seed + 2), Pool(Options.Pool),
      Customers(Options.Freshness, {.Self = Options.Pool.Self,
                                    .DataCentre = Options.Pool.OwnDataCentre,
                                    .Bounds = Options.Allowances,
                                    .Seed = Options.Seed}),
      Hosts(AssumedHosts), Waiting(Options.Seed + 1) {
  Pool.setHosts({.Hosts = Hosts, .LocalHosts = Hosts});
}

peer_reported gateway_engine::takeReport(time_point Now) {
  peer_reported Result = Pool.exchange().takeReport(Pool.ownLoad());
  Customers.allowances().addTo(Result, Now);
  return Result;
}

load_aggregate gateway_engine::takeAggregate(bool WithLoad, time_point Now) {
  load_aggregate Result =
      Pool.exchange().takeAggregate(Pool.ownLoad(), WithLoad);
  Pool.exchange().addHeard(Result, Now);
  Customers.allowances().addTo(Result, Now);
  return Result;
}

load_summary gateway_engine::takeSummary(bool WithLoad, time_point Now) {
  load_summary Result = Pool.exchange().takeSummary(Pool.ownLoad(), WithLoad);
  Customers.allowances().addTo(Result, Now);
  return Result;
}

config_version gateway_engine::version() const {
  return Configuration ? Configuration->Version : config_version();
}

void gateway_engine::handle(const gateway_event &Event, time_point Now,
                            commands &Out) {
  std::visit([&](const auto &Each) { on(Each, Now, Out); }, Event);
  serveWaiting(Now, Out);
  for (const pool_change &Change : Pool.takeChanges())
    Options.Observer.OnServer(Change);
}

time_point gateway_engine::nextDue() const {
  const time_point Next =
      std::min({Timers.empty() ? time_point::max() : Timers.begin()->At,
                Customers.freshness().expiry(), Waiting.nextDue()});
  return FinishBy && !HasEndedRequests && !Requests.empty()
             ? std::min(Next, *FinishBy)
             : Next;
}

void gateway_engine::tick(time_point Now, commands &Out) {
  while (!Timers.empty() && Timers.begin()->At <= Now) {
    const timer Timer = *Timers.begin();
    Timers.erase(Timers.begin());
    handleTimer(Timer, Now, Out);
  }
  serveWaiting(Now, Out);
  if (FinishBy && !HasEndedRequests && Now >= *FinishBy)
    endOpenRequests(Now, Out);
  if (const auto Change = Customers.freshness().takeChange(Now))
    Options.Observer.OnFreshness(*Change);
  for (const pool_change &Change : Pool.takeChanges())
    Options.Observer.OnServer(Change);
}

void gateway_engine::on(const request_arrived &Event, time_point Now,
                        commands &Out) {
  const auto Found = Requests.try_emplace(Event.Request, request_state{}).first;
  request_state &Request = Found->second;
  Request.Label = Event.Label;
  Request.Configuration = Configuration;
  Request.Arrived = Now;
  Request.IsReplayable = Event.IsReplayable;
  Request.DepartureDraw = DepartureRandom.unit();
  Request.Key = Event.Key;
  if (!Configuration)
    return refuse(Found, refusal_reason::NoConfiguration, Now, Out);
  Request.Route = Routes.find(Event.VirtualHost, Event.Path);
  if (Request.Route == nullptr)
    return refuse(Found, Customers.unknownRouteRefusal(Now), Now, Out);
  duration Wait = Event.CallerTimeout.value_or(Options.DefaultTimeout);
  if (Request.Route->Timeout)
    Wait = std::min(Wait, *Request.Route->Timeout);
  Request.Deadline = Now + Wait;
  const customer_decision Admission =
      Customers.admit(Request.Key, *Request.Route, Now);
  Request.Customer = Admission.Customer;
  Request.Priority = Admission.Priority;
  Request.HoldsToken = Admission.HoldsToken;
  if (Admission.Allowance)
    Options.Observer.OnAllowance(Request.Customer->Name, *Admission.Allowance);
  if (Admission.Refusal)
    return refuse(Found, *Admission.Refusal, Now, Out, Admission.RetryAfter);
  Request.Service = Splits.try_emplace(Request.Route->Id, Random)
                        .first->second.next(Request.Route->Destinations);
  budgetOf(Request.Service).requestStarted();
  if (!endsBeforeStop(Request))
    return refuse(Found, refusal_reason::Stopping, Now, Out);
  if (Waiting.isOn())
    Waiting.add(admissionOf(Event.Request, Request), Now);
  else if (!startAttempt(Event.Request, Request, request_step::Sent, Now, Out))
    return refuse(Found, Request.KeyRefusal.value_or(refusal_reason::NoServer),
                  Now, Out);
  schedule(Request, {.At = Request.Deadline + DeadlineSlack,
                     .Request = Event.Request,
                     .Attempt = {},
                     .Kind = timer_kind::Deadline});
}

void gateway_engine::schedule(request_state &Request, timer Timer) {
  Request.Timers.push_back(Timer);
  Timers.insert(Timer);
}

void gateway_engine::finish(request_map::iterator Found) {
  for (const timer &Each : Found->second.Timers)
    Timers.erase(Each);
  Waiting.remove(Found->first);
  Requests.erase(Found);
}

bool gateway_engine::startAttempt(request_number Number, request_state &Request,
                                  request_step Step, time_point Now,
                                  commands &Out, const server_filter &Filter) {
  if (Request.Deadline - Now < MinTimeLeft || !endsBeforeStop(Request))
    return false;
  Request.KeyRefusal = Customers.checkAttempt(Request.Key, *Request.Route,
                                              Request.Customer, Now);
  if (Request.KeyRefusal)
    return false;
  const bool IsFinalAttempt =
      Request.Route->Execution == execution_rule::AtMostOnce ||
      Request.Attempts + 1 >= Request.Route->MaxAttempts ||
      // Without a token a failure ends the request.
      budgetOf(Request.Service).tokens() < 1;
  const work_amount Work = Times.amount(Request.Service, Request.Route->Id);
  const listed_server *Server =
      Pool.take(Request.Service, Request.Tried, IsFinalAttempt, Now, Random,
                Filter, Work, departureOf(Request));
  if (Server == nullptr)
    return false;
  const attempt_number Attempt(++Request.Attempts + Request.ConnectFailures);
  Request.Tried.push_back(Server->Server);
  Request.Open.push_back({.Number = Attempt,
                          .Server = Server->Server,
                          .Started = Now,
                          .Load = Pool.loadBeforeTake(Server->Server),
                          .Work = Work,
                          .Departure = Pool.departure(),
                          .IsHedge = Step == request_step::Hedged});
  Out.push_back(
      start_attempt{.Request = Number,
                    .Attempt = Attempt,
                    .Server = Server->Server,
                    .Address = Server->Address,
                    .TimeLeft = Request.Deadline - Now,
                    .Customer = Request.Customer,
                    .SendBefore = Customers.sendBefore(Request.Customer)});
  schedule(Request, {.At = Now + slowAfter(*Request.Route),
                     .Request = Number,
                     .Attempt = Attempt,
                     .Kind = timer_kind::Slow});
  if (Request.Route->Execution == execution_rule::Repeatable &&
      Request.Attempts < Request.Route->MaxAttempts)
    schedule(Request, {.At = Now + hedgeAfter(*Request.Route),
                       .Request = Number,
                       .Attempt = Attempt,
                       .Kind = timer_kind::Hedge});
  report(Request,
         {.Step = Step,
          .Server = Server->Server,
          .Attempt = Attempt,
          .FailureShare = Pool.failureShare(Server->Server, Now),
          .EvidenceAge = Pool.evidenceAge(Server->Server, Now),
          .Departure = Pool.departure()},
         Now);
  return true;
}

std::optional<gateway_engine::attempt>
gateway_engine::closeAttempt(request_state &Request, attempt_number Number) {
  const auto Found =
      std::find_if(Request.Open.begin(), Request.Open.end(),
                   [&](const attempt &Each) { return Each.Number == Number; });
  if (Found == Request.Open.end())
    return std::nullopt;
  attempt Result = std::move(*Found);
  Request.Open.erase(Found);
  Pool.release(Result.Server, Result.Work);
  return Result;
}

void gateway_engine::on(const attempt_ended &Event, time_point Now,
                        commands &Out) {
  const auto Found = Requests.find(Event.Request);
  if (Found == Requests.end())
    return;
  request_state &Request = Found->second;
  applyStatement(Request, Event, Now);
  if (Event.Outcome == attempt_outcome::Answered && !Event.IsComplete) {
    // The rest of the answer is still being received, so the attempt still
    // occupies a slot.
    const auto Open = std::find_if(
        Request.Open.begin(), Request.Open.end(),
        [&](const attempt &Each) { return Each.Number == Event.Attempt; });
    if (Open != Request.Open.end())
      answered(Found, Event, *Open, Now, Out);
    return;
  }
  const std::optional<attempt> Ended = closeAttempt(Request, Event.Attempt);
  if (!Ended)
    return;
  reportResponse(Request, *Ended, Event.Bytes);
  double &Declined = DeclinedShares[Request.Service];
  Declined +=
      DeclineSmoothing *
      ((Event.Outcome == attempt_outcome::NotExecuted ? 1 : 0) - Declined);
  switch (Event.Outcome) {
  case attempt_outcome::Answered:
    return answered(Found, Event, *Ended, Now, Out);
  case attempt_outcome::NotExecuted:
    // A server that limits its requests does not fail, nor is its queue full.
    if (!Event.Statement ||
        (!Event.Statement->RequestLimit && !Event.Statement->RetryAfter)) {
      Pool.addEvidence(Ended->Server, 0, declinedWeight(Request.Service), Now);
      Waiting.recordDeclined(Request.Service, Ended->Load);
    }
    break;
  case attempt_outcome::NotSent:
  case attempt_outcome::Expired:
    // What was not sent does not count as an attempt of the request. An expired
    // attempt says nothing about the path to the server.
    --Request.Attempts;
    ++Request.ConnectFailures;
    if (Event.Outcome == attempt_outcome::NotSent)
      Pool.addPathFailure(Ended->Server, Now);
    break;
  case attempt_outcome::Broken:
    Request.MayHaveRun = true;
    if (!Ended->IsSlow)
      Pool.addBrokenAttempt(Ended->Server, Now);
    break;
  }
  report(Request,
         {.Step = request_step::AttemptFailed,
          .Server = Ended->Server,
          .Attempt = Event.Attempt,
          .Outcome = Event.Outcome},
         Now);
  failed(Found, Event, Now, Out);
}

void gateway_engine::applyStatement(const request_state &Request,
                                    const attempt_ended &Event,
                                    time_point Now) {
  const auto Open = std::find_if(
      Request.Open.begin(), Request.Open.end(),
      [&](const attempt &Each) { return Each.Number == Event.Attempt; });
  if (Event.Statement && Open != Request.Open.end())
    Pool.addStatement(Open->Server, *Event.Statement, Open->Started, Now);
}

double gateway_engine::declinedWeight(const service_id &Service) const {
  const auto Found = DeclinedShares.find(Service);
  const double Share = Found == DeclinedShares.end() ? 0 : Found->second;
  return DeclinedWeight * std::max(0.0, 1 - Share / CommonDeclineShare);
}

void gateway_engine::answered(request_map::iterator Found,
                              const attempt_ended &Event, const attempt &Ended,
                              time_point Now, commands &Out) {
  request_state &Request = Found->second;
  const held_answer Answer{.Attempt = Event.Attempt,
                           .Server = Ended.Server,
                           .Status = Event.Status,
                           .IsComplete = Event.IsComplete};
  constexpr int FirstServerError = 500;
  const bool IsServerError = Event.Status >= FirstServerError;
  if (!Ended.IsSlow || IsServerError)
    Pool.addEvidence(Ended.Server, IsServerError ? 0 : 1, IsServerError ? 1 : 0,
                     Now);
  if (!IsServerError)
    recordTime(Request, Ended, Now);
  Waiting.recordAccepted(Request.Service, Ended.Load);
  if (IsServerError && Event.IsComplete) {
    Request.MayHaveRun = true;
    if (!Request.Open.empty() ||
        retry(Event.Request, Request, Event.Outcome, Now, Out)) {
      Request.HeldAnswer = Answer;
      return;
    }
  }
  relay(Found, Answer, Now, Out);
}

void gateway_engine::failed(request_map::iterator Found,
                            const attempt_ended &Event, time_point Now,
                            commands &Out) {
  request_state &Request = Found->second;
  if (!Request.Open.empty() ||
      retry(Event.Request, Request, Event.Outcome, Now, Out))
    return;
  endWithoutRetry(Found, Now, Out);
}

// Ends a request that is not retried: relays a held error answer of a server if
// there is one, and refuses the request otherwise.
void gateway_engine::endWithoutRetry(request_map::iterator Found,
                                     time_point Now, commands &Out) {
  request_state &Request = Found->second;
  if (Request.HeldAnswer)
    return relay(Found, *Request.HeldAnswer, Now, Out);
  refuse(Found,
         Request.MayHaveRun
             ? refusal_reason::Unknown
             : Request.KeyRefusal.value_or(refusal_reason::NotExecuted),
         Now, Out);
}

bool gateway_engine::mayBeSentAgain(const request_state &Request,
                                    attempt_outcome Outcome) const {
  if (!Request.IsReplayable || Request.IsRelaying)
    return false;
  if (Request.Route->Execution == execution_rule::Repeatable)
    return true;
  return !Request.MayHaveRun && (Outcome == attempt_outcome::NotExecuted ||
                                 Outcome == attempt_outcome::NotSent ||
                                 Outcome == attempt_outcome::Expired);
}

bool gateway_engine::retry(request_number Number, request_state &Request,
                           attempt_outcome Outcome, time_point Now,
                           commands &Out) {
  if (!mayBeSentAgain(Request, Outcome))
    return false;
  if (Request.Attempts >= Request.Route->MaxAttempts)
    return false;
  // Only connects have failed so far, so no server has received the request.
  const bool IsUnsent = Request.Attempts == 0;
  if (IsUnsent && Request.ConnectFailures > MaxConnectFailures)
    return false;
  // The caller of a declined request may come back, which needs no token.
  if (Outcome == attempt_outcome::NotExecuted && leavesTokens(Request))
    return false;
  if (!IsUnsent && !budgetOf(Request.Service).tryTake())
    return false;
  return startAttempt(
      Number, Request, request_step::Retried, Now, Out,
      Waiting.furtherAttempt(admissionOf(Number, Request), false, Now));
}

void gateway_engine::relay(request_map::iterator Found,
                           const held_answer &Given, time_point Now,
                           commands &Out) {
  // Copied because `Given` may be part of the request, which is erased below.
  const held_answer Answer = Given;
  request_state &Request = Found->second;
  for (auto Each = Request.Open.begin(); Each != Request.Open.end();) {
    if (Each->Number == Answer.Attempt) {
      ++Each;
      continue;
    }
    Out.push_back(
        cancel_attempt{.Request = Found->first, .Attempt = Each->Number});
    Pool.release(Each->Server, Each->Work);
    Each = Request.Open.erase(Each);
  }
  Out.push_back(relay_answer{.Request = Found->first,
                             .Attempt = Answer.Attempt,
                             .IsComplete = Answer.IsComplete});
  report(Request,
         {.Step = request_step::Relayed,
          .Server = Answer.Server,
          .Attempt = Answer.Attempt,
          .Status = Answer.Status},
         Now);
  Request.IsRelaying = true;
  if (Answer.IsComplete)
    finish(Found);
}

void gateway_engine::on(const relay_ended &Event, time_point Now,
                        commands &Out) {
  const auto Found = Requests.find(Event.Request);
  if (Found == Requests.end())
    return;
  const std::optional<attempt> Ended =
      closeAttempt(Found->second, Event.Attempt);
  if (Ended)
    reportResponse(Found->second, *Ended, Event.Bytes);
  if (Ended && !Event.IsComplete)
    Pool.addPathFailure(Ended->Server, Now);
  Out.emplace_back(end_request{Event.Request});
  finish(Found);
}

void gateway_engine::cancelOpen(request_number Number, request_state &Request,
                                commands &Out) {
  for (const attempt &Each : Request.Open) {
    Out.push_back(cancel_attempt{.Request = Number, .Attempt = Each.Number});
    Pool.release(Each.Server, Each.Work);
  }
  Request.Open.clear();
}

void gateway_engine::on(const caller_left &Event, time_point Now,
                        commands &Out) {
  const auto Found = Requests.find(Event.Request);
  if (Found == Requests.end())
    return;
  report(Found->second, {.Step = request_step::CallerLeft}, Now);
  if (!Found->second.MayHaveRun && Found->second.Open.empty())
    returnToken(Found->second, Now);
  cancelOpen(Event.Request, Found->second, Out);
  Out.emplace_back(end_request{Event.Request});
  finish(Found);
}

void gateway_engine::refuse(request_map::iterator Found, refusal_reason Reason,
                            time_point Now, commands &Out,
                            std::optional<duration> RetryAfter) {
  request_state &Request = Found->second;
  if (Reason != refusal_reason::Unknown && Reason != refusal_reason::Timeout)
    returnToken(Request, Now);
  cancelOpen(Found->first, Request, Out);
  if (!RetryAfter && mayComeBack(Reason))
    RetryAfter = retryAfter(Request, Reason, Now);
  if (RetryAfter)
    Waiting.recordRefusal(Request.Label, *RetryAfter, Now);
  Out.push_back(refuse_request{
      .Request = Found->first, .Reason = Reason, .RetryAfter = RetryAfter});
  report(Request,
         {.Step = request_step::Refused,
          .Reason = Reason,
          .RetryAfter = RetryAfter},
         Now);
  finish(Found);
}

void gateway_engine::returnToken(request_state &Request, time_point Now) {
  if (std::exchange(Request.HoldsToken, false))
    Customers.allowances().giveBack(Request.Customer->Name, Now);
}

bool gateway_engine::mayComeBack(refusal_reason Reason) {
  switch (Reason) {
  case refusal_reason::Unknown:
  case refusal_reason::Timeout:
  case refusal_reason::NoRoute:
  case refusal_reason::Unauthenticated:
    return false;
  default:
    return true;
  }
}

// Not before a server accepts requests again, if all of them restrain requests.
duration gateway_engine::retryAfter(const request_state &Request,
                                    refusal_reason Reason, time_point Now) {
  const bool IsStopping = Reason == refusal_reason::Stopping;
  const duration Min = IsStopping ? MinRetryAfterStop : MinRetryAfter;
  const duration Max = IsStopping ? MaxRetryAfterStop : MaxRetryAfter;
  const duration Usual =
      Min + std::chrono::duration_cast<duration>((Max - Min) * Random.unit());
  const time_point Next = Pool.nextRequest(Request.Service, Now);
  if (Waiting.isOn() && Reason == refusal_reason::NotExecuted && Next <= Now)
    return Waiting.retryAfter(admissionOf({}, Request), Now);
  return Next == time_point::max() ? Usual : std::max(Usual, Next - Now);
}

void gateway_engine::handleTimer(const timer &Timer, time_point Now,
                                 commands &Out) {
  const auto Found = Requests.find(Timer.Request);
  if (Found == Requests.end())
    return;
  request_state &Request = Found->second;
  if (Request.IsRelaying) {
    if (Timer.Kind == timer_kind::Deadline)
      breakOff(Found, Now, Out);
    return;
  }
  if (Timer.Kind == timer_kind::Deadline) {
    for (attempt &Each : Request.Open)
      countIfSlow(Request, Each, Now);
    if (Request.Open.empty())
      return endWithoutRetry(Found, Now, Out);
    if (Request.HeldAnswer)
      return relay(Found, *Request.HeldAnswer, Now, Out);
    return refuse(Found, refusal_reason::Timeout, Now, Out);
  }
  const auto Open = std::find_if(
      Request.Open.begin(), Request.Open.end(),
      [&](const attempt &Each) { return Each.Number == Timer.Attempt; });
  if (Open == Request.Open.end())
    return;
  if (Timer.Kind == timer_kind::Slow)
    return countIfSlow(Request, *Open, Now);
  if (Request.IsReplayable && Request.Open.size() == 1 &&
      Request.Attempts < Request.Route->MaxAttempts && takeHedgeToken(Request))
    startAttempt(
        Timer.Request, Request, request_step::Hedged, Now, Out,
        Waiting.furtherAttempt(admissionOf(Timer.Request, Request), true, Now));
}

// Whether the server or the caller is slow is not known, so this is no evidence
// against the server.
void gateway_engine::breakOff(request_map::iterator Found, time_point Now,
                              commands &Out) {
  request_state &Request = Found->second;
  request_decision Decision{.Step = request_step::BrokenOff};
  for (const attempt &Each : Request.Open) {
    Decision.Server = Each.Server;
    Decision.Attempt = Each.Number;
    Pool.release(Each.Server, Each.Work);
  }
  Request.Open.clear();
  Out.emplace_back(end_request{Found->first});
  report(Request, std::move(Decision), Now);
  finish(Found);
}

void gateway_engine::countIfSlow(request_state &Request, attempt &Attempt,
                                 time_point Now) {
  if (Attempt.IsSlow || Now - Attempt.Started < slowAfter(*Request.Route))
    return;
  Attempt.IsSlow = true;
  Pool.addSlowness(Attempt.Server, Now);
}

// A request that the stop could cut is refused while it has certainly not run;
// its caller then goes to another host. Only the request's own deadline bounds
// its time: the latency of earlier requests says nothing about this one.
bool gateway_engine::endsBeforeStop(const request_state &Request) const {
  return !FinishBy || Request.Deadline + DeadlineSlack <= *FinishBy;
}

void gateway_engine::endOpenRequests(time_point Now, commands &Out) {
  HasEndedRequests = true;
  std::vector<request_number> Numbers;
  for (const auto &[Number, Request] : Requests)
    if (!Request.IsRelaying)
      Numbers.push_back(Number);
  for (const request_number Number : Numbers) {
    const auto Found = Requests.find(Number);
    // An attempt that has not ended may have been executed.
    Found->second.MayHaveRun =
        Found->second.MayHaveRun || !Found->second.Open.empty();
    endWithoutRetry(Found, Now, Out);
  }
}

duration gateway_engine::slowAfter(const gateway_route &Route) const {
  if (const std::optional<duration> Mean = Times.latency(Route.Id))
    return std::chrono::duration_cast<duration>(SlowFactor * *Mean);
  return Route.TargetLatency.value_or(std::chrono::seconds(1));
}

duration gateway_engine::hedgeAfter(const gateway_route &Route) const {
  const duration Target = Route.TargetLatency.value_or(std::chrono::seconds(1));
  return std::chrono::duration_cast<duration>(Target * HedgeShareOfTarget);
}

double gateway_engine::budgetCapacity() const {
  return std::max(1.0, BudgetShare * Options.RetrySlack / Hosts);
}

bool gateway_engine::takeHedgeToken(const request_state &Request) {
  if (leavesTokens(Request))
    return false;
  retry_budget &Budget = budgetOf(Request.Service);
  return Budget.tokens() >= 1 + HedgeReserve * (budgetCapacity() - 1) &&
         Budget.tryTake();
}

double gateway_engine::tokensPerRequest() const {
  return Options.RetryRatio.value() * BudgetShare;
}

retry_budget &gateway_engine::budgetOf(const service_id &Service) {
  return Budgets
      .try_emplace(
          Service,
          retry_budget_options{.TokensPerRequest = ratio(tokensPerRequest()),
                               .Capacity = budgetCapacity(),
                               // The unspent share of the budget covers the
                               // initial tokens of hosts that restart together.
                               .InitialTokens = 1,
                               .TokenFactorOnFailure = 1})
      .first->second;
}

void gateway_engine::on(const servers_listed &Event, time_point Now,
                        commands &Out) {
  static_cast<void>(Out);
  for (const pool_change &Change : Pool.update(Event, Now))
    Options.Observer.OnServer(Change);
}

void gateway_engine::on(const configuration_read &Event, time_point Now,
                        commands &Out) {
  // An outdated answer or a slow peer must not restore an older configuration.
  if (!Event.Configuration || Event.Configuration->Version <= version())
    return;
  Options.Observer.OnConfiguration(version(), Event.Configuration->Version);
  Configuration = Event.Configuration;
  Routes = host_routes(*Configuration);
  Customers.setConfiguration(Configuration, Now);
  if (Options.QueuesByUrgency)
    Waiting.setConfiguration(*Configuration);
  Out.push_back(limits_changed{Configuration->Limits});
}

void gateway_engine::on(const peer_reported &Event, time_point Now,
                        commands &Out) {
  static_cast<void>(Out);
  Pool.peerReported(Event, Now);
  Customers.allowances().receive(Event, Now);
}

void gateway_engine::on(const load_summary &Event, time_point Now,
                        commands &Out) {
  static_cast<void>(Out);
  Pool.summaryReported(Event, Now);
  Customers.allowances().receive(Event, Now);
}

void gateway_engine::on(const load_aggregate &Event, time_point Now,
                        commands &Out) {
  static_cast<void>(Out);
  Pool.aggregateReported(Event, Now);
  Customers.allowances().receive(Event, Now);
}

void gateway_engine::on(const exchange_duty &Event, time_point Now,
                        commands &Out) {
  static_cast<void>(Out);
  Pool.exchange().setDuty(Event);
  Customers.allowances().setDuty(Event, Now);
}

void gateway_engine::on(const hosts_counted &Event, time_point Now,
                        commands &Out) {
  static_cast<void>(Out);
  if (Event.Hosts == 0 || Event.LocalHosts == 0)
    return;
  Pool.setHosts(Event);
  Customers.allowances().setHosts(Event, Now);
  if (Event.Hosts == Hosts)
    return;
  Hosts = Event.Hosts;
  // Budgets restart at their initial tokens, so that a change of the number of
  // hosts does not permit a burst of retries.
  Budgets.clear();
}

void gateway_engine::on(const stop_began &Event, time_point Now,
                        commands &Out) {
  FinishBy = Now + Event.FinishWithin;
  // No waiting request was sent, so its caller can go to another host at once.
  for (const request_number Each : Waiting.takeAll())
    refuse(Requests.find(Each), refusal_reason::Stopping, Now, Out);
}

void gateway_engine::report(const request_state &Request,
                            request_decision Decision, time_point Now) const {
  Decision.Label = Request.Label;
  if (Request.Route != nullptr) {
    Decision.Route = Request.Route->Id;
    Decision.Execution = Request.Route->Execution;
    Decision.TimeLeft = Request.Deadline - Now;
  }
  Decision.Service = Request.Service;
  if (Request.Customer)
    Decision.Customer = Request.Customer->Name;
  Decision.Key = Request.Key.Presence;
  Decision.Age = Now - Request.Arrived;
  Decision.Version =
      Request.Configuration ? Request.Configuration->Version : config_version();
  Options.Observer.OnRequest(Decision);
}
