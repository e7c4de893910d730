#include "bw_gateway_daemon/follow/configuration_follower.h"

#include "bw_kernel/log/log_event.h"
#include "bw_kernel/services/service_registry.h"

using namespace bw;

configuration_follower::configuration_follower(
    runtime_clock &Clock, configuration_follower_options GivenOptions)
    : service(std::string(ServiceName)), Clock(Clock),
      Options(std::move(GivenOptions)), Random(Options.Seed),
      Refusals(Options.OnRefused), Thread(Clock, [this] { return poll(); }) {}

void configuration_follower::attach(service_registry &Registry) {
  State = &Registry.find<platform_state>(platform_state::ServiceName);
}

void configuration_follower::start() { Thread.start(); }

void configuration_follower::stop() {
  Options.Source.Cancel();
  Thread.stop();
}

std::chrono::milliseconds configuration_follower::watchTime() {
  const auto Span = static_cast<std::uint64_t>(
      (Options.MaxWatchTime - Options.MinWatchTime).count());
  return Options.MinWatchTime +
         std::chrono::milliseconds(Random.below(Span + 1));
}

bool configuration_follower::isDelegated() {
  return State->configuration() &&
         State->withHosts([&](host_directory &Hosts, random_source &) {
           return !Hosts.followsConfiguration(Clock.now());
         });
}

duration configuration_follower::poll() {
  if (isDelegated()) {
    // Other hosts report changes in the meantime.
    Watched.reset();
    return Options.IdlePause;
  }
  configuration_watch Result =
      Watched ? Options.Source.WatchConfiguration(*Watched, watchTime())
              : Options.Source.ReadConfiguration();
  const bool WasAvailable = IsAvailable;
  IsAvailable = Result.End != watch_end::Unavailable;
  if (IsAvailable != WasAvailable)
    logEvent(IsAvailable ? log_event::PlatformRestored
                         : log_event::PlatformUnavailable,
             {{"duty", std::string(ServiceName)}});
  switch (Result.End) {
  case watch_end::Changed:
    return changed(Result);
  case watch_end::Unchanged:
    // Before the first configuration is written, the listing still has a
    // revision from which to watch.
    if (!Watched)
      Watched = Result.Revision;
    // The next watch starts at the same revision. The store may omit a change
    // while it discards its history; the next watch then reports the change at
    // once, or that the history is gone.
    return duration::zero();
  case watch_end::HistoryGone:
    Watched.reset();
    return duration::zero();
  case watch_end::Unavailable:
    // The history may be gone when the store is available again.
    Watched.reset();
    return Options.RetryPause;
  }
  return Options.RetryPause;
}

// A refused configuration changes nothing at this host. The next watch starts
// after it, so that it costs no more calls than a valid one.
duration configuration_follower::changed(const configuration_watch &Read) {
  for (const configuration_refusal &Each : Read.Refusals)
    Refusals.report(Each);
  if (Read.Configuration) {
    Refusals.objectRead(Read.Object, Read.ObjectRevision,
                        Read.Configuration->Version);
    State->offerConfiguration(Read.Configuration);
  }
  if (Read.Revision != store_revision()) {
    Watched = Read.Revision;
    return duration::zero();
  }
  // Nothing tells where to continue, and the history contains the unreadable
  // text as long as it lasts. Reads the current object as often as a watch
  // would end.
  Watched.reset();
  return watchTime();
}
