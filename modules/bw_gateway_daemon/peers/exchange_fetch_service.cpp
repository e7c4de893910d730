#include "bw_gateway_daemon/peers/exchange_fetch_service.h"

#include "bw_gateway_daemon/peers/exchange_messages.h"
#include "bw_kernel/log/log_event.h"
#include "bw_kernel/services/service_registry.h"

using namespace bw;

namespace {

bool isFetched(const call_result &Result) {
  constexpr int Ok = 200;
  return Result.Transfer.Status == transfer_status::Complete &&
         Result.Response.Status == Ok;
}

std::string_view statusName(transfer_status Status) {
  switch (Status) {
  case transfer_status::Complete:
    return "complete";
  case transfer_status::ConnectFailed:
    return "connect_failed";
  case transfer_status::Broken:
    return "broken";
  case transfer_status::TimedOut:
    return "timed_out";
  case transfer_status::Cancelled:
    return "cancelled";
  }
  return "";
}

} // namespace

std::string bw::exchangePath(exchange_item Item) {
  switch (Item) {
  case exchange_item::Servers:
    return "/exchange/servers";
  case exchange_item::Configuration:
    return "/exchange/configuration";
  case exchange_item::Hosts:
    return "/exchange/hosts";
  }
  return "/";
}

exchange_fetch_service::lane::lane(runtime_clock &Clock)
    // A refused request is repeated after the next report.
    : Requests(Clock, {.Capacity = 16, .Overflow = overflow_policy::Refuse}) {}

exchange_fetch_service::exchange_fetch_service(
    runtime_clock &Clock, exchange_fetch_options GivenOptions)
    : service(std::string(ServiceName)), Clock(Clock),
      Options(std::move(GivenOptions)), Lists(Clock), Configurations(Clock) {}

exchange_fetch_service::~exchange_fetch_service() { stop(); }

void exchange_fetch_service::attach(service_registry &Registry) {
  State = &Registry.find<platform_state>(platform_state::ServiceName);
}

void exchange_fetch_service::start() {
  for (lane *Lane : {&Lists, &Configurations})
    Lane->Thread = std::thread([this, Lane] { run(*Lane); });
}

void exchange_fetch_service::stop() {
  for (lane *Lane : {&Lists, &Configurations}) {
    if (!Lane->Thread.joinable())
      continue;
    Lane->Session.cancel();
    Lane->Requests.close();
    Lane->Thread.join();
  }
}

void exchange_fetch_service::requestFetch(fetch_request Request) {
  std::atomic<bool> &IsOpen = IsPending[std::size_t(Request.Wanted)];
  lane &Lane = laneOf(Request.Wanted);
  if (!IsOpen.exchange(true) && !Lane.Requests.push(std::move(Request)))
    IsOpen = false;
}

// True while what the lane fetches is missing.
bool exchange_fetch_service::lacksState(const lane &Lane) const {
  return &Lane == &Configurations ? !State->configuration()
                                  : State->hosts().empty() || !State->servers();
}

void exchange_fetch_service::run(lane &Lane) {
  std::size_t SeedAttempts = 0;
  while (!Lane.Requests.isClosed()) {
    const bool AsksSeeds = !Options.Seeds.empty() && lacksState(Lane);
    const duration Pause = SeedAttempts < Options.InitialSeedAttempts
                               ? Options.InitialSeedInterval
                               : Options.SeedInterval;
    const auto Request =
        Lane.Requests.pop(AsksSeeds ? Clock.now() + Pause : time_point::max());
    if (Request) {
      fetch(*Request);
      IsPending[std::size_t(Request->Wanted)] = false;
    } else if (AsksSeeds && lacksState(Lane) && !Lane.Requests.isClosed()) {
      fetchFromSeed(Lane, SeedAttempts++);
    }
  }
}

void exchange_fetch_service::fetchFromSeed(lane &Lane, std::size_t Attempt) {
  const gateway_host &Seed = Options.Seeds[Attempt % Options.Seeds.size()];
  if (&Lane == &Configurations) {
    fetch({.Wanted = exchange_item::Configuration, .From = Seed});
    return;
  }
  if (!State->servers() &&
      !fetch({.Wanted = exchange_item::Servers, .From = Seed}))
    return;
  if (State->hosts().empty())
    fetch({.Wanted = exchange_item::Hosts, .From = Seed});
}

// Lists change several times a second, so only failures to fetch them are
// logged.
void exchange_fetch_service::logFetch(const fetch_request &Request,
                                      const call_result &Result) const {
  const bool IsFetched = isFetched(Result);
  if (IsFetched && Request.Wanted != exchange_item::Configuration)
    return;
  logEvent(
      IsFetched ? log_event::StateFetched : log_event::StateFetchFailed,
      {{"path", exchangePath(Request.Wanted)},
       {"from", Request.From.Ip},
       {"outcome", std::string(statusName(Result.Transfer.Status))},
       {"status", std::to_string(Result.Transfer.HttpStatus)},
       {"bytes", std::to_string(Result.Transfer.Received.value())},
       {"elapsed_ms",
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                           Result.Transfer.Elapsed)
                           .count())}});
}

bool exchange_fetch_service::fetch(const fetch_request &Request) {
  const auto Milliseconds = [](duration Time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Time);
  };
  const fetch_limits &Limits = Options.Limits;
  const call_result Result =
      laneOf(Request.Wanted)
          .Session.call({.Method = "GET",
                         .Url = "http://" + Request.From.Ip + ":" +
                                std::to_string(Request.From.ExchangePort) +
                                exchangePath(Request.Wanted),
                         .ConnectTimeout = Milliseconds(Limits.Connect),
                         .Timeout = Milliseconds(Limits.Total),
                         .FirstByteTimeout = Milliseconds(Limits.Idle),
                         .IdleTimeout = Milliseconds(Limits.Idle),
                         .BodyLimit = Limits.Body});
  logFetch(Request, Result);
  bool IsUsable = isFetched(Result);
  try {
    if (IsUsable)
      store(Request, Result.Response);
  } catch (const exchange_error &Failure) {
    logEvent(log_event::InputMalformed,
             {{"from", Request.From.Ip}, {"reason", Failure.what()}});
    IsUsable = false;
  }
  if (!IsUsable)
    State->withHosts([&](host_directory &Hosts, random_source &) {
      Hosts.recordFetchFailure(Request.From.Host, Clock.now());
      return 0;
    });
  return IsUsable;
}

void exchange_fetch_service::store(const fetch_request &Request,
                                   const http_response &Response) {
  switch (Request.Wanted) {
  case exchange_item::Servers: {
    const auto Age = Response.Headers.find("Age-Ms");
    return State->offerServers(
        decodeServers(Response.Body),
        std::chrono::milliseconds(Age ? std::strtoll(Age->c_str(), nullptr, 10)
                                      : 0));
  }
  case exchange_item::Configuration:
    return State->offerConfiguration(decodeConfiguration(Response.Body));
  case exchange_item::Hosts:
    return State->offerHosts(decodeHosts(Response.Body));
  }
}
