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

exchange_fetch_service::exchange_fetch_service(
    runtime_clock &Clock, exchange_fetch_options GivenOptions)
    : service(std::string(ServiceName)), Clock(Clock),
      Options(std::move(GivenOptions)),
      // A refused request is repeated after the next report.
      FetchRequests(Clock,
                    {.Capacity = 16, .Overflow = overflow_policy::Refuse}) {}

exchange_fetch_service::~exchange_fetch_service() { stop(); }

void exchange_fetch_service::attach(service_registry &Registry) {
  State = &Registry.find<platform_state>(platform_state::ServiceName);
}

void exchange_fetch_service::start() {
  Thread = std::thread([this] { run(); });
}

void exchange_fetch_service::stop() {
  if (!Thread.joinable())
    return;
  Session.cancel();
  FetchRequests.close();
  Thread.join();
}

void exchange_fetch_service::requestFetch(fetch_request Request) {
  std::atomic<bool> &IsOpen = IsPending[std::size_t(Request.Wanted)];
  if (!IsOpen.exchange(true) && !FetchRequests.push(std::move(Request)))
    IsOpen = false;
}

// True while the configuration, the server list or the host list is missing.
bool exchange_fetch_service::lacksState() const {
  return State->hosts().empty() || !State->configuration() || !State->servers();
}

void exchange_fetch_service::run() {
  while (!FetchRequests.isClosed()) {
    const bool AsksSeeds = !Options.Seeds.empty() && lacksState();
    const duration Pause = SeedAttempts < Options.InitialSeedAttempts
                               ? Options.InitialSeedInterval
                               : Options.SeedInterval;
    const auto Request =
        FetchRequests.pop(AsksSeeds ? Clock.now() + Pause : time_point::max());
    if (Request) {
      fetch(*Request);
      IsPending[std::size_t(Request->Wanted)] = false;
    } else if (AsksSeeds && lacksState() && !FetchRequests.isClosed()) {
      fetchFromSeeds();
    }
  }
}

void exchange_fetch_service::fetchFromSeeds() {
  ++SeedAttempts;
  const gateway_host &Seed = Options.Seeds[NextSeed++ % Options.Seeds.size()];
  if (!State->configuration() &&
      !fetch({.Wanted = exchange_item::Configuration, .From = Seed}))
    return;
  if (!State->servers())
    fetch({.Wanted = exchange_item::Servers, .From = Seed});
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
  const call_result Result =
      Session.call({.Method = "GET",
                    .Url = "http://" + Request.From.Ip + ":" +
                           std::to_string(Request.From.ExchangePort) +
                           exchangePath(Request.Wanted),
                    .ConnectTimeout = Options.ConnectTimeout,
                    .Timeout = Options.Timeout});
  logFetch(Request, Result);
  if (!isFetched(Result))
    return false;
  try {
    const std::string &Body = Result.Response.Body;
    switch (Request.Wanted) {
    case exchange_item::Servers: {
      const auto Age = Result.Response.Headers.find("Age-Ms");
      State->offerServers(
          decodeServers(Body),
          std::chrono::milliseconds(
              Age ? std::strtoll(Age->c_str(), nullptr, 10) : 0));
      break;
    }
    case exchange_item::Configuration:
      State->offerConfiguration(decodeConfiguration(Body));
      break;
    case exchange_item::Hosts:
      State->offerHosts(decodeHosts(Body));
      break;
    }
    return true;
  } catch (const exchange_error &Failure) {
    logEvent(log_event::InputMalformed,
             {{"from", Request.From.Ip}, {"reason", Failure.what()}});
    return false;
  }
}
