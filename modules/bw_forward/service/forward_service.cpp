#include "bw_forward/service/forward_service.h"

#include "bw_forward/callers/authorization_field.h"
#include "bw_forward/callers/caller_connection.h"
#include "bw_forward/servers/server_connection.h"
#include "bw_http/server/http_server.h"
#include "bw_kernel/log/log_event.h"
#include "bw_kernel/services/service_registry.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <vector>

using namespace bw;
using asio::ip::tcp;

namespace {

constexpr int ListenBacklog = 1024;
// The shortest caller time-out is a few seconds, so an error of up to one
// second is acceptable.
constexpr std::chrono::seconds TimeoutCheckInterval(1);
// Delay before accepting again after an error, such as a lack of file
// descriptors.
constexpr std::chrono::milliseconds AcceptRetryDelay(100);
// A host has about one concurrent request per server, so more idle connections
// would not be used.
constexpr std::size_t MaxIdlePerServer = 3;

int statusFor(refusal_reason Reason) {
  switch (Reason) {
  case refusal_reason::NoRoute:
    return 404;
  case refusal_reason::Unauthenticated:
    return 401;
  case refusal_reason::OverAllowance:
    return 429;
  case refusal_reason::Unknown:
    return 502;
  case refusal_reason::Timeout:
    return 504;
  case refusal_reason::NoConfiguration:
  case refusal_reason::NoServer:
  case refusal_reason::NotExecuted:
  case refusal_reason::NoRoom:
  case refusal_reason::Stopping:
  case refusal_reason::Overloaded:
  case refusal_reason::ConfigurationStale:
    return 503;
  }
  return 502;
}

std::string_view withoutPort(std::string_view Host) {
  const std::size_t Colon = Host.rfind(':');
  return Colon == Host.npos ? Host : Host.substr(0, Colon);
}

} // namespace

struct forward_service::implementation {
  struct open_request {
    exchange_pointer Exchange;
    std::vector<attempt_pointer> Attempts;
  };

  implementation(runtime_clock &Clock, forward_service_options GivenOptions)
      : Clock(Clock), Options(std::move(GivenOptions)), Acceptor(Context),
        AcceptTimer(Context), TimeoutTimer(Context), StopTimer(Context),
        Commands(Clock,
                 {.Capacity = Options.CommandCapacity,
                  // A lost command would leave a caller without response.
                  .Overflow = overflow_policy::Block,
                  .OnReady = [this] { postCommandProcessing(); }}) {
    CallerOptions.ReplayLimit = Options.BufferLimit;
    ServerOptions.Headers = Options.Headers;
    ServerOptions.BufferLimit = Options.BufferLimit;
    CallerHooks = {
        .NextNumber = [this] { return LastNumber = LastNumber.next(); },
        .Now = [this] { return this->Clock.now(); },
        .OnRequest =
            [this](const exchange_pointer &Each) { dispatchRequest(Each); },
        .OnBody = [this](const exchange_pointer &Each) { bodyRead(*Each); },
        .OnDisconnected =
            [this](const exchange_pointer &Each) { callerDisconnected(*Each); },
        .OnOutputWritten =
            [this](const exchange_pointer &Each) { outputWritten(*Each); },
        .OnClosed =
            [this](const std::shared_ptr<caller_connection> &Each) {
              Callers.erase(Each);
              CallerCount = Callers.size();
            }};
    ServerHooks = {
        .Now = [this] { return this->Clock.now(); },
        .OnResponse =
            [this](const attempt_pointer &Each) { responseReceived(*Each); },
        .OnBodyPart =
            [this](const attempt_pointer &Each) { bodyPartReceived(*Each); },
        .OnFailure =
            [this](const attempt_pointer &Each, attempt_outcome Outcome) {
              attemptFailed(*Each, Outcome);
            },
        .OnIdle =
            [this](const std::shared_ptr<server_connection> &Each) {
              addIdle(Each);
            },
        .OnClosed =
            [this](const std::shared_ptr<server_connection> &Each) {
              removeIdle(Each);
            }};
  }

  // One posted handler processes all commands that arrive until it runs.
  void postCommandProcessing() {
    if (!IsProcessingPosted.exchange(true))
      asio::post(Context, [this] {
        IsProcessingPosted = false;
        while (auto Command = Commands.tryPop())
          std::visit([this](auto &Each) { on(Each); }, *Command);
      });
  }

  void listen() {
    asio::error_code Code;
    const auto Address = asio::ip::make_address(Options.Address, Code);
    if (!Code)
      Acceptor.open(tcp::v4(), Code);
    if (!Code)
      Acceptor.set_option(tcp::acceptor::reuse_address(true), Code);
    if (!Code)
      Acceptor.bind({Address, Options.Port}, Code);
    if (!Code)
      Acceptor.listen(ListenBacklog, Code);
    if (Code)
      throw listen_error(Options.Address, Options.Port, Code.message());
    Port = Acceptor.local_endpoint().port();
    accept();
    scheduleTimeoutCheck();
  }

  void accept() {
    Acceptor.async_accept([this](asio::error_code Code, tcp::socket Socket) {
      if (!Acceptor.is_open())
        return;
      if (Code) {
        AcceptTimer.expires_after(AcceptRetryDelay);
        AcceptTimer.async_wait([this](asio::error_code Cancelled) {
          if (!Cancelled)
            accept();
        });
        return;
      }
      const auto Connection = std::make_shared<caller_connection>(
          std::move(Socket), CallerOptions, CallerHooks, ReadBuffer);
      Callers.insert(Connection);
      CallerCount = Callers.size();
      ++Counters.CallerConnections;
      Connection->start();
      if (IsClosingIdle)
        Connection->closeAfterNextResponse();
      accept();
    });
  }

  void scheduleTimeoutCheck() {
    TimeoutTimer.expires_after(TimeoutCheckInterval);
    TimeoutTimer.async_wait([this](asio::error_code Cancelled) {
      if (Cancelled)
        return;
      const time_point Now = Clock.now();
      // Copied because a time-out removes the connection from the set.
      const std::vector<std::shared_ptr<caller_connection>> Each(
          Callers.begin(), Callers.end());
      for (const auto &Connection : Each)
        Connection->checkTimeouts(Now);
      scheduleTimeoutCheck();
    });
  }

  void dispatchRequest(const exchange_pointer &Exchange) {
    ++Counters.Requests;
    const http1_head &Head = Exchange->Head;
    const std::string Host = Head.Headers.find("Host").value_or("");
    request_arrived Event{
        .Request = Exchange->Number,
        .Label = request_label(
            Head.Headers.find(Options.Headers.RequestLabel).value_or("")),
        .VirtualHost = std::string(withoutPort(Host)),
        .Path = Head.Target.substr(0, Head.Target.find('?')),
        .CallerTimeout = callerTimeout(Head),
        .IsReplayable = !Exchange->IsStreamed,
        .Key = readPresentedKey(Head.Headers)};
    Open.emplace(Exchange->Number,
                 open_request{.Exchange = Exchange, .Attempts = {}});
    if (!Decide->tryPush(std::move(Event)))
      on(refuse_request{.Request = Exchange->Number,
                        .Reason = refusal_reason::Overloaded,
                        .RetryAfter = std::chrono::seconds(1)});
  }

  std::optional<duration> callerTimeout(const http1_head &Head) const {
    const auto Field = Head.Headers.find(Options.Headers.Deadline);
    if (!Field)
      return std::nullopt;
    std::int64_t Milliseconds = 0;
    const auto [End, Error] = std::from_chars(
        Field->data(), Field->data() + Field->size(), Milliseconds);
    if (Error != std::errc() || Milliseconds < 0)
      return std::nullopt;
    return std::chrono::milliseconds(Milliseconds);
  }

  void bodyRead(caller_exchange &Exchange) {
    const auto Found = Open.find(Exchange.Number);
    if (Found == Open.end())
      return;
    for (const attempt_pointer &Each : Found->second.Attempts)
      if (Each->Connection)
        Each->Connection->sendBody();
  }

  void callerDisconnected(caller_exchange &Exchange) {
    const auto Found = Open.find(Exchange.Number);
    if (Found == Open.end())
      return;
    ++Counters.CallersDisconnected;
    dropAttempts(Found->second);
    Open.erase(Found);
    Decide->push(caller_left{.Request = Exchange.Number});
  }

  static void dropAttempts(open_request &Request) {
    for (const attempt_pointer &Each : Request.Attempts)
      if (const auto Connection = std::exchange(Each->Connection, nullptr))
        Connection->close();
    Request.Attempts.clear();
  }

  attempt_pointer find(request_number Request, attempt_number Number) {
    const auto Found = Open.find(Request);
    if (Found == Open.end())
      return nullptr;
    for (const attempt_pointer &Each : Found->second.Attempts)
      if (Each->Number == Number)
        return Each;
    return nullptr;
  }

  void on(start_attempt &Command) {
    const auto Found = Open.find(Command.Request);
    if (Found == Open.end())
      return;
    auto Attempt = std::make_shared<server_attempt>();
    Attempt->Request = Command.Request;
    Attempt->Number = Command.Attempt;
    Attempt->Server = Command.Server;
    Attempt->Address = Command.Address;
    Attempt->Deadline = Clock.now() + Command.TimeLeft;
    Attempt->Customer = Command.Customer;
    Attempt->Exchange = Found->second.Exchange;
    Found->second.Attempts.push_back(Attempt);
    if (auto Connection = takeIdle(Command.Server)) {
      Attempt->Connection = Connection;
      return Connection->send(Attempt);
    }
    ++Counters.ServerConnections;
    const auto Connection = std::make_shared<server_connection>(
        Context, Command.Server, ServerOptions, ServerHooks, ReadBuffer);
    Attempt->Connection = Connection;
    Connection->open(Attempt);
  }

  std::shared_ptr<server_connection> takeIdle(const backend_server_id &Server) {
    const auto Found = Idle.find(Server);
    if (Found == Idle.end())
      return nullptr;
    const time_point Now = Clock.now();
    while (!Found->second.empty()) {
      // The most recently used connection is taken first; close() removes the
      // connection from the list.
      auto Connection = Found->second.back();
      if (Connection->isReusable(Now)) {
        Found->second.pop_back();
        return Connection;
      }
      Connection->close();
    }
    return nullptr;
  }

  void addIdle(const std::shared_ptr<server_connection> &Connection) {
    auto &List = Idle[Connection->server()];
    List.push_back(Connection);
    if (List.size() > MaxIdlePerServer) {
      const auto Oldest = List.front();
      Oldest->close();
    }
  }

  void removeIdle(const std::shared_ptr<server_connection> &Connection) {
    const auto Found = Idle.find(Connection->server());
    if (Found != Idle.end())
      std::erase(Found->second, Connection);
  }

  void responseReceived(server_attempt &Attempt) {
    Decide->push(attempt_ended{.Request = Attempt.Request,
                               .Attempt = Attempt.Number,
                               .Outcome = attempt_outcome::Answered,
                               .Status = Attempt.Head.Status,
                               .IsComplete = Attempt.IsComplete,
                               .Statement = Attempt.Statement});
  }

  void attemptFailed(server_attempt &Attempt, attempt_outcome Outcome) {
    Attempt.IsBroken = true;
    if (!Attempt.IsReported) {
      Decide->push(attempt_ended{.Request = Attempt.Request,
                                 .Attempt = Attempt.Number,
                                 .Outcome = Outcome,
                                 .Status = 0,
                                 .Statement = Attempt.Statement});
      return;
    }
    Decide->push(relay_ended{.Request = Attempt.Request,
                             .Attempt = Attempt.Number,
                             .IsComplete = false});
    if (Attempt.IsRelaying)
      abort(Attempt);
  }

  // Resets the caller's connection, so that the caller can detect that the
  // response is incomplete.
  void abort(server_attempt &Attempt) {
    ++Counters.Aborted;
    const exchange_pointer Exchange = Attempt.Exchange;
    logEvent(log_event::TransferAborted, {{"request", labelOf(*Exchange)},
                                          {"server", Attempt.Server.value()}});
    Open.erase(Attempt.Request);
    if (const auto Caller = Exchange->Connection.lock())
      Caller->abort();
  }

  std::string labelOf(const caller_exchange &Exchange) const {
    return Exchange.Head.Headers.find(Options.Headers.RequestLabel)
        .value_or("");
  }

  void on(cancel_attempt &Command) {
    const attempt_pointer Attempt = find(Command.Request, Command.Attempt);
    if (!Attempt)
      return;
    std::erase(Open.at(Command.Request).Attempts, Attempt);
    if (const auto Connection = std::exchange(Attempt->Connection, nullptr))
      Connection->close();
  }

  void on(relay_answer &Command) {
    const attempt_pointer Attempt = find(Command.Request, Command.Attempt);
    if (!Attempt)
      return;
    if (Attempt->IsBroken && !Attempt->IsComplete)
      // The response broke off before any byte was relayed.
      return on(refuse_request{.Request = Command.Request,
                               .Reason = refusal_reason::Unknown,
                               .RetryAfter = std::nullopt});
    ++Counters.Relayed;
    caller_exchange &Exchange = *Attempt->Exchange;
    Attempt->IsRelaying = true;
    Exchange.IsResponseStarted = true;
    closeIfBodyIsUnread(Exchange);
    Attempt->Framing =
        selectFraming(Exchange, Attempt->Head, Attempt->IsComplete);
    if (Attempt->Framing == body_framing::Close)
      Exchange.ClosesConnection = true;
    std::optional<std::size_t> Size;
    if (Attempt->IsComplete)
      Size = Attempt->Body.size();
    Exchange.Output +=
        encodeResponseHead(Exchange, Attempt->Head, Size, Attempt->Framing);
    const bool WasReportedWhole =
        Attempt->IsComplete && !Attempt->IsReportedIncomplete;
    relayBody(*Attempt);
    if (Attempt->IsComplete && !WasReportedWhole)
      Decide->push(relay_ended{.Request = Command.Request,
                               .Attempt = Command.Attempt,
                               .IsComplete = true});
  }

  void relayBody(server_attempt &Attempt) {
    const exchange_pointer Exchange = Attempt.Exchange;
    std::string Part = std::exchange(Attempt.Body, {});
    if (Attempt.Framing == body_framing::Chunked)
      Exchange->Output +=
          encodeBodyPart({}, std::move(Part), Attempt.IsComplete);
    else if (Attempt.Framing != body_framing::None)
      Exchange->Output += Part;
    Exchange->IsResponseComplete = Attempt.IsComplete;
    const auto Caller = Exchange->Connection.lock();
    if (Attempt.IsComplete)
      Open.erase(Exchange->Number);
    if (Caller)
      Caller->flush();
  }

  void bodyPartReceived(server_attempt &Attempt) {
    // Bytes that the caller has not accepted stay buffered; reading from the
    // server pauses when the limit is reached.
    if (!Attempt.IsComplete &&
        Attempt.Exchange->Output.size() > Options.BufferLimit.value())
      return;
    const request_number Request = Attempt.Request;
    const bool IsComplete = Attempt.IsComplete;
    relayBody(Attempt);
    if (IsComplete)
      Decide->push(relay_ended{
          .Request = Request, .Attempt = Attempt.Number, .IsComplete = true});
  }

  void outputWritten(caller_exchange &Exchange) {
    const auto Found = Open.find(Exchange.Number);
    if (Found == Open.end())
      return;
    for (const attempt_pointer &Each : Found->second.Attempts) {
      if (!Each->IsRelaying || Each->IsComplete)
        continue;
      const attempt_pointer Kept = Each;
      if (!Kept->Body.empty())
        relayBody(*Kept);
      if (Kept->Connection)
        Kept->Connection->resumeReading();
      return;
    }
  }

  void on(refuse_request Command) {
    const auto Found = Open.find(Command.Request);
    if (Found == Open.end())
      return;
    ++Counters.Refused;
    const exchange_pointer Exchange = Found->second.Exchange;
    dropAttempts(Found->second);
    Open.erase(Found);
    const int Status = statusFor(Command.Reason);
    closeIfBodyIsUnread(*Exchange);
    std::string Answer = "HTTP/1.1 " + std::to_string(Status) + " " +
                         std::string(reasonPhrase(Status)) + "\r\n";
    const std::string Label = labelOf(*Exchange);
    if (!Label.empty())
      Answer += Options.Headers.RequestLabel + ": " + Label + "\r\n";
    if (Command.RetryAfter)
      Answer +=
          "Retry-After: " + Options.Headers.RetryAfter(*Command.RetryAfter) +
          "\r\n";
    if (Command.Reason == refusal_reason::Unauthenticated)
      Answer += "WWW-Authenticate: Bearer\r\n";
    if (Exchange->ClosesConnection)
      Answer += "Connection: close\r\n";
    Exchange->Output += Answer + "Content-Length: 0\r\n\r\n";
    Exchange->IsResponseStarted = true;
    Exchange->IsResponseComplete = true;
    if (const auto Caller = Exchange->Connection.lock())
      Caller->flush();
  }

  static void closeIfBodyIsUnread(caller_exchange &Exchange) {
    if (!Exchange.IsBodyComplete)
      Exchange.ClosesConnection = true;
  }

  void on(limits_changed &Command) { CallerOptions.Limits = Command.Limits; }

  void beginStop() {
    atStopStep(Options.CloseIdleAfter, [this] {
      IsClosingIdle = true;
      closeIdleCallers();
      atStopStep(Options.AcceptUntil - Options.CloseIdleAfter, [this] {
        asio::error_code Ignored;
        Acceptor.close(Ignored);
        IsAccepting = false;
        // The last callers that connected may still send a request; later ones
        // could not be finished.
        atStopStep(Options.CloseUnusedAfter, [this] { closeIdleCallers(); });
      });
    });
  }

  template <typename Action> void atStopStep(duration Delay, Action Step) {
    StopTimer.expires_after(Delay);
    StopTimer.async_wait([Step](asio::error_code Cancelled) {
      if (!Cancelled)
        Step();
    });
  }

  void closeIdleCallers() {
    // Copied because a closed connection leaves the set.
    const std::vector<std::shared_ptr<caller_connection>> Each(Callers.begin(),
                                                               Callers.end());
    for (const auto &Connection : Each)
      Connection->closeWhenIdle();
  }

  runtime_clock &Clock;
  forward_service_options Options;
  asio::io_context Context{1};
  tcp::acceptor Acceptor;
  asio::steady_timer AcceptTimer;
  asio::steady_timer TimeoutTimer;
  asio::steady_timer StopTimer;
  gateway_command_ring Commands;
  std::atomic<bool> IsProcessingPosted = false;
  gateway_event_ring *Decide = nullptr;
  caller_connection_options CallerOptions;
  caller_connection_hooks CallerHooks;
  server_connection_options ServerOptions;
  server_connection_hooks ServerHooks;
  std::array<char, 65'536> ReadBuffer{};
  request_number LastNumber;
  std::unordered_map<request_number, open_request> Open;
  std::unordered_map<backend_server_id,
                     std::vector<std::shared_ptr<server_connection>>>
      Idle;
  std::unordered_set<std::shared_ptr<caller_connection>> Callers;
  forward_counters Counters;
  std::uint16_t Port = 0;
  bool IsClosingIdle = false;
  std::atomic<bool> IsAccepting = true;
  std::atomic<std::size_t> CallerCount = 0;
  std::thread Thread;
};

forward_service::forward_service(runtime_clock &Clock,
                                 forward_service_options Options)
    : service(std::string(ServiceName)),
      Implementation(
          std::make_unique<implementation>(Clock, std::move(Options))) {}

forward_service::~forward_service() { stop(); }

void forward_service::attach(service_registry &Registry) {
  Implementation->Decide =
      &Registry.find<gateway_event_sink>(gateway_event_sink::ServiceName)
           .events();
}

void forward_service::start() {
  Implementation->listen();
  Implementation->Thread =
      std::thread([this] { Implementation->Context.run(); });
}

void forward_service::stop() {
  if (!Implementation->Thread.joinable())
    return;
  Implementation->Context.stop();
  Implementation->Thread.join();
}

gateway_command_ring &forward_service::commands() {
  return Implementation->Commands;
}

const forward_counters &forward_service::counters() const {
  return Implementation->Counters;
}

std::uint16_t forward_service::port() const { return Implementation->Port; }

void forward_service::beginStop() {
  asio::post(Implementation->Context, [this] { Implementation->beginStop(); });
}

bool forward_service::isDrained() const {
  return !Implementation->IsAccepting && Implementation->CallerCount == 0;
}
