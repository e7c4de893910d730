#include "bw_daemon/platform/watch_service.h"

#include "bw_daemon/decide/decide_service.h"
#include "bw_kernel/log/log_event.h"
#include "bw_kernel/services/service_registry.h"
#include "bw_schema/parse/bounded_parse.h"

using namespace bw;

namespace {

const object_key HeadKey{"configuration", "head"};

// Short enough that the host list is read in between and a stop is not held
// up; a waiting watch counts as one call whatever its length.
constexpr std::chrono::milliseconds WatchTime{1'000};

// An unchanged list is handed on this often, since the age of what it shows
// decides when a restarted backend server is trusted.
constexpr std::chrono::seconds RepeatInterval{10};

} // namespace

watch_service::watch_service(runtime_clock &Clock,
                             watch_service_options GivenOptions)
    : service(std::string(ServiceName)), Clock(Clock),
      Options(std::move(GivenOptions)),
      Client({.Url = Options.Url,
              .Timeout = Options.Timeout,
              .OnRestore = [this](store_era Before, store_era Now) {
                logRestore(Before, Now);
              }}) {}

void watch_service::attach(service_registry &Registry) {
  Decide = &Registry.find<decide_service>(decide_service::ServiceName).events();
}

void watch_service::start() {
  Thread = std::thread([this] { run(); });
}

void watch_service::stop() {
  {
    const std::lock_guard Guard(Mutex);
    Stopping = true;
    Stopped.notify_all();
  }
  if (Thread.joinable())
    Thread.join();
}

void watch_service::run() {
  while (true) {
    const time_point NextRound = Clock.now() + Options.HostListInterval;
    readHosts();
    if (IsWatcher)
      watchHead();
    std::unique_lock Lock(Mutex);
    if (Clock.waitUntil(Lock, Stopped, NextRound, [this] { return Stopping; }))
      return;
  }
}

void watch_service::readHosts() {
  try {
    auto Answer = Client.hostsSince(HostListTag);
    const time_point Now = Clock.now();
    if (!Answer || (Answer->IsUnchanged && Now < NextHostList))
      return;
    if (!Answer->IsUnchanged) {
      HostListTag = std::move(Answer->Tag);
      Hosts = std::move(Answer->Hosts);
      for (const std::string &Reason : Answer->Malformed)
        logEvent(log_event::InputMalformed, {{"reason", Reason}});
    }
    NextHostList = Now + RepeatInterval;
    Decide->push(hosts_loaded{Hosts});
  } catch (const error &Failure) {
    logEvent(log_event::InputMalformed, {{"reason", Failure.what()}});
  }
}

void watch_service::watchHead() {
  const watch_answer Answer = Client.watch(HeadKey, SeenHead, WatchTime);
  // The next watch returns the head at once.
  if (Answer.Outcome == watch_outcome::Restored)
    SeenHead = {};
  if (Answer.Outcome != watch_outcome::Changed)
    return;
  schema::configuration_head Head;
  if (!parseBounded(Answer.Object.Value, Head)) {
    logEvent(log_event::ConfigurationRefused, {{"reason", "head malformed"}});
    return;
  }
  SeenHead = Answer.Object.Position;
  Decide->push(head_seen{config_version(Head.version())});
}

void watch_service::logRestore(store_era Before, store_era Now) const {
  logEvent(log_event::StoreEraChanged,
           {{"era", std::to_string(Now.value())},
            {"era_before", std::to_string(Before.value())},
            {"head_era", std::to_string(SeenHead.Era.value())},
            {"head_version", std::to_string(SeenHead.Version.value())}});
}
