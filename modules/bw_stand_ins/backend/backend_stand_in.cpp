#include "bw_stand_ins/backend/backend_stand_in.h"

#include "bw_http/messages/http_messages.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

using namespace bw;

namespace {

constexpr std::string_view RequestIdHeader = "Bramleywinch-Request-Id";
constexpr std::uint64_t RecordLength = 2048;
constexpr std::size_t PartLength = 65'536;
constexpr double ColdStartFactor = 10;
constexpr const char *Validator = "\"content-1\"";

std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Stop != End)
    return std::nullopt;
  return Value;
}

std::uint64_t contentLength(const std::string &Path) {
  constexpr std::string_view Exports = "/exports/";
  if (!Path.starts_with(Exports))
    return RecordLength;
  return parseNumber(std::string_view(Path).substr(Exports.size()))
      .value_or(RecordLength);
}

// Start of an open range `bytes=N-` that is valid for this content.
std::uint64_t rangeStart(const http_request &Request, std::uint64_t Length) {
  const auto Range = Request.Headers.find("Range");
  const auto Condition = Request.Headers.find("If-Range");
  if (!Range || (Condition && *Condition != Validator))
    return 0;
  constexpr std::string_view Prefix = "bytes=";
  if (!Range->starts_with(Prefix) || Range->back() != '-')
    return 0;
  const auto Start = parseNumber(std::string_view(*Range).substr(
      Prefix.size(), Range->size() - Prefix.size() - 1));
  return Start && *Start < Length ? *Start : 0;
}

std::string contentPart(std::uint64_t Offset, std::size_t Length) {
  std::string Part(Length, '\0');
  for (std::size_t Index = 0; Index < Length; ++Index)
    Part[Index] = contentByte(Offset + Index);
  return Part;
}

} // namespace

char bw::contentByte(std::uint64_t Offset) {
  // A period of 251 does not fit into any power of two, so that a part put at
  // a wrong offset is seen.
  return static_cast<char>('!' + Offset % 251 % 90);
}

backend_stand_in::backend_stand_in(runtime_clock &GivenClock,
                                   backend_stand_in_options GivenOptions)
    : Clock(GivenClock), Options(std::move(GivenOptions)),
      Server({.Address = Options.Address,
              .Port = Options.Port,
              .OnRequest =
                  [this](const http_exchange_pointer &Exchange) {
                    receive(Exchange);
                  }}),
      Queue(GivenClock,
            {.Capacity = Options.Slots.value() + Options.QueueLength}) {}

backend_stand_in::~backend_stand_in() { stop(); }

void backend_stand_in::start() {
  StartedAt = Clock.now();
  Server.start();
  for (std::uint32_t Slot = 0; Slot < Options.Slots.value(); ++Slot)
    Slots.emplace_back([this, Seed = Options.Seed + Slot] { runSlot(Seed); });
}

void backend_stand_in::stop() {
  if (Slots.empty())
    return;
  Queue.close();
  {
    const std::lock_guard Guard(Mutex);
    Stopping = true;
    Stopped.notify_all();
  }
  for (std::thread &Slot : Slots)
    Slot.join();
  Slots.clear();
  Server.stop();
}

void backend_stand_in::receive(const http_exchange_pointer &Exchange) {
  const http_request &Request = Exchange->request();
  if (Request.Path.starts_with("/control/")) {
    handleControl(Exchange);
    return;
  }
  if (Request.Path == "/health") {
    Exchange->respond({.Status = 200, .Headers = {}, .Body = "ok"});
    return;
  }
  auto IsCancelled = std::make_shared<std::atomic<bool>>(false);
  Exchange->setOnClosed([IsCancelled] { *IsCancelled = true; });
  // Counted before the push: a slot may take the item at once.
  const bool IsFull = ++Running > Options.Slots.value() + Options.QueueLength;
  if (Draining || IsFull ||
      !Queue.push({Exchange, Clock.now(), std::move(IsCancelled)})) {
    --Running;
    shed(Exchange);
  }
}

void backend_stand_in::shed(const http_exchange_pointer &Exchange) {
  http_headers Headers = responseHeaders(Exchange->request(), false);
  Headers.add("Not-Run", "true");
  Exchange->respond(
      {.Status = 503, .Headers = std::move(Headers), .Body = "shed"});
}

void backend_stand_in::runSlot(std::uint64_t Seed) {
  random_source Random(Seed);
  while (const auto Item = Queue.pop()) {
    run(*Item, Random);
    --Running;
  }
}

bool backend_stand_in::isPastDeadline(const work_item &Item) const {
  const auto Deadline = Item.Exchange->request().Headers.find("Deadline-Ms");
  if (!Deadline)
    return false;
  const auto Milliseconds = parseNumber(*Deadline);
  return Milliseconds &&
         Clock.now() - Item.Arrived > std::chrono::milliseconds(*Milliseconds);
}

backend_fault backend_stand_in::faultFor(const http_request &Request) {
  const std::lock_guard Guard(Mutex);
  return Request.Path.starts_with(Fault.OnlyPath) ? Fault : backend_fault{};
}

duration backend_stand_in::serviceTime(const backend_fault &Active,
                                       random_source &Random) {
  constexpr double Spread = 0.3;
  double Factor = Active.SlowFactor * std::exp(Spread * Random.normal());
  if (Clock.now() - StartedAt < Options.ColdStart)
    Factor *= ColdStartFactor;
  return std::chrono::duration_cast<duration>(Options.ServiceTime * Factor);
}

// Returns false when the stand-in stops or the request was cancelled.
bool backend_stand_in::waitFor(duration Time, const work_item &Item) {
  std::unique_lock Lock(Mutex);
  Clock.waitUntil(Lock, Stopped, Clock.now() + Time, [&] { return Stopping; });
  return !Stopping && !*Item.IsCancelled;
}

void backend_stand_in::run(const work_item &Item, random_source &Random) {
  const http_request &Request = Item.Exchange->request();
  if (*Item.IsCancelled)
    return;
  if (isPastDeadline(Item)) {
    shed(Item.Exchange);
    return;
  }
  const backend_fault Active = faultFor(Request);
  if (Random.chance(Active.ErrorRatio)) {
    Item.Exchange->respond({.Status = 500,
                            .Headers = responseHeaders(Request, false),
                            .Body = "error"});
    return;
  }
  {
    const std::lock_guard Guard(Mutex);
    Ledger.push_back({Request.Headers.find(RequestIdHeader).value_or(""),
                      Request.Method, Request.Path, Request.Body});
  }
  if (!waitFor(serviceTime(Active, Random), Item))
    return;
  if (Random.chance(Active.StallRatio)) {
    const std::lock_guard Guard(Mutex);
    Stalled.push_back(Item.Exchange);
    return;
  }
  http_headers Headers =
      responseHeaders(Request, Random.chance(Active.WrongIdRatio));
  if (Request.Method == "GET") {
    sendBody(Item, Random.chance(Active.CutRatio), std::move(Headers));
    return;
  }
  Item.Exchange->respond({.Status = 201,
                          .Headers = std::move(Headers),
                          .Body = "recorded " + Request.Body});
}

void backend_stand_in::sendBody(const work_item &Item, bool IsCut,
                                http_headers Headers) {
  const http_request &Request = Item.Exchange->request();
  const std::uint64_t Length = contentLength(Request.Path);
  const std::uint64_t Start = rangeStart(Request, Length);
  Headers.add("ETag", Validator);
  if (Start > 0)
    Headers.add("Content-Range", "bytes " + std::to_string(Start) + "-" +
                                     std::to_string(Length - 1) + "/" +
                                     std::to_string(Length));
  const int Status = Start > 0 ? 206 : 200;
  const std::uint64_t End = IsCut ? Start + (Length - Start) / 2 : Length;
  if (Length - Start <= PartLength && !IsCut) {
    Item.Exchange->respond({.Status = Status,
                            .Headers = std::move(Headers),
                            .Body = contentPart(Start, Length - Start)});
    return;
  }
  auto Space = std::make_shared<bounded_ring<int>>(
      Clock, ring_options{.Capacity = 1024});
  std::weak_ptr<bounded_ring<int>> WeakSpace = Space;
  Item.Exchange->setOnWritten([WeakSpace](byte_count) {
    if (const auto Open = WeakSpace.lock())
      Open->push(0);
  });
  Item.Exchange->begin(Status, std::move(Headers), byte_count(Length - Start));
  constexpr std::uint64_t MaxUnwritten = 4 * PartLength;
  // Bounds the wait for a client that has left without closing.
  constexpr std::chrono::seconds WriteLimit{600};
  for (std::uint64_t Offset = Start; Offset < End; Offset += PartLength) {
    const auto Size = static_cast<std::size_t>(
        std::min<std::uint64_t>(PartLength, End - Offset));
    byte_count Unwritten = Item.Exchange->write(contentPart(Offset, Size));
    while (Unwritten.value() > MaxUnwritten && !*Item.IsCancelled) {
      if (!Space->pop(Clock.now() + WriteLimit))
        return;
      Unwritten = Item.Exchange->write({});
    }
    if (*Item.IsCancelled)
      return;
  }
  if (IsCut)
    Item.Exchange->abort();
  else
    Item.Exchange->finish();
}

http_headers backend_stand_in::responseHeaders(const http_request &Request,
                                               bool IsWrongId) {
  http_headers Headers;
  if (const auto Id = Request.Headers.find(RequestIdHeader))
    Headers.add(std::string(RequestIdHeader), IsWrongId ? "other" : *Id);
  Headers.add("Backend-Server", Options.Name.value());
  if (Draining)
    Headers.add("Draining", "true");
  return Headers;
}

void backend_stand_in::handleControl(const http_exchange_pointer &Exchange) {
  const std::string &Path = Exchange->request().Path;
  if (Path == "/control/ledger") {
    respondLedger(Exchange);
  } else if (Path == "/control/fault") {
    setFault(Exchange);
  } else if (Path == "/control/drain") {
    Draining = true;
    Exchange->respond({.Status = 200, .Headers = {}, .Body = {}});
  } else {
    Exchange->respond({.Status = 404, .Headers = {}, .Body = {}});
  }
}

void backend_stand_in::setFault(const http_exchange_pointer &Exchange) {
  const auto Body =
      nlohmann::json::parse(Exchange->request().Body, nullptr, false);
  if (!Body.is_object()) {
    Exchange->respond({.Status = 400, .Headers = {}, .Body = {}});
    return;
  }
  std::vector<http_exchange_pointer> Released;
  {
    const std::lock_guard Guard(Mutex);
    Fault = {.SlowFactor = Body.value("slow_factor", 1.0),
             .ErrorRatio = Body.value("error_ratio", 0.0),
             .StallRatio = Body.value("stall_ratio", 0.0),
             .CutRatio = Body.value("cut_ratio", 0.0),
             .WrongIdRatio = Body.value("wrong_id_ratio", 0.0),
             .OnlyPath = Body.value("only_path", std::string())};
    // Stalled requests of the previous fault end without a response.
    Released.swap(Stalled);
  }
  Exchange->respond({.Status = 200, .Headers = {}, .Body = {}});
}

void backend_stand_in::respondLedger(const http_exchange_pointer &Exchange) {
  nlohmann::json Entries = nlohmann::json::array();
  {
    const std::lock_guard Guard(Mutex);
    for (const ledger_entry &Entry : Ledger)
      Entries.push_back({{"request_id", Entry.RequestId},
                         {"method", Entry.Method},
                         {"path", Entry.Path},
                         {"body", Entry.Body}});
  }
  Exchange->respond(
      {.Status = 200,
       .Headers = {},
       .Body = nlohmann::json{{"entries", Entries}}.dump(
           -1, ' ', false, nlohmann::json::error_handler_t::replace)});
}
