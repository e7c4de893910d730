#include "bw_gateway_daemon/follow/configuration_follower.h"

#include "bw_kernel/log/log_event.h"
#include "bw_kernel/services/service_registry.h"

#include <algorithm>

using namespace bw;

namespace {

// Wait of a watch that only checks whether the configuration has changed.
constexpr std::chrono::milliseconds VerifyingWatchTime(1);

} // namespace

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
  std::chrono::milliseconds Max = Options.MaxWatchTime;
  std::chrono::milliseconds Min = Options.MinWatchTime;
  if (const auto Limit = State->watchLimit()) {
    Max = std::min(Max, std::chrono::floor<std::chrono::milliseconds>(*Limit));
    Min = std::min(Min, Max * 3 / 4);
  }
  const auto Span = static_cast<std::uint64_t>((Max - Min).count());
  const auto Result = Min + std::chrono::milliseconds(Random.below(Span + 1));
  if (!RereadAt)
    return Result;
  const auto Left =
      std::chrono::ceil<std::chrono::milliseconds>(*RereadAt - Clock.now());
  return std::clamp(Left, VerifyingWatchTime, Result);
}

bool configuration_follower::isFollowing() {
  return !State->configuration() ||
         State->withHosts([&](host_directory &Hosts, random_source &) {
           return Hosts.followsConfiguration(Clock.now());
         });
}

// A call shows which version was the newest when the call was sent: the store
// can omit a change that comes later, which only the next call then shows. A
// configuration that is not valid, or not above the version before, does not
// come into force, so the version before stays the newest valid one. After
// changes of other writers a watch shows less, and only a reading counts.
void configuration_follower::recordProof(const configuration_watch &Result,
                                         bool IsRead, boot_time_point SentAt) {
  if (RereadAt)
    return;
  if (IsRead)
    WatchedVersion.reset();
  if (Result.End == watch_end::Changed && Result.Configuration)
    WatchedVersion = std::max(WatchedVersion.value_or(config_version()),
                              Result.Configuration->Version);
  if (WatchedVersion)
    State->recordProof(*WatchedVersion, SentAt);
}

// A host that verifies its configuration without success, such as an old one
// that it cannot fetch anew, must not call the store without pause.
duration configuration_follower::pauseAfterCall(bool IsFollowing) {
  return IsFollowing || State->untilStoreRead() != duration::zero()
             ? duration::zero()
             : Options.RetryPause;
}

configuration_watch configuration_follower::call(bool IsFollowing) {
  configuration_watch Result =
      Watched ? Options.Source.WatchConfiguration(
                    *Watched, IsFollowing ? watchTime() : VerifyingWatchTime)
              : Options.Source.ReadConfiguration();
  if (Result.End == watch_end::Unavailable)
    return Result;
  if (!State->recordEra(Result.Position.Era))
    return {};
  // A store that has come back from a copy has no record of what was lost, even
  // if its revisions have passed the watched one since. An unreadable response
  // has no revision; the configuration is read anew after it anyway.
  const bool HasRevision = Result.Position.Revision != store_revision();
  if (Watched && HasRevision && !Watched->isContinuedBy(Result.Position))
    return {.End = watch_end::HistoryGone, .Position = Result.Position};
  return Result;
}

duration configuration_follower::poll() {
  const bool IsFollowing = isFollowing();
  if (!IsFollowing) {
    const std::optional<duration> Left = State->untilStoreRead();
    // Other hosts report changes in the meantime.
    if (!Left)
      Watched.reset();
    if (!Left || *Left > duration::zero())
      return std::min(Options.IdlePause, Left.value_or(Options.IdlePause));
  }
  if (RereadAt && Clock.now() >= *RereadAt)
    Watched.reset();
  const bool IsRead = !Watched;
  if (IsRead)
    RereadAt.reset();
  const boot_time_point SentAt = Clock.bootNow();
  const configuration_watch Result = call(IsFollowing);
  const bool WasAvailable = IsAvailable;
  IsAvailable = Result.End != watch_end::Unavailable;
  if (IsAvailable != WasAvailable)
    logEvent(IsAvailable ? log_event::PlatformRestored
                         : log_event::PlatformUnavailable,
             {{"duty", std::string(ServiceName)}});
  switch (Result.End) {
  case watch_end::Changed:
    applyChange(Result);
    // Without a revision the response shows nothing and does not tell where to
    // continue, and the history contains the unreadable text as long as it
    // lasts. Reads the current object as often as a watch would end.
    if (!Watched)
      return watchTime();
    recordProof(Result, IsRead, SentAt);
    return pauseAfterCall(IsFollowing);
  case watch_end::Unchanged:
    // Before the first configuration is written, the listing still has a
    // revision from which to watch.
    if (!Watched)
      Watched = Result.Position;
    if (Result.HasOtherChanges)
      return passOtherChanges(Result, IsRead, SentAt);
    // The next watch starts at the same position. The store may omit a change
    // while it discards its history; the next watch then reports the change at
    // once, or that the history is gone.
    recordProof(Result, IsRead, SentAt);
    return pauseAfterCall(IsFollowing);
  case watch_end::HistoryGone:
    Watched.reset();
    return duration::zero();
  case watch_end::Incomplete:
    return duration::zero();
  case watch_end::Unavailable:
    // The history may be gone when the store is available again.
    Watched.reset();
    return Options.RetryPause;
  }
  return Options.RetryPause;
}

// A watch from before the changes of other writers would return them again at
// once. One from after them may omit a change as described above, so that the
// listing is read soon. The pause bounds the calls, however often others write.
duration
configuration_follower::passOtherChanges(const configuration_watch &Result,
                                         bool IsRead, boot_time_point SentAt) {
  recordProof(Result, IsRead, SentAt);
  Watched = Result.Position;
  if (!RereadAt)
    RereadAt = Clock.now() + Options.MinWatchTime;
  return Options.RetryPause;
}

// A refused configuration changes nothing at this host. The next watch starts
// after it, so that it costs no more calls than a valid one.
void configuration_follower::applyChange(const configuration_watch &Read) {
  for (const configuration_refusal &Each : Read.Refusals)
    Refusals.report(Each);
  if (Read.Configuration) {
    Refusals.objectRead(Read.Object, Read.ObjectPosition,
                        Read.Configuration->Version);
    State->offerConfiguration(Read.Configuration);
  }
  Watched.reset();
  if (Read.Position.Revision != store_revision())
    Watched = Read.Position;
}
