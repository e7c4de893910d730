#include "bw_gateway_daemon/peers/peer_report_service.h"

#include "bw_http/server/http_server.h"
#include "bw_kernel/log/log_event.h"
#include "bw_kernel/services/service_registry.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <array>

using namespace bw;
using asio::ip::udp;

namespace {

// A report is about 40 bytes for each server with requests.
constexpr std::size_t LargestReport = 60'000;
// The store tells those that follow it of a change within some 50 ms; only one
// that it does not reach is still behind after this.
constexpr duration PatienceWithStore = std::chrono::milliseconds(300);

} // namespace

struct peer_report_service::socket_state {
  asio::io_context Context;
  udp::socket Socket{Context};
  std::array<char, LargestReport> Buffer{};
};

peer_report_service::peer_report_service(runtime_clock &Clock,
                                         peer_report_options GivenOptions)
    : service(std::string(ServiceName)), Clock(Clock),
      Options(std::move(GivenOptions)), Random(Options.Seed),
      // The next report replaces a lost one.
      Reports(Clock, {.Capacity = 64, .Overflow = overflow_policy::DropOldest}),
      Socket(std::make_unique<socket_state>()) {}

peer_report_service::~peer_report_service() { stop(); }

void peer_report_service::attach(service_registry &Registry) {
  Decide = &Registry.find<gateway_event_sink>(gateway_event_sink::ServiceName)
                .events();
  State = &Registry.find<platform_state>(platform_state::ServiceName);
  // Hosts that do not follow the store themselves wait for this news.
  State->setOnConfiguration([this] {
    Reports.tryPush({.DataCentreLoad = {}, .Servers = {}, .IsNotice = true});
  });
  Fetch = &Registry.find<exchange_fetch_service>(
      exchange_fetch_service::ServiceName);
}

void peer_report_service::start() {
  asio::error_code Code;
  const auto Address = asio::ip::make_address(Options.Address, Code);
  if (!Code)
    Socket->Socket.open(udp::v4(), Code);
  if (!Code)
    Socket->Socket.bind({Address, Options.Port}, Code);
  if (!Code)
    Socket->Socket.non_blocking(true, Code);
  if (Code)
    throw listen_error(Options.Address, Options.Port, Code.message());
  Thread = std::thread([this] { run(); });
}

void peer_report_service::stop() {
  if (!Thread.joinable())
    return;
  Reports.close();
  Thread.join();
}

void peer_report_service::run() {
  while (!Reports.isClosed()) {
    const auto Report = Reports.pop(Clock.now() + Options.GatherTime);
    if (Report)
      send(*Report);
    else if (Clock.now() - LastSent >= Options.SilentInterval)
      send({});
    receiveAll();
    orderMissing();
  }
}

void peer_report_service::send(const own_report &Report) {
  host_report Message;
  Message.Observations.Host = State->self().Host;
  Message.Observations.HasLoad = !Report.IsNotice;
  Message.Observations.Servers = Report.Servers;
  Message.State = State->ownState();
  std::vector<gateway_host> Near;
  std::vector<gateway_host> Far;
  State->withHosts([&](host_directory &Hosts, random_source &Chance) {
    Near = Hosts.targetsNear(Chance);
    if (Report.IsUrgent || Report.IsNotice)
      Far = Hosts.targetsFar(Chance);
    Summarizer = Hosts.isSummarizer(Clock.now());
    return 0;
  });
  LastSent = Clock.now();
  sendTo(Near, encodeReport(Message));
  if (!Far.empty()) {
    // Bytes between data centres are costly: only failures are told there.
    Message.Observations.HasLoad = false;
    std::erase_if(Message.Observations.Servers,
                  [](const server_report &Each) { return Each.Bad == 0; });
    sendTo(Far, encodeReport(Message));
  }
  if (Report.DataCentreLoad)
    sendSummary(*Report.DataCentreLoad);
}

void peer_report_service::sendSummary(const std::vector<server_report> &Load) {
  host_report Message;
  Message.Observations.Host = State->self().Host;
  Message.Summary =
      load_summary{.DataCentre = State->self().DataCentre, .Servers = Load};
  Message.State = State->ownState();
  sendTo(State->withHosts([](host_directory &Hosts, random_source &Chance) {
    return Hosts.targetsFar(Chance);
  }),
         encodeReport(Message));
}

void peer_report_service::sendTo(const std::vector<gateway_host> &Targets,
                                 const std::string &Bytes) {
  for (const gateway_host &Each : Targets) {
    asio::error_code Code;
    const auto Address = asio::ip::make_address(Each.Ip, Code);
    // A lost or refused datagram is replaced by the next report.
    if (!Code)
      Socket->Socket.send_to(asio::buffer(Bytes), {Address, Each.ReportPort}, 0,
                             Code);
  }
}

void peer_report_service::receiveAll() {
  while (true) {
    asio::error_code Code;
    udp::endpoint From;
    const std::size_t Size = Socket->Socket.receive_from(
        asio::buffer(Socket->Buffer), From, 0, Code);
    if (Code == asio::error::would_block)
      return;
    // A refused datagram of ours is told on the next call; nothing is lost.
    if (Code)
      continue;
    try {
      take(decodeReport({Socket->Buffer.data(), Size}));
    } catch (const exchange_error &Failure) {
      logEvent(log_event::InputMalformed, {{"from", From.address().to_string()},
                                           {"reason", Failure.what()}});
    }
  }
}

void peer_report_service::take(host_report Report) {
  State->heard(Report.Observations.Host, Report.State);
  if (Report.Summary)
    Decide->push(std::move(*Report.Summary));
  else if (!Report.Observations.Servers.empty() || Report.Observations.HasLoad)
    Decide->push(std::move(Report.Observations));
}

// Asks another host for what it has and this host does not.
void peer_report_service::orderMissing() {
  const time_point Now = Clock.now();
  State->withHosts([&](host_directory &Hosts, random_source &) {
    if (const auto Holder = Hosts.newerServers(Now))
      Fetch->order({.Wanted = exchange_item::Servers, .From = *Holder});
    const auto Holder = Hosts.newerConfiguration(Now);
    if (!Holder) {
      BehindSince.reset();
    } else if (!BehindSince && Hosts.followsStore(Now)) {
      BehindSince = Now;
    } else if (!Hosts.followsStore(Now) ||
               Now - *BehindSince > PatienceWithStore) {
      Fetch->order({.Wanted = exchange_item::Configuration, .From = *Holder});
    }
    return 0;
  });
}
