#include "bw_gateway/admission/request_admission.h"

#include <algorithm>
#include <utility>

using namespace bw;

namespace {

// No server could answer with less time left.
constexpr duration MinTimeLeft = std::chrono::milliseconds(20);
// Estimates of service times that exceed this share of the time that a request
// had at its arrival would keep out all requests of the route, and then never
// be corrected by an answer.
constexpr int MaxTimeShare = 2;
// Room can appear without an event, when the load that a silent host reported
// expires. At a host with many events this time never passes.
constexpr duration ServeInterval = std::chrono::milliseconds(100);
// Callers that are refused come back no sooner than this, and no sooner than a
// request usually takes: some slot is free by then.
constexpr duration MinRetryAfter = std::chrono::milliseconds(100);
// Callers wait for at most a third of the time that they have left.
constexpr int HonouredShare = 3;
// The response reaches the caller later than it is sent.
constexpr duration RetryAfterMargin = std::chrono::milliseconds(10);

waiting_number waitingNumber(request_number Number) {
  return waiting_number(Number.value());
}

request_number requestNumber(const waiting_request &Request) {
  return request_number(Request.Number.value());
}

server_load loadOf(const server_candidate &Candidate) {
  return {.Slots = slot_count(Candidate.Slots),
          .InFlight = Candidate.InFlight,
          .Uncertainty = Candidate.Uncertainty};
}

} // namespace

void request_admission::setConfiguration(
    const gateway_configuration &Configuration) {
  Levels = {};
  for (const gateway_route &Route : Configuration.Routes)
    Levels.add(urgency(Route.Priority));
  if (Configuration.Customers)
    for (const customer &Each : Configuration.Customers->customers())
      if (Each.Priority)
        Levels.add(urgency(*Each.Priority));
  IsOn = Levels.count() > 1 || Configuration.Customers;
}

duration request_admission::serviceTime(const admission_request &Request) {
  return std::clamp(Request.ServiceTime, MinTimeLeft,
                    std::max(MinTimeLeft, (Request.Deadline - Request.Arrived) /
                                              MaxTimeShare));
}

void request_admission::add(const admission_request &Request, time_point Now) {
  // Callers choose the label, which may be long; it is not needed any more.
  Waiting.emplace(Request.Number, Request).first->second.Label = {};
  Services[Request.Service].Queue.add(
      {.Number = waitingNumber(Request.Number),
       .Urgency = Request.Urgency,
       .Customer = Request.Customer,
       .LatestStart = Request.Deadline - serviceTime(Request),
       .UsefulStart =
           std::min(Request.Deadline, Request.Arrived + Request.Target) -
           serviceTime(Request),
       .HasComeBack = Returning.take(Request.Label, Now)});
}

void request_admission::remove(request_number Number) {
  const auto Found = Waiting.find(Number);
  if (Found == Waiting.end())
    return;
  Services.at(Found->second.Service).Queue.remove(waitingNumber(Number));
  Waiting.erase(Found);
}

std::vector<request_number> request_admission::takeAll() {
  std::vector<request_number> Result;
  for (const auto &[Number, Request] : Waiting)
    Result.push_back(Number);
  for (const request_number Number : Result)
    remove(Number);
  return Result;
}

time_point request_admission::nextDue() const {
  if (Waiting.empty())
    return time_point::max();
  time_point Result = ServedAt + ServeInterval;
  for (const auto &[Id, Service] : Services)
    Result = std::min(Result, Service.Queue.nextExpiry());
  return Result;
}

void request_admission::serve(time_point Now, const hooks &Hooks) {
  ServedAt = Now;
  for (auto &[Id, Service] : Services)
    if (!Service.Queue.empty())
      serve(Id, Service, Now, Hooks);
}

void request_admission::serve(const service_id &Id, waiting_service &Service,
                              time_point Now, const hooks &Hooks) {
  if (Service.LoadReported != Hooks.LoadReported) {
    Service.LoadReported = Hooks.LoadReported;
    Service.Share.update(Hooks.Load(Id), Hooks.LoadInterval, Random.unit(),
                         Now);
  }
  std::vector<request_number> WithoutServer;
  const auto Expired = Service.Queue.takeExpired(Now);
  Service.Queue.start(
      [&](const waiting_request &Each, bool IsTurn) {
        using result = admission_queue::start_result;
        const request_number Number = requestNumber(Each);
        const admission_request &Request = Waiting.at(Number);
        const double Grade = IsTurn ? 0 : Levels.grade(Request.Urgency);
        const service_load &Load = Service.Share.load();
        const double Uncertainty =
            Load.Slots <= 0 ? 0 : Load.Uncertainty / Load.Slots;
        if (!Service.Share.allows(Hooks.OwnInFlight(Id),
                                  Service.Room.limitPerSlot(Grade, Uncertainty),
                                  Now))
          return result::NoRoom;
        const start_result Result =
            Hooks.Start(Number, [&](const server_candidate &Candidate) {
              return Service.Room.hasRoom(loadOf(Candidate), Grade) &&
                     isInTime(Request, Candidate, Now);
            });
        if (Result == start_result::NoRoom)
          return result::NoRoom;
        if (Result == start_result::NoServer) {
          WithoutServer.push_back(Number);
          return result::Refused;
        }
        Waiting.erase(Number);
        return result::Started;
      },
      Now);
  auto Refused = Service.Queue.takeExcess(Now);
  Refused.insert(Refused.end(), Expired.begin(), Expired.end());
  for (const waiting_request &Each : Refused) {
    const request_number Number = requestNumber(Each);
    const admission_request &Request = Waiting.at(Number);
    const duration RetryAfter = retryAfter(Request, Now);
    Waiting.erase(Number);
    Hooks.Refuse(Number, refusal_reason::NoRoom, RetryAfter);
  }
  for (const request_number Number : WithoutServer) {
    Waiting.erase(Number);
    Hooks.Refuse(Number, refusal_reason::NoServer, std::nullopt);
  }
}

// A caller that is told to wait longer than it would does not come back, and
// its request is lost even if there is room for it later.
duration request_admission::retryAfter(const admission_request &Request,
                                       time_point Now) {
  const duration Longest =
      (Request.Deadline - Now) / HonouredShare - RetryAfterMargin;
  return Services[Request.Service].Queue.retryAfter(
      Request.Urgency,
      {.Min =
           std::max(MinRetryAfter, std::min(serviceTime(Request), Longest / 2)),
       .Max = Longest},
      Now, Random);
}

// Answers servers whose queues are longer than the time that a request has
// left: it would be run for nobody.
bool request_admission::isInTime(const admission_request &Request,
                                 const server_candidate &Candidate,
                                 time_point Now) {
  return expectedQueueing(loadOf(Candidate), Request.ServiceTime) +
             serviceTime(Request) <=
         Request.Deadline - Now;
}

server_filter
request_admission::furtherAttempt(const admission_request &Request,
                                  bool IsOptional, time_point Now) const {
  if (!IsOn)
    return {};
  const auto Service = Services.find(Request.Service);
  const room_estimate Room =
      Service == Services.end() ? room_estimate() : Service->second.Room;
  const double Grade = Levels.grade(Request.Urgency);
  return [=](const server_candidate &Candidate) {
    return isInTime(Request, Candidate, Now) &&
           (!IsOptional || Room.hasRoom(loadOf(Candidate), Grade));
  };
}

double request_admission::queuePerSlot(const service_id &Service) const {
  const auto Found = Services.find(Service);
  return Found == Services.end() ? room_estimate().queuePerSlot()
                                 : Found->second.Room.queuePerSlot();
}
