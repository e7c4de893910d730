#include "bw_gateway_daemon/peers/peer_report_service.h"

#include "bw_gateway/messages/ring_bounds.h"
#include "bw_http/server/http_server.h"
#include "bw_kernel/log/log_event.h"
#include "bw_kernel/services/service_registry.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>

#include <array>

using namespace bw;
using asio::ip::udp;

namespace {

// A datagram carries at most 65,507 bytes. Longer messages are sent in parts.
constexpr byte_count MaxReportBytes(60'000);
// The store notifies its followers of a change within about 50 ms. A follower
// that is still behind after this time is cut off from the store.
constexpr duration MaxPropagationDelay = std::chrono::milliseconds(300);
// A notice also goes to this many random hosts of the local and of other data
// centres, so that it spreads even if aggregators are down or unreachable. With
// N local targets, a share of about exp(-N) of the hosts is not reached.
constexpr std::size_t NoticeTargetsNear = 8;
constexpr std::size_t NoticeTargetsFar = 2;

} // namespace

struct peer_report_service::socket_state {
  asio::io_context Context{1};
  udp::socket Socket{Context};
  asio::steady_timer ReceiveTimer{Context};
  /// Used by the sending thread only.
  asio::io_context SendContext{1};
  udp::socket SendSocket{SendContext};
  std::array<char, MaxReportBytes.value()> Buffer{};
};

peer_report_service::peer_report_service(runtime_clock &Clock,
                                         peer_report_options GivenOptions)
    : service(std::string(ServiceName)), Clock(Clock),
      Options(std::move(GivenOptions)), Random(Options.Seed),
      // A dropped report is superseded by the next one.
      Reports(Clock, {.Capacity = 64, .Overflow = overflow_policy::DropOldest}),
      Socket(std::make_unique<socket_state>()) {}

peer_report_service::~peer_report_service() { stop(); }

void peer_report_service::attach(service_registry &Registry) {
  Decide = &Registry.find<gateway_event_sink>(gateway_event_sink::ServiceName)
                .events();
  State = &Registry.find<platform_state>(platform_state::ServiceName);
  // Hosts that do not follow the store learn of new configurations this way.
  State->setOnConfiguration(
      [this] { queueNotice(own_report::notice::Everywhere); });
  // Without this notice idle hosts would learn too late that their list is
  // current, and would read it from the store.
  State->setOnServersRead(
      [this] { queueNotice(own_report::notice::Aggregators); });
  State->setOnServersConfirmed(
      [this] { queueNotice(own_report::notice::Near); });
  Fetch = &Registry.find<exchange_fetch_service>(
      exchange_fetch_service::ServiceName);
}

void peer_report_service::queueNotice(own_report::notice Reach) {
  Reports.tryPush(
      {.Summary = {}, .Aggregate = {}, .Observations = {}, .Notice = Reach});
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
  if (!Code)
    Socket->SendSocket.open(udp::v4(), Code);
  if (!Code)
    Socket->SendSocket.bind({Address, 0}, Code);
  if (Code)
    throw listen_error(Options.Address, Options.Port, Code.message());
  receiveNext();
  Receiver = std::thread([this] { Socket->Context.run(); });
  Sender = std::thread([this] { sendAll(); });
}

void peer_report_service::stop() {
  if (!Sender.joinable())
    return;
  Reports.close();
  Sender.join();
  Socket->Context.stop();
  Receiver.join();
}

void peer_report_service::sendAll() {
  while (!Reports.isClosed()) {
    auto Report = Reports.pop(
        std::min(Clock.now() + Options.DutyCheckInterval, State->nextQuery()));
    updateDuty();
    sendQueries();
    if (Report && Report->Notice != own_report::notice::None)
      sendNotice(Report->Notice);
    else if (Report)
      send(std::move(*Report));
    else if (Clock.now() - LastSent >= Options.IdleReportInterval)
      send({});
  }
}

void peer_report_service::receiveNext() {
  Socket->Socket.async_wait(
      udp::socket::wait_read, [this](asio::error_code Code) {
        if (Code)
          return;
        receiveAll();
        fetchNewerState();
        if (!IsAggregator)
          return receiveNext();
        Socket->ReceiveTimer.expires_after(Options.ReceiveBatchTime);
        Socket->ReceiveTimer.async_wait([this](asio::error_code Cancelled) {
          if (!Cancelled)
            receiveNext();
        });
      });
}

// Informs the decide service, which aggregates reports only while this host is
// an aggregator.
void peer_report_service::updateDuty() {
  const exchange_duty Now =
      State->withHosts([&](host_directory &Hosts, random_source &) {
        return Hosts.duty(Clock.now());
      });
  if (Now == Duty)
    return;
  Duty = Now;
  IsAggregator = Duty.IsAggregator;
  logEvent(log_event::ExchangeDutyChanged,
           {{"aggregator", Duty.IsAggregator ? "1" : "0"},
            {"first", Duty.IsFirst ? "1" : "0"},
            {"informed", Duty.IsInformed ? "1" : "0"}});
  Decide->push(Duty);
}

host_report peer_report_service::makeStateReport() const {
  host_report Result;
  Result.Observations.Host = State->self().Host;
  Result.Observations.HasLoad = false;
  Result.State = State->ownState();
  return Result;
}

void peer_report_service::send(own_report Report) {
  std::vector<gateway_host> Near;
  std::vector<gateway_host> Aggregators;
  std::vector<gateway_host> Far;
  std::vector<gateway_host> Unheard;
  const bool IsSilent = !Report.Aggregate &&
                        Report.Observations.Servers.empty() &&
                        Report.Observations.Demands.empty();
  State->withHosts([&](host_directory &Hosts, random_source &Generator) {
    const time_point Now = Clock.now();
    if (Report.IsUrgent || Report.Aggregate || (IsSilent && Duty.IsAggregator))
      Near = Hosts.localHosts(Generator);
    Aggregators = Hosts.localAggregators(Now, Generator);
    // Keeps this host live in the view of the aggregators of other data
    // centres.
    if (Duty.IsAggregator &&
        (Report.Summary || Now - LastSentFar >= Options.IdleReportInterval)) {
      Far = Hosts.remoteAggregators(Now, Generator);
      LastSentFar = Now;
    }
    if (Duty.IsAggregator &&
        Now - LastSentUnheard >= Options.IdleReportInterval) {
      Unheard = Hosts.unheardRemoteAggregators(Now);
      LastSentUnheard = Now;
    }
    return 0;
  });
  LastSent = Clock.now();
  host_report Observations = makeStateReport();
  Observations.Observations = std::move(Report.Observations);
  Observations.Observations.Host = State->self().Host;
  Observations.Observations.IsBroadcast = Report.IsUrgent;
  sendTo(Report.IsUrgent || (IsSilent && Duty.IsAggregator) ? Near
                                                            : Aggregators,
         encodeReport(Observations));
  if (Report.Aggregate) {
    host_report Sums = makeStateReport();
    for (load_aggregate &Part :
         splitAggregate(std::move(*Report.Aggregate), MaxReportBytes)) {
      Sums.Aggregate = std::move(Part);
      sendTo(Near, encodeReport(Sums));
    }
  }
  host_report Summary = makeStateReport();
  sendTo(Unheard, encodeReport(Summary));
  if (!Report.Summary)
    return sendTo(Far, encodeReport(Summary));
  for (load_summary &Part :
       splitSummary(std::move(*Report.Summary), MaxReportBytes)) {
    Summary.Summary = std::move(Part);
    sendTo(Far, encodeReport(Summary));
  }
}

void peer_report_service::sendNotice(own_report::notice Reach) {
  std::vector<gateway_host> Targets;
  const auto Add = [&](const std::vector<gateway_host> &More) {
    Targets.insert(Targets.end(), More.begin(), More.end());
  };
  State->withHosts([&](host_directory &Hosts, random_source &Generator) {
    const time_point Now = Clock.now();
    if (Duty.IsAggregator)
      Add(Hosts.localHosts(Generator));
    if (Reach == own_report::notice::Near)
      return 0;
    if (Reach == own_report::notice::Aggregators) {
      if (Duty.IsAggregator)
        Add(Hosts.remoteAggregators(Now, Generator));
      return 0;
    }
    Add(Hosts.randomHosts(NoticeTargetsNear, NoticeTargetsFar, Generator));
    Add(Duty.IsAggregator ? Hosts.remoteAggregators(Now, Generator)
                          : Hosts.localAggregators(Now, Generator));
    return 0;
  });
  sendTo(Targets, encodeReport(makeStateReport()));
}

void peer_report_service::sendTo(const std::vector<gateway_host> &Targets,
                                 const std::string &Bytes) {
  for (const gateway_host &Each : Targets) {
    asio::error_code Code;
    const auto Address = asio::ip::make_address(Each.Ip, Code);
    // A lost or refused datagram is superseded by the next report.
    if (!Code)
      Socket->SendSocket.send_to(asio::buffer(Bytes),
                                 {Address, Each.ReportPort}, 0, Code);
  }
}

// The queries count from when their numbers were given out.
void peer_report_service::sendQueries() {
  const std::vector<verification_query> Queries = State->takeQueries();
  if (Queries.empty())
    return;
  host_report Report = makeStateReport();
  for (const verification_query &Each : Queries) {
    Report.Query = {.Number = Each.Number,
                    .ReplyPort = State->self().ReportPort};
    sendTo({Each.To}, encodeReport(Report));
  }
}

// Replies to the address that the query came from, as a new host may not be
// listed here yet. Uses the socket of the receiving thread.
void peer_report_service::answerQuery(const freshness_query &Query,
                                      const std::string &Ip) {
  host_report Report = makeStateReport();
  Report.Reply = State->answerQuery(Query.Number);
  if (!Report.Reply)
    return;
  const std::string Bytes = encodeReport(Report);
  asio::error_code Code;
  const auto Address = asio::ip::make_address(Ip, Code);
  // A lost reply is superseded by that to the next query.
  if (!Code)
    Socket->Socket.send_to(asio::buffer(Bytes), {Address, Query.ReplyPort}, 0,
                           Code);
}

void peer_report_service::receiveAll() {
  while (true) {
    asio::error_code Code;
    udp::endpoint From;
    const std::size_t Size = Socket->Socket.receive_from(
        asio::buffer(Socket->Buffer), From, 0, Code);
    if (Code == asio::error::would_block)
      return;
    // A pending socket error, such as a refused datagram, is reported here; no
    // data is lost.
    if (Code)
      continue;
    try {
      host_report Report = decodeReport({Socket->Buffer.data(), Size});
      if (Report.Query)
        answerQuery(*Report.Query, From.address().to_string());
      handleReport(std::move(Report));
    } catch (const exchange_error &Failure) {
      logEvent(log_event::InputMalformed, {{"from", From.address().to_string()},
                                           {"reason", Failure.what()}});
    }
  }
}

void peer_report_service::logNewerVersion(const host_report &Report) {
  const config_version Own = State->ownState().Version;
  if (Report.State.Version <= std::max(Own, ReportedVersion))
    return;
  ReportedVersion = Report.State.Version;
  logEvent(log_event::NewerConfigurationReported,
           {{"version", std::to_string(ReportedVersion.value())},
            {"own_version", std::to_string(Own.value())},
            {"by", Report.Observations.Host.value()}});
}

void peer_report_service::handleReport(host_report Report) {
  logNewerVersion(Report);
  // Events of requests must find a place; a lost report is superseded by the
  // next one.
  const std::size_t KeptFree =
      Decide->capacity() - reportPlaces(Decide->capacity());
  State->heard(Report.Observations.Host, Report.State);
  if (Report.Reply)
    State->recordReply(*Report.Reply);
  if (Report.Summary)
    Decide->tryPush(std::move(*Report.Summary), KeptFree);
  else if (Report.Aggregate)
    Decide->tryPush(std::move(*Report.Aggregate), KeptFree);
  else if (!Report.Observations.Servers.empty() || Report.Observations.HasLoad)
    Decide->tryPush(std::move(Report.Observations), KeptFree);
}

// Requests newer lists and configurations from the hosts that have them.
void peer_report_service::fetchNewerState() {
  const time_point Now = Clock.now();
  State->withHosts([&](host_directory &Hosts, random_source &Generator) {
    if (const auto Holder = Hosts.hostWithNewerServers(Now))
      Fetch->requestFetch({.Wanted = exchange_item::Servers, .From = *Holder});
    if (!Hosts.followsHosts(Now))
      if (const auto Holder = Hosts.aggregatorWithOtherHosts(Now))
        Fetch->requestFetch({.Wanted = exchange_item::Hosts, .From = *Holder});
    const auto Holder = Hosts.hostWithNewerConfiguration(Now, Generator);
    if (!Holder) {
      BehindSince.reset();
    } else if (!BehindSince && Hosts.followsConfiguration(Now)) {
      BehindSince = Now;
    } else if (!Hosts.followsConfiguration(Now) ||
               Now - *BehindSince > MaxPropagationDelay) {
      Fetch->requestFetch(
          {.Wanted = exchange_item::Configuration, .From = *Holder});
    }
    return 0;
  });
}
