#include "bw_forward/service/forward_service.h"

#include "bw_forward/callers/caller_acceptor.h"
#include "bw_forward/callers/caller_connection.h"
#include "bw_forward/callers/caller_registry.h"
#include "bw_forward/servers/idle_connections.h"
#include "bw_forward/servers/server_connection.h"
#include "bw_forward/service/open_requests.h"
#include "bw_forward/service/paused_connections.h"
#include "bw_forward/service/refusal_encoding.h"
#include "bw_forward/service/request_description.h"
#include "bw_forward/service/response_flow.h"
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
#include <vector>

using namespace bw;
using asio::ip::tcp;

namespace {

// The shortest caller time-out is a few seconds, so an error of up to one
// second is acceptable.
constexpr std::chrono::seconds TimeoutCheckInterval(1);
// Retry time of a request that a budget of this host refuses: other hosts have
// budgets of their own, so the caller may try them soon.
constexpr std::chrono::seconds BudgetRetryAfter(1);

process_budget_options budgetOptions(const forward_service_options &Options) {
  process_budget_options Result = divideLimits(Options.Limits);
  Result.ResponsesPerCaller = Options.BufferLimit;
  Result.OpenRequests =
      request_count(openRequestLimit(Options.CommandCapacity));
  return Result;
}

} // namespace

struct forward_service::implementation {
  implementation(runtime_clock &Clock, forward_service_options GivenOptions)
      : Clock(Clock), Options(std::move(GivenOptions)),
        Budget(budgetOptions(Options)), Callers(Budget), Flow(Budget),
        Acceptor(Context,
                 [this](tcp::socket Socket) { accepted(std::move(Socket)); }),
        TimeoutTimer(Context), StopTimer(Context), Paused(Context),
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
        .ExpectsLongResponse =
            [this](const caller_exchange &Each) {
              return Flow.expectsLong(Each);
            },
        .HeldByAttempts =
            [this](request_number Number) { return Requests.held(Number); },
        .OnDisconnected =
            [this](const exchange_pointer &Each) { callerDisconnected(*Each); },
        .OnOutputWritten =
            [this](const exchange_pointer &Each) { outputWritten(*Each); },
        .OnPaused =
            [this](const std::shared_ptr<caller_connection> &Each) {
              Paused.add(Each);
            },
        .OnOverLimit = [this] { postReset(); },
        .OnLimit =
            [this](close_reason Reason) {
              Counters.ClosedCallers.closed(Reason, this->Clock.now());
            },
        .OnClosed =
            [this](const std::shared_ptr<caller_connection> &Each) {
              Callers.remove(*Each);
              CallerCount = Callers.size();
            }};
    ServerHooks = {
        .Now = [this] { return this->Clock.now(); },
        .BootNow = [this] { return this->Clock.bootNow(); },
        .MayRead =
            [this](const server_attempt &Each) { return Flow.mayRead(Each); },
        .OnReceived =
            [this](const attempt_pointer &Each) { Flow.received(*Each); },
        .OnPaused =
            [this](const std::shared_ptr<server_connection> &Each) {
              Paused.add(Each);
            },
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
              Idle.add(Each);
            },
        .OnClosed =
            [this](const std::shared_ptr<server_connection> &Each) {
              Idle.remove(Each);
              Budget.serverClosed();
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
    Port = Acceptor.listen(Options.Address, Options.Port);
    scheduleTimeoutCheck();
  }

  void accepted(tcp::socket Socket) {
    if (!Callers.makeRoom()) {
      Counters.ClosedCallers.closed(close_reason::NoRoom, Clock.now());
      return;
    }
    const auto Connection = std::make_shared<caller_connection>(
        std::move(Socket), CallerOptions, CallerHooks, Budget, ReadBuffer);
    Callers.add(Connection);
    CallerCount = Callers.size();
    ++Counters.CallerConnections;
    Connection->start();
    if (IsClosingIdle)
      Connection->closeAfterNextResponse();
  }

  void scheduleTimeoutCheck() {
    TimeoutTimer.expires_after(TimeoutCheckInterval);
    TimeoutTimer.async_wait([this](asio::error_code Cancelled) {
      if (Cancelled)
        return;
      Callers.checkTimeouts(Clock.now());
      Counters.publish(Budget.usage());
      scheduleTimeoutCheck();
    });
  }

  // Not at once, because the connection that reports the limit may be the one
  // to reset.
  void postReset() {
    if (std::exchange(IsResetPosted, true))
      return;
    asio::post(Context, [this] {
      IsResetPosted = false;
      Callers.resetOverLimit(Clock.now());
    });
  }

  void dispatchRequest(const exchange_pointer &Exchange) {
    ++Counters.Requests;
    const bool HasRoom = Budget.hasRoomForRequest() &&
                         (Budget.hasRoomForServer() || !Idle.isEmpty());
    Requests.open(Exchange);
    if (HasRoom && Decide->tryPush(describeRequest(*Exchange, Options.Headers,
                                                   Clock.now())))
      return Budget.requestOpened();
    ++Counters.RefusedByBudget;
    refuse(refuse_request{.Request = Exchange->Number,
                          .Reason = refusal_reason::Overloaded,
                          .RetryAfter = BudgetRetryAfter});
  }

  void bodyRead(caller_exchange &Exchange) {
    for (const attempt_pointer &Each : Requests.attempts(Exchange.Number))
      if (Each->Connection)
        Each->Connection->sendBody();
  }

  void callerDisconnected(caller_exchange &Exchange) {
    if (!Requests.find(Exchange.Number))
      return;
    ++Counters.CallersDisconnected;
    Requests.close(Exchange.Number);
    Decide->push(caller_left{.Request = Exchange.Number});
  }

  void on(start_attempt &Command) {
    const exchange_pointer Exchange = Requests.find(Command.Request);
    if (!Exchange)
      return;
    auto Attempt = std::make_shared<server_attempt>();
    Attempt->Request = Command.Request;
    Attempt->Number = Command.Attempt;
    Attempt->Server = Command.Server;
    Attempt->Address = Command.Address;
    Attempt->Deadline = Clock.now() + Command.TimeLeft;
    Attempt->Customer = Command.Customer;
    Attempt->SendBefore = Command.SendBefore;
    Attempt->Exchange = Exchange;
    Requests.add(Attempt);
    if (auto Connection = Idle.take(Command.Server, Clock.now())) {
      Attempt->Connection = Connection;
      return Connection->send(Attempt);
    }
    if (!Budget.hasRoomForServer() && !Idle.closeOldest()) {
      ++Counters.UnconnectedAttempts;
      return attemptFailed(*Attempt, attempt_outcome::NotSent);
    }
    ++Counters.ServerConnections;
    Budget.serverOpened();
    const auto Connection = std::make_shared<server_connection>(
        Context, Command.Server, ServerOptions, ServerHooks, ReadBuffer);
    Attempt->Connection = Connection;
    Connection->open(Attempt);
  }

  void responseReceived(server_attempt &Attempt) {
    Decide->push(attempt_ended{.Request = Attempt.Request,
                               .Attempt = Attempt.Number,
                               .Outcome = attempt_outcome::Answered,
                               .Status = Attempt.Head.Status,
                               .IsComplete = Attempt.IsComplete,
                               .Statement = Attempt.Statement,
                               .Bytes = byte_count(Attempt.ReceivedBytes)});
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
                             .IsComplete = false,
                             .Bytes = byte_count(Attempt.ReceivedBytes)});
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
    Requests.close(Attempt.Request);
    if (const auto Caller = Exchange->Connection.lock())
      Caller->abort();
  }

  std::string labelOf(const caller_exchange &Exchange) const {
    return Exchange.Head.Headers.find(Options.Headers.RequestLabel)
        .value_or("");
  }

  void on(cancel_attempt &Command) {
    Requests.cancel(Command.Request, Command.Attempt);
  }

  // A request counts until its last command: until then, others may come.
  void on(relay_answer &Command) {
    if (Command.IsComplete)
      Budget.requestClosed();
    const attempt_pointer Attempt =
        Requests.find(Command.Request, Command.Attempt);
    if (!Attempt)
      return;
    if (Attempt->IsBroken && !Attempt->IsComplete)
      // The response broke off before any byte was relayed.
      return refuse(refuse_request{.Request = Command.Request,
                                   .Reason = refusal_reason::Unknown,
                                   .RetryAfter = std::nullopt});
    ++Counters.Relayed;
    caller_exchange &Exchange = *Attempt->Exchange;
    Attempt->IsRelaying = true;
    Exchange.IsResponseStarted = true;
    closeIfBodyIsUnread(Exchange);
    Flow.relayBegins(*Attempt);
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
    if (Attempt->IsComplete && !WasReportedWhole)
      reportRelayed(*Attempt);
    relayBody(*Attempt);
  }

  // Comes before the requests that the end of the response lets pass, because
  // it frees the server's slot.
  void reportRelayed(const server_attempt &Attempt) {
    Decide->push(relay_ended{.Request = Attempt.Request,
                             .Attempt = Attempt.Number,
                             .IsComplete = true,
                             .Bytes = byte_count(Attempt.ReceivedBytes)});
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
      Requests.close(Exchange->Number);
    if (Caller)
      Caller->flush();
  }

  void bodyPartReceived(server_attempt &Attempt) {
    // Bytes that the caller has not accepted stay buffered; reading from the
    // server pauses when the limit is reached.
    if (!Attempt.IsComplete &&
        Attempt.Exchange->Output.size() > Options.BufferLimit.value())
      return;
    if (Attempt.IsComplete)
      reportRelayed(Attempt);
    relayBody(Attempt);
  }

  void outputWritten(caller_exchange &Exchange) {
    for (const attempt_pointer &Each : Requests.attempts(Exchange.Number)) {
      if (Each->IsRelaying && !Each->IsComplete && !Each->Body.empty())
        relayBody(*Each);
      if (const auto Connection = Each->Connection)
        Connection->resumeReading();
    }
  }

  void on(refuse_request &Command) {
    Budget.requestClosed();
    refuse(Command);
  }

  void on(end_request &Command) {
    Budget.requestClosed();
    const exchange_pointer Exchange = Requests.find(Command.Request);
    if (!Exchange)
      return;
    ++Counters.Aborted;
    Requests.close(Command.Request);
    if (const auto Caller = Exchange->Connection.lock())
      Caller->abort();
  }

  void refuse(const refuse_request &Command) {
    const exchange_pointer Exchange = Requests.find(Command.Request);
    if (!Exchange)
      return;
    ++Counters.Refused;
    Requests.close(Command.Request);
    closeIfBodyIsUnread(*Exchange);
    Exchange->Output +=
        encodeRefusal(Command, labelOf(*Exchange), Exchange->ClosesConnection,
                      Options.Headers);
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
      Callers.closeWhenIdle();
      atStopStep(Options.AcceptUntil - Options.CloseIdleAfter, [this] {
        Acceptor.close();
        IsAccepting = false;
        // The last callers that connected may still send a request; later ones
        // could not be finished.
        atStopStep(Options.CloseUnusedAfter,
                   [this] { Callers.closeWhenIdle(); });
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

  runtime_clock &Clock;
  forward_service_options Options;
  asio::io_context Context{1};
  process_budget Budget;
  caller_registry Callers;
  open_requests Requests;
  response_flow Flow;
  caller_acceptor Acceptor;
  asio::steady_timer TimeoutTimer;
  asio::steady_timer StopTimer;
  paused_connections Paused;
  gateway_command_ring Commands;
  std::atomic<bool> IsProcessingPosted = false;
  gateway_event_ring *Decide = nullptr;
  caller_connection_options CallerOptions;
  caller_connection_hooks CallerHooks;
  server_connection_options ServerOptions;
  server_connection_hooks ServerHooks;
  std::array<char, 65'536> ReadBuffer{};
  request_number LastNumber;
  idle_connections Idle;
  forward_counters Counters;
  std::uint16_t Port = 0;
  bool IsClosingIdle = false;
  bool IsResetPosted = false;
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
