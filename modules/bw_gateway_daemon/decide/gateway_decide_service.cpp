#include "bw_gateway_daemon/decide/gateway_decide_service.h"

#include "bw_forward/service/forward_service.h"
#include "bw_kernel/services/service_registry.h"

#include <algorithm>

using namespace bw;

namespace {

// A smaller difference between the clocks comes from reading one after the
// other.
constexpr duration MinSuspension = std::chrono::milliseconds(1);

} // namespace

gateway_decide_service::gateway_decide_service(runtime_clock &Clock,
                                               gateway_decide_options Options)
    : gateway_event_sink(std::string(ServiceName)), Clock(Clock),
      ReportInterval(Options.ReportInterval),
      UrgentInterval(Options.UrgentInterval),
      SummaryInterval(Options.SummaryInterval),
      IdleInterval(Options.IdleInterval), Engine(std::move(Options.Engine)),
      // Events must not be lost, as each may free a slot or complete a request.
      Events(Clock, {.Capacity = Options.EventCapacity,
                     .Overflow = overflow_policy::Block}) {}

gateway_decide_service::~gateway_decide_service() { stop(); }

void gateway_decide_service::attach(service_registry &Registry) {
  Commands =
      &Registry.find<forward_service>(forward_service::ServiceName).commands();
  Peers = &Registry.find<peer_report_service>(peer_report_service::ServiceName);
}

void gateway_decide_service::start() {
  Thread = std::thread([this] { run(); });
}

void gateway_decide_service::stop() {
  if (!Thread.joinable())
    return;
  Events.close();
  Thread.join();
}

std::optional<duration> gateway_decide_service::loadAge() const {
  const time_point At = LoadReportedAt.load();
  return At == time_point() ? std::nullopt : std::optional(Clock.now() - At);
}

bool gateway_decide_service::hasLoad() const {
  return Engine.openRequests() > 0 || Engine.exchange().hasLocalLoad() ||
         Engine.allowances().hasDemand(Clock.now());
}

time_point gateway_decide_service::nextReport() const {
  if (Engine.exchange().hasUnreportedFailure())
    return LastReport + UrgentInterval;
  if (hasLoad() || HasReportedLoad)
    return LastReport + ReportInterval;
  // Without reports of idle hosts, the others would take them for unreachable,
  // and they would not know their shares when requests come. Nor would other
  // data centres send requests to one that has no load.
  if (Engine.allowances().isActive() || Engine.needsIdleSummaries())
    return LastReport + IdleInterval;
  return time_point::max();
}

void gateway_decide_service::report(time_point Now) {
  const load_exchange &Exchange = Engine.exchange();
  const bool IsUrgent = Exchange.hasUnreportedFailure();
  HasReportedLoad = hasLoad();
  LastReport = Now;
  own_report Report{.Summary = {},
                    .Aggregate = {},
                    .Observations = Engine.takeReport(Now),
                    .IsUrgent = IsUrgent};
  if (Exchange.sendsAggregates(Now) && Now - LastAggregate >= ReportInterval) {
    LastAggregate = Now;
    Report.Aggregate = Engine.takeAggregate(true, Now);
    const bool IsSummaryDue = Now - LastSummary >= SummaryInterval;
    // The second aggregator takes over the summaries as well where customers
    // have limits: others would take the data centre for unreachable.
    if ((Exchange.duty().IsFirst || Engine.allowances().isActive()) &&
        (IsSummaryDue || Exchange.hasFailureForRemote())) {
      Report.Summary = Engine.takeSummary(IsSummaryDue, Now);
      if (IsSummaryDue)
        LastSummary = Now;
    }
  }
  Peers->reports().push(std::move(Report));
}

// The clocks are read in this order, so that the difference is never too large.
void gateway_decide_service::noticeSuspension(time_point Now,
                                              gateway_engine::commands &Out) {
  const duration Boot = Clock.bootNow().time_since_epoch();
  const duration Total = Boot - Clock.now().time_since_epoch();
  if (Total < Suspended + MinSuspension)
    return;
  Suspended = Total;
  Engine.handle(time_suspended{.Total = Total}, Now, Out);
}

void gateway_decide_service::run() {
  gateway_engine::commands Out;
  while (!Events.isClosed()) {
    std::optional<gateway_event> Event =
        Events.pop(std::min(Engine.nextDue(), nextReport()));
    const time_point Now = Clock.now();
    noticeSuspension(Now, Out);
    // All queued events are processed before the forward service is notified.
    for (; Event; Event = Events.tryPop())
      Engine.handle(*Event, Now, Out);
    Engine.tick(Now, Out);
    if (nextReport() <= Now)
      report(Now);
    Ready = Engine.isReady();
    OpenRequests = Engine.openRequests();
    WaitingRequests = Engine.waitingRequests();
    LoadReportedAt = Engine.loadAge().reportedAt().value_or(time_point());
    Version = Engine.version().value();
    for (gateway_command &Command : Out)
      Commands->push(std::move(Command));
    Out.clear();
  }
}
