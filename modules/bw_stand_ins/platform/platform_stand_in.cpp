#include "bw_stand_ins/platform/platform_stand_in.h"

#include "bw_core/random/stable_hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <vector>

using namespace bw;

namespace {

constexpr std::size_t MaxListLength = 1000;

std::vector<std::string> splitPath(const std::string &Path) {
  std::vector<std::string> Parts;
  std::size_t Start = 1;
  while (Start <= Path.size()) {
    const std::size_t End = std::min(Path.find('/', Start), Path.size());
    Parts.push_back(Path.substr(Start, End - Start));
    Start = End + 1;
  }
  return Parts;
}

std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Stop != End)
    return std::nullopt;
  return Value;
}

std::uint64_t numberParameter(const http_request &Request,
                              std::string_view Name, std::uint64_t Default) {
  const auto Text = Request.queryParameter(Name);
  return Text ? parseNumber(*Text).value_or(Default) : Default;
}

std::string quoteVersion(object_version Version) {
  return "\"" + std::to_string(Version.value()) + "\"";
}

struct write_condition {
  bool IsValid = true;
  std::optional<object_version> Expected;
};

write_condition readCondition(const http_request &Request) {
  if (const auto None = Request.Headers.find("If-None-Match"))
    return {*None == "*", object_version()};
  const auto Match = Request.Headers.find("If-Match");
  if (!Match)
    return {};
  if (Match->size() < 3 || Match->front() != '"' || Match->back() != '"')
    return {false, std::nullopt};
  const auto Version =
      parseNumber(std::string_view(*Match).substr(1, Match->size() - 2));
  if (!Version)
    return {false, std::nullopt};
  return {true, object_version(*Version)};
}

} // namespace

platform_stand_in::platform_stand_in(runtime_clock &GivenClock,
                                     platform_stand_in_options GivenOptions)
    : Clock(GivenClock), Options(std::move(GivenOptions)),
      Server({.Address = Options.Address,
              .Port = Options.Port,
              .MaxBody = Options.MaxValue + mebibytes(1),
              .OnRequest = [this](const http_exchange_pointer &Exchange) {
                receive(Exchange);
              }}) {}

platform_stand_in::~platform_stand_in() { stop(); }

void platform_stand_in::start() {
  HostLists.push_back({Clock.now(), R"({"hosts":[]})"});
  Server.start();
  TimerThread = std::thread([this] { runTimers(); });
}

void platform_stand_in::stop() {
  if (!TimerThread.joinable())
    return;
  {
    const std::lock_guard Guard(Mutex);
    Stopping = true;
    Changed.notify_all();
  }
  TimerThread.join();
  Server.stop();
}

void platform_stand_in::respond(const http_exchange_pointer &Exchange,
                                http_response Response) const {
  Response.Headers.add("Store-Era", std::to_string(Era.value()));
  Exchange->respond(std::move(Response));
}

void platform_stand_in::respondObject(const http_exchange_pointer &Exchange,
                                      const stored_object &Object) const {
  http_response Response{.Status = 200, .Headers = {}, .Body = Object.Value};
  Response.Headers.add("ETag", quoteVersion(Object.Version));
  respond(Exchange, std::move(Response));
}

void platform_stand_in::respondStatus(const http_exchange_pointer &Exchange,
                                      int Status, std::string Body) const {
  respond(Exchange, {.Status = Status, .Headers = {}, .Body = std::move(Body)});
}

// Watches go on: what they wait for may come in the new era, or not at all.
void platform_stand_in::restoreCopy() {
  Objects = Copy;
  Era = Era.next();
}

void platform_stand_in::receive(const http_exchange_pointer &Exchange) {
  const std::lock_guard Guard(Mutex);
  if (Exchange->request().Path.starts_with("/control/")) {
    handleControl(Exchange);
    return;
  }
  if (Faults.Away) {
    // An outage as callers see it: the connection stays silent.
    Unanswered.push_back(Exchange);
    return;
  }
  if (Faults.Delay.count() > 0) {
    Delayed.push_back({Exchange, Clock.now() + Faults.Delay});
    Changed.notify_all();
    return;
  }
  handle(Exchange);
}

void platform_stand_in::handle(const http_exchange_pointer &Exchange) {
  const http_request &Request = Exchange->request();
  const std::vector<std::string> Parts = splitPath(Request.Path);
  const bool IsVersionOne = Parts.size() >= 2 && Parts[0] == "v1";
  if (IsVersionOne && Parts.size() == 2 && Parts[1] == "hosts")
    respondHosts(Exchange);
  else if (IsVersionOne && Parts.size() == 4 && Parts[1] == "objects")
    handleObject(Exchange, Parts[2], Parts[3]);
  else if (IsVersionOne && Parts.size() == 3 && Parts[1] == "objects")
    handleList(Exchange, Parts[2]);
  else if (IsVersionOne && Parts.size() == 4 && Parts[1] == "watch")
    handleWatch(Exchange, Parts[2], Parts[3]);
  else
    respondStatus(Exchange, 404);
}

void platform_stand_in::handleObject(const http_exchange_pointer &Exchange,
                                     const std::string &Kind,
                                     const std::string &Name) {
  if (Exchange->request().Method != "GET") {
    handleWrite(Exchange, Kind, Name);
    return;
  }
  ++Reads;
  if (const auto Object = Objects.get(Kind, Name))
    respondObject(Exchange, *Object);
  else
    respondStatus(Exchange, 404);
}

void platform_stand_in::handleWrite(const http_exchange_pointer &Exchange,
                                    const std::string &Kind,
                                    const std::string &Name) {
  ++Writes;
  const http_request &Request = Exchange->request();
  const write_condition Condition = readCondition(Request);
  if (!Condition.IsValid) {
    respondStatus(Exchange, 400);
    return;
  }
  if (Request.Body.size() > Options.MaxValue.value()) {
    respondStatus(Exchange, 413);
    return;
  }
  object_table::write_result Result{};
  if (Request.Method == "PUT") {
    Result = Objects.put(Kind, Name, Request.Body, Condition.Expected);
  } else if (Request.Method == "DELETE") {
    Result = Objects.remove(Kind, Name, Condition.Expected);
  } else {
    respondStatus(Exchange, 405);
    return;
  }
  if (Result.Outcome == store_outcome::Stored)
    notifyWatches(Kind, Name);
  if (Faults.LoseResponses > 0) {
    --Faults.LoseResponses;
    Exchange->begin(200, {}, byte_count(1));
    Exchange->abort();
    return;
  }
  http_response Response;
  Response.Status = Result.Outcome == store_outcome::Stored     ? 200
                    : Result.Outcome == store_outcome::Conflict ? 412
                                                                : 404;
  Response.Headers.add("ETag", quoteVersion(Result.Version));
  respond(Exchange, std::move(Response));
}

void platform_stand_in::handleList(const http_exchange_pointer &Exchange,
                                   const std::string &Kind) {
  ++Reads;
  const http_request &Request = Exchange->request();
  const std::size_t Limit = std::min<std::size_t>(
      numberParameter(Request, "limit", MaxListLength), MaxListLength);
  const std::string After = Request.queryParameter("after").value_or("");
  nlohmann::json Items = nlohmann::json::array();
  for (const auto &[Name, Version] : Objects.list(Kind, After, Limit))
    Items.push_back({{"name", Name}, {"version", Version.value()}});
  respondStatus(Exchange, 200, nlohmann::json{{"items", Items}}.dump());
}

void platform_stand_in::handleWatch(const http_exchange_pointer &Exchange,
                                    const std::string &Kind,
                                    const std::string &Name) {
  ++WatchCalls;
  const http_request &Request = Exchange->request();
  const object_version After(numberParameter(Request, "after", 0));
  const std::chrono::milliseconds Timeout(
      numberParameter(Request, "timeout_ms", 30'000));
  const auto Object = Objects.get(Kind, Name);
  if (Object && Object->Version > After) {
    respondObject(Exchange, *Object);
    return;
  }
  Watches.push_back({Exchange, Kind, Name, After, Clock.now() + Timeout});
  Changed.notify_all();
}

void platform_stand_in::notifyWatches(const std::string &Kind,
                                      const std::string &Name) {
  const auto Object = Objects.get(Kind, Name);
  if (!Object)
    return;
  for (auto Watch = Watches.begin(); Watch != Watches.end();) {
    const bool IsMeant = Watch->Kind == Kind && Watch->Name == Name &&
                         Object->Version > Watch->After;
    if (IsMeant)
      respondObject(Watch->Exchange, *Object);
    Watch = IsMeant ? Watches.erase(Watch) : std::next(Watch);
  }
}

void platform_stand_in::respondHosts(const http_exchange_pointer &Exchange) {
  ++HostListCalls;
  const time_point Seen = Clock.now() - Options.HostListLag;
  // The newest list that is old enough; earlier ones are never seen again.
  while (HostLists.size() > 1 && std::next(HostLists.begin())->Since <= Seen)
    HostLists.pop_front();
  const std::string &Json = HostLists.front().Json;
  const std::string Tag = "\"" + std::to_string(stableHash(Json)) + "\"";
  const bool IsKnown = Exchange->request().Headers.find("If-None-Match") == Tag;
  respond(Exchange, {.Status = IsKnown ? 304 : 200,
                     .Headers = {{"ETag", Tag}},
                     .Body = IsKnown ? std::string() : Json});
}

void platform_stand_in::handleControl(const http_exchange_pointer &Exchange) {
  const http_request &Request = Exchange->request();
  if (Request.Path == "/control/counters") {
    const nlohmann::json Counters = {{"reads", Reads},
                                     {"writes", Writes},
                                     {"watches", WatchCalls},
                                     {"host_lists", HostListCalls},
                                     {"waiting_watches", Watches.size()}};
    respondStatus(Exchange, 200, Counters.dump());
    return;
  }
  if (Request.Path == "/control/copy" || Request.Path == "/control/restore") {
    if (Request.Path == "/control/copy")
      Copy = Objects;
    else
      restoreCopy();
    respondStatus(Exchange, 200);
    return;
  }
  const auto Body = nlohmann::json::parse(Request.Body, nullptr, false);
  if (!Body.is_object()) {
    respondStatus(Exchange, 400);
    return;
  }
  if (Request.Path == "/control/hosts") {
    HostLists.push_back({Clock.now(), Body.dump()});
    respondStatus(Exchange, 200);
    return;
  }
  if (Request.Path != "/control/faults") {
    respondStatus(Exchange, 404);
    return;
  }
  Faults.Away = Body.value("away", false);
  Faults.LoseResponses = Body.value("lose_responses", std::uint64_t(0));
  Faults.Delay =
      std::chrono::milliseconds(Body.value("delay_ms", std::int64_t(0)));
  // After an outage the silent connections end without a response.
  if (!Faults.Away)
    for (const auto &Silent : Unanswered) {
      Silent->begin(503, {}, byte_count(1));
      Silent->abort();
    }
  if (!Faults.Away)
    Unanswered.clear();
  respondStatus(Exchange, 200);
}

time_point platform_stand_in::nextDue() const {
  time_point Next = time_point::max();
  for (const waiting_watch &Watch : Watches)
    Next = std::min(Next, Watch.Deadline);
  for (const delayed_request &Request : Delayed)
    Next = std::min(Next, Request.Due);
  return Next;
}

void platform_stand_in::runTimers() {
  std::unique_lock Lock(Mutex);
  while (!Stopping) {
    const time_point Due = nextDue();
    Clock.waitUntil(Lock, Changed, Due,
                    [&] { return Stopping || nextDue() < Due; });
    const time_point Now = Clock.now();
    for (auto Watch = Watches.begin(); Watch != Watches.end();) {
      const bool IsDue = Watch->Deadline <= Now;
      if (IsDue)
        respondStatus(Watch->Exchange, 204);
      Watch = IsDue ? Watches.erase(Watch) : std::next(Watch);
    }
    while (!Delayed.empty() && Delayed.front().Due <= Now) {
      const http_exchange_pointer Exchange = Delayed.front().Exchange;
      Delayed.pop_front();
      handle(Exchange);
    }
  }
}
