#include "tests/soak/promise_checker.h"

#include <algorithm>

using namespace bw;
using namespace bw::soak;

namespace {

constexpr int FirstServerError = 500;
constexpr int Unauthenticated = 401;
constexpr int NotFound = 404;

bool isPromise(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

std::string milliseconds(duration Time) {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(Time)
                 .count()) +
         " ms";
}

} // namespace

void promise_checker::add(const std::string &Promise, const std::string &Text,
                          const request_label &Label, time_point At) {
  Violations.push_back(
      {.Promise = Promise, .Text = Text, .Label = Label, .At = At});
}

void promise_checker::report(const std::string &Promise,
                             const std::string &Text, time_point At) {
  const std::lock_guard Guard(Mutex);
  add(Promise, Text, {}, At);
}

bool promise_checker::overlaps(const std::vector<interval> &Intervals,
                               time_point From, time_point To) {
  return std::any_of(
      Intervals.begin(), Intervals.end(),
      [&](const interval &Each) { return Each.From <= To && Each.To >= From; });
}

bool promise_checker::isStoreStable(time_point At) const {
  return !overlaps(StoreDisturbed, At - Bounds.StableWindow, At);
}

bool promise_checker::isInTouch(const host_id &Host, time_point At) const {
  const auto Found = Hosts.find(Host);
  if (Found == Hosts.end() || !isStoreStable(At))
    return false;
  const host_record &Record = Found->second;
  return Record.Started <= At - Bounds.StableWindow && !Record.Stops &&
         !overlaps(Record.Disturbed, At - Bounds.StableWindow, At);
}

void promise_checker::asked(const asked_request &Request) {
  const std::lock_guard Guard(Mutex);
  request_record &Record = Requests[Request.Label];
  Record.Asked = Request;
  Record.HostStart = Hosts[Request.Host].Started;
  if (const customer_id *Customer = customerOf(Request))
    Ledger.asked(*Customer, Request.At);
}

void promise_checker::arrived(const server_arrival &Arrival) {
  const std::lock_guard Guard(Mutex);
  const auto Found = Requests.find(Arrival.Label);
  if (Found == Requests.end())
    return add("UNASKED", "a server got a request that nobody sent",
               Arrival.Label, Arrival.At);
  request_record &Record = Found->second;
  Arrivals.push_back({.At = Arrival.At,
                      .Service = Arrival.Service,
                      .Server = Arrival.Server,
                      .IsFirst = Record.Arrivals.empty()});
  Record.Arrivals.push_back(Arrival.Server);
  checkArrival(Arrival, Record);
}

void promise_checker::checkArrival(const server_arrival &Arrival,
                                   request_record &Record) {
  const asked_request &Asked = Record.Asked;
  if (Arrival.Method != Asked.Method || Arrival.Target != Asked.Target ||
      Arrival.Body != Asked.Body)
    add("UNASKED", "a server got another method, path or body", Asked.Label,
        Arrival.At);
  if (!Asked.Services.contains(Arrival.Service))
    add("ROUTE", "ran at the service " + Arrival.Service.value(), Asked.Label,
        Arrival.At);
  checkCustomer(Arrival, Asked);
  const auto Server = Servers.find(Arrival.Server);
  if (Server != Servers.end() && Server->second.Leaves) {
    const duration After = Arrival.At - *Server->second.Leaves;
    if (After > Bounds.Drain + Late && isInTouch(Asked.Host, Arrival.At) &&
        isStoreStable(*Server->second.Leaves))
      add("DRAIN",
          "reached " + Arrival.Server.value() + " " + milliseconds(After) +
              " after it was known to leave",
          Asked.Label, Arrival.At);
  }
  if (Arrival.IsDeclined)
    return;
  ++Record.Runs;
  const customer_id *Customer = customerOf(Asked);
  // Attempts of one request count once.
  if (Customer != nullptr && Record.Runs == 1)
    Ledger.ran(*Customer, Arrival.At);
  if (Asked.IsRepeatable)
    return;
  if (Record.Runs > 1)
    add("TWICE", "ran " + std::to_string(Record.Runs) + " times", Asked.Label,
        Arrival.At);
  if (Record.Answer && isPromise(Record.Answer->Status))
    add("REFUSED", "ran after it was said not to run", Asked.Label, Arrival.At);
}

void promise_checker::answered(const seen_answer &Answer) {
  const std::lock_guard Guard(Mutex);
  const auto Found = Requests.find(Answer.Label);
  if (Found == Requests.end())
    return;
  request_record &Record = Found->second;
  Record.Answer = Answer;
  // Bodies are checked here and not kept.
  Record.Answer->Body.clear();
  if (Answer.IsComplete) {
    checkContent(Answer, Record);
    checkUnauthenticated(Answer, Record);
    countOverAllowance(Answer, Record);
    checkVersion(Answer, Record);
  } else if (!Answer.IsGivenUp) {
    checkLoss(Answer, Record);
  }
}

void promise_checker::checkContent(const seen_answer &Answer,
                                   const request_record &Record) {
  const asked_request &Asked = Record.Asked;
  if (!Answer.EchoedLabel.empty() && Answer.EchoedLabel != Asked.Label.value())
    add("MIXED", "the answer belongs to another request", Asked.Label,
        Answer.At);
  if (isPromise(Answer.Status) && !Asked.IsRepeatable && Record.Runs > 0)
    add("REFUSED",
        "was said not to run with " + std::to_string(Answer.Status) +
            ", and ran",
        Asked.Label, Answer.At);
  if (!isSuccess(Answer.Status))
    return;
  ++Served;
  const bool IsSigned = std::any_of(
      Record.Arrivals.begin(), Record.Arrivals.end(),
      [&](const backend_server_id &Each) {
        return Answer.Signature == emulatedSignature(Each, Asked.Label);
      });
  if (!IsSigned)
    add("MIXED", "a success without the proof of its server", Asked.Label,
        Answer.At);
  if (Answer.Body !=
      emulatedBody(Asked.Label, Asked.Target, Answer.Body.size()))
    add("MIXED", "a success with another body than its server's", Asked.Label,
        Answer.At);
}

// Routes are only ever added, so 404 says that the host has an older version.
void promise_checker::checkVersion(const seen_answer &Answer,
                                   const request_record &Record) {
  const asked_request &Asked = Record.Asked;
  host_record &Host = Hosts[Asked.Host];
  if (Record.HostStart != Host.Started)
    return;
  if (Answer.Status != NotFound) {
    if (isSuccess(Answer.Status))
      Host.Seen.try_emplace(Asked.Since, Answer.At);
    return;
  }
  for (const auto &[Version, At] : Host.Seen)
    if (Version >= Asked.Since && Asked.At > At + Bounds.Rollback + Late)
      add("CONFIG",
          "version " + std::to_string(Version.value()) +
              " was in force, and a route of version " +
              std::to_string(Asked.Since.value()) + " is not known later",
          Asked.Label, Answer.At);
  const auto Acknowledged = Versions.find(Asked.Since);
  if (Acknowledged == Versions.end())
    return add("CONFIG", "a route of the first version is not known",
               Asked.Label, Answer.At);
  if (Asked.At > Acknowledged->second + Bounds.Configuration + Late &&
      isInTouch(Asked.Host, Asked.At))
    add("CONFIG",
        "version " + std::to_string(Asked.Since.value()) + " is not in force " +
            milliseconds(Asked.At - Acknowledged->second) + " later",
        Asked.Label, Answer.At);
}

void promise_checker::checkLoss(const seen_answer &Answer,
                                const request_record &Record) {
  const asked_request &Asked = Record.Asked;
  const host_record &Host = Hosts[Asked.Host];
  if (!Host.Stops || Answer.At < *Host.Stops ||
      Answer.At > *Host.Stops + Bounds.Grace)
    return;
  const time_point From = Asked.At - Bounds.StableWindow;
  if (overlaps(Host.Disturbed, From, Answer.At))
    return;
  for (const backend_server_id &Each : Record.Arrivals)
    if (overlaps(Servers[Each].Disturbed, From, Answer.At))
      return;
  if (!Record.Arrivals.empty() ||
      Answer.At - Asked.At > Bounds.LossSlack + Late)
    add("LOST",
        "a planned stop ended the connection " +
            milliseconds(Answer.At - Asked.At) + " after the request",
        Asked.Label, Answer.At);
}

void promise_checker::hostStarted(const host_id &Host, time_point At) {
  const std::lock_guard Guard(Mutex);
  host_record &Record = Hosts[Host];
  Record.Started = At;
  Record.Stops.reset();
  Record.Seen.clear();
}

void promise_checker::hostStops(const host_id &Host, time_point At) {
  const std::lock_guard Guard(Mutex);
  Hosts[Host].Stops = At;
}

void promise_checker::hostDisturbed(const host_id &Host, time_point From,
                                    time_point To) {
  const std::lock_guard Guard(Mutex);
  Hosts[Host].Disturbed.push_back({From, To});
}

void promise_checker::storeDisturbed(time_point From, time_point To) {
  const std::lock_guard Guard(Mutex);
  StoreDisturbed.push_back({From, To});
}

void promise_checker::serverListed(const backend_server_id &Server,
                                   const service_id &Service, time_point At) {
  const std::lock_guard Guard(Mutex);
  Servers[Server] = {.Service = Service, .Listed = At};
}

void promise_checker::serverDisturbed(const backend_server_id &Server,
                                      time_point From, time_point To) {
  const std::lock_guard Guard(Mutex);
  Servers[Server].Disturbed.push_back({From, To});
}

void promise_checker::serverLeaves(const backend_server_id &Server,
                                   time_point At) {
  const std::lock_guard Guard(Mutex);
  if (!Servers[Server].Leaves)
    Servers[Server].Leaves = At;
}

void promise_checker::versionAcknowledged(config_version Version,
                                          time_point At) {
  const std::lock_guard Guard(Mutex);
  Versions.emplace(Version, At);
}

void promise_checker::checkWindows(time_point Now) {
  const std::lock_guard Guard(Mutex);
  while (!Arrivals.empty() && Arrivals.front().At < Now - Bounds.BudgetWindow)
    Arrivals.pop_front();
  checkBudget(Now);
  checkFloor(Now);
  checkQuota(Now);
}

bool promise_checker::isOverAllowance(const request_record &Record) {
  return Record.Answer && Record.Answer->Status == OverAllowance;
}

std::size_t promise_checker::requestsFor(const service_id &Service,
                                         time_point From, time_point To) const {
  return static_cast<std::size_t>(
      std::count_if(Requests.begin(), Requests.end(), [&](const auto &Each) {
        const asked_request &Asked = Each.second.Asked;
        // A request over an allowance earns its service no retries.
        return Asked.At >= From && Asked.At < To &&
               Asked.Services.contains(Service) &&
               !isOverAllowance(Each.second);
      }));
}

void promise_checker::checkBudget(time_point Now) {
  std::map<service_id, std::size_t> Repeats;
  for (const arrival_record &Each : Arrivals)
    Repeats[Each.Service] += Each.IsFirst ? 0 : 1;
  const duration Window = Bounds.BudgetWindow;
  for (const auto &[Service, Count] : Repeats) {
    std::size_t Most = 0;
    for (const duration Before : {duration::zero(), Window / 2, Window})
      Most = std::max(
          Most, requestsFor(Service, Now - Before - Window, Now - Before));
    if (double(Count) > Bounds.RetryRatio * double(Most) + Bounds.RetrySlack)
      add("BUDGET",
          std::to_string(Count) + " repeats for " + std::to_string(Most) +
              " requests to " + Service.value(),
          {}, Now);
  }
}

void promise_checker::checkFloor(time_point Now) {
  const time_point From = Now - Bounds.FloorWindow;
  if (overlaps(StoreDisturbed, From - Bounds.StableWindow, Now))
    return;
  std::set<backend_server_id> Used;
  for (const arrival_record &Each : Arrivals)
    if (Each.At >= From)
      Used.insert(Each.Server);
  std::map<service_id, std::pair<int, int>> Sound;
  const duration Long = 2 * Bounds.StableWindow;
  for (const auto &[Name, Server] : Servers) {
    if (Server.Leaves || Server.Listed > From - Long ||
        overlaps(Server.Disturbed, From - Long, Now))
      continue;
    auto &[Count, UsedCount] = Sound[Server.Service];
    ++Count;
    UsedCount += Used.contains(Name) ? 1 : 0;
  }
  for (const auto &[Service, Counts] : Sound) {
    int Ended = 0;
    int Failed = 0;
    for (const auto &[Label, Record] : Requests) {
      if (!Record.Answer || Record.Answer->At < From ||
          !Record.Asked.Services.contains(Service) ||
          Record.Asked.Since != config_version() ||
          // A refused key or customer says nothing about servers.
          Record.Answer->Status == Unauthenticated || isOverAllowance(Record))
        continue;
      ++Ended;
      Failed +=
          isSuccess(Record.Answer->Status) && Record.Answer->IsComplete ? 0 : 1;
    }
    const auto &[Count, UsedCount] = Counts;
    constexpr int Enough = 3;
    if (Count >= Enough && UsedCount > 0 &&
        UsedCount < Bounds.FloorShare * Count && Failed * 10 > Ended &&
        Failed * 2 < Ended)
      add("FLOOR",
          std::to_string(UsedCount) + " of " + std::to_string(Count) +
              " sound servers of " + Service.value() + " got requests, " +
              std::to_string(Failed) + " of " + std::to_string(Ended) +
              " requests failed",
          {}, Now);
  }
}

void promise_checker::checkRecovery(time_point From, time_point To) {
  const std::lock_guard Guard(Mutex);
  int Asked = 0;
  int Good = 0;
  for (const auto &[Label, Record] : Requests) {
    // Refusals over an allowance are right, but do not show that it recovers.
    if (Record.Asked.At < From || Record.Asked.At > To ||
        isOverAllowance(Record))
      continue;
    ++Asked;
    Good += Record.Answer && Record.Answer->IsComplete &&
                    Record.Answer->Status < FirstServerError
                ? 1
                : 0;
  }
  if (Asked == 0 || Good < Bounds.RecoveredShare * Asked)
    add("RECOVER",
        std::to_string(Good) + " of " + std::to_string(Asked) +
            " requests were served after the last fault",
        {}, To);
}

std::vector<violation> promise_checker::violations() const {
  const std::lock_guard Guard(Mutex);
  return Violations;
}

std::size_t promise_checker::requests() const {
  const std::lock_guard Guard(Mutex);
  return Requests.size();
}

std::size_t promise_checker::served() const {
  const std::lock_guard Guard(Mutex);
  return Served;
}
