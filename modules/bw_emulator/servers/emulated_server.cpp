#include "bw_emulator/servers/emulated_server.h"

#include "bw_core/random/stable_hash.h"

#include <asio/executor_work_guard.hpp>
#include <asio/steady_timer.hpp>

#include <charconv>
#include <thread>

using namespace bw;

namespace {

constexpr std::size_t LargestBody = 4'000'000;

std::size_t bodySize(std::string_view Target) {
  std::size_t Size = 0;
  const std::size_t Place = Target.find("/x/");
  if (Place != Target.npos)
    std::from_chars(Target.data() + Place + 3, Target.data() + Target.size(),
                    Size);
  return std::min(Size, LargestBody);
}

} // namespace

std::string bw::emulatedBody(const request_label &Label,
                             std::string_view Target, std::size_t Size) {
  std::string Result = Label.value() + " " + std::string(Target) + "\n";
  const std::uint64_t Start = stableHash(Result);
  while (Result.size() < Size)
    Result += static_cast<char>('a' + mixHash(Start, Result.size()) % 26);
  return Result;
}

std::string bw::emulatedSignature(const backend_server_id &Server,
                                  const request_label &Label) {
  return Server.value() + "." + Label.value();
}

emulated_server::emulated_server(runtime_clock &Clock,
                                 emulated_server_options GivenOptions)
    : Clock(Clock), Options(std::move(GivenOptions)), Random(Options.Seed),
      Server({.OnRequest = [this](const http_exchange_pointer &Exchange) {
        receive(Exchange);
      }}) {}

emulated_server::~emulated_server() { stop(); }

void emulated_server::start() {
  Server.start();
  TimerThread = std::thread([this] {
    const auto Guard = asio::make_work_guard(Timers);
    Timers.run();
  });
}

void emulated_server::stop() {
  if (!TimerThread.joinable())
    return;
  Timers.stop();
  TimerThread.join();
  Server.stop();
}

void emulated_server::setFaults(emulated_faults NewFaults) {
  const std::lock_guard Guard(Mutex);
  Faults = NewFaults;
}

emulated_faults emulated_server::faults() const {
  const std::lock_guard Guard(Mutex);
  return Faults;
}

void emulated_server::decline(const http_exchange_pointer &Exchange,
                              int Status) {
  http_headers Headers{{Options.Headers.NotExecuted, "1"}};
  Headers.add(Options.Headers.RequestLabel,
              Exchange->request()
                  .Headers.find(Options.Headers.RequestLabel)
                  .value_or(""));
  Exchange->respond({.Status = Status, .Headers = Headers, .Body = {}});
}

void emulated_server::receive(const http_exchange_pointer &Exchange) {
  const http_request &Request = Exchange->request();
  const request_label Label(
      Request.Headers.find(Options.Headers.RequestLabel).value_or(""));
  server_arrival Arrival{.Server = Options.Server,
                         .Service = Options.Service,
                         .Label = Label,
                         .Method = Request.Method,
                         .Target = Request.Path,
                         .Headers = Request.Headers,
                         .Body = Request.Body,
                         .At = Clock.now()};
  const auto Expected = Request.Headers.find(Options.Headers.ExpectedServer);
  if (Expected && *Expected != Options.Server.value()) {
    constexpr int Misdirected = 421;
    return decline(Exchange, Misdirected);
  }
  const emulated_faults Now = faults();
  constexpr int Unavailable = 503;
  Arrival.IsDeclined =
      Random.chance(Now.DeclineShare) || Queue.size() >= Options.QueueLength;
  Options.OnArrival(Arrival);
  if (Arrival.IsDeclined)
    return decline(Exchange, Unavailable);
  waiting_request Waiting{.Exchange = Exchange,
                          .Label = Label,
                          .IsClosed = std::make_shared<bool>(false)};
  Exchange->setOnClosed([IsClosed = Waiting.IsClosed] { *IsClosed = true; });
  if (Busy < Options.Slots.value())
    run(std::move(Waiting));
  else
    Queue.push_back(std::move(Waiting));
}

void emulated_server::run(waiting_request Request) {
  ++Busy;
  const emulated_faults Now = faults();
  const double Share = Random.exponential(1) * Now.SlowFactor;
  const auto Work = std::chrono::duration_cast<std::chrono::nanoseconds>(
      Options.Work * Share);
  auto Timer = std::make_shared<asio::steady_timer>(Timers, Work);
  Timer->async_wait([this, Timer, Request = std::move(Request),
                     Now](asio::error_code Cancelled) {
    if (Cancelled)
      return;
    Server.post([this, Request, Now] {
      answer(Request, Now);
      slotFreed();
    });
  });
}

void emulated_server::slotFreed() {
  --Busy;
  while (!Queue.empty() && Busy < Options.Slots.value()) {
    waiting_request Next = std::move(Queue.front());
    Queue.pop_front();
    if (!*Next.IsClosed)
      run(std::move(Next));
  }
}

void emulated_server::answer(const waiting_request &Request,
                             const emulated_faults &Now) {
  const http_request &Asked = Request.Exchange->request();
  if (Random.chance(Now.HangShare))
    return;
  http_headers Headers{{Options.Headers.RequestLabel, Request.Label.value()}};
  Headers.add(Options.Headers.Signature.empty() ? "Bw-Signature"
                                                : Options.Headers.Signature,
              emulatedSignature(Options.Server, Request.Label));
  constexpr int ServerError = 500;
  if (Random.chance(Now.ErrorShare))
    return Request.Exchange->respond(
        {.Status = ServerError, .Headers = Headers, .Body = {}});
  if (Random.chance(Now.EndlessShare))
    return answerEndlessly(Request, std::move(Headers));
  if (Random.chance(Now.MalformedShare)) {
    constexpr int Ok = 200;
    const bool HasStatus = Random.chance(0.5);
    if (HasStatus)
      Headers.add("Not a name", "1");
    return Request.Exchange->respond({.Status = HasStatus ? Ok : 0,
                                      .Headers = std::move(Headers),
                                      .Body = "not the body"});
  }
  std::string Body =
      emulatedBody(Request.Label, Asked.Path, bodySize(Asked.Path));
  if (!Random.chance(Now.TruncateShare))
    return Request.Exchange->respond(
        {.Status = 200, .Headers = Headers, .Body = std::move(Body)});
  Request.Exchange->begin(200, Headers, byte_count(Body.size()));
  Request.Exchange->write(Body.substr(0, Body.size() / 2));
  Request.Exchange->abort();
}

void emulated_server::answerEndlessly(const waiting_request &Request,
                                      http_headers Headers) {
  constexpr int Ok = 200;
  constexpr int Unavailable = 503;
  constexpr std::size_t PartSize = 16'384;
  const bool IsRefusal = Random.chance(0.5);
  if (IsRefusal)
    Headers.add(Options.Headers.NotExecuted, "1");
  const http_exchange_pointer Exchange = Request.Exchange;
  Exchange->setOnWritten([Weak = std::weak_ptr(Exchange)](byte_count) {
    if (const auto Open = Weak.lock())
      Open->write(std::string(PartSize, 'x'));
  });
  // Owns the exchange until its connection closes.
  Exchange->setOnClosed(
      [Exchange, IsClosed = Request.IsClosed] { *IsClosed = true; });
  Exchange->begin(IsRefusal ? Unavailable : Ok, std::move(Headers),
                  std::nullopt);
  Exchange->write(std::string(PartSize, 'x'));
}
