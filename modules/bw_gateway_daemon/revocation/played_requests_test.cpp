// The part of the played fleet that serves requests.

#include "bw_gateway_daemon/revocation/played_host_test.h"

#include <cppunit/TestAssert.h>

using namespace bw;
using namespace std::chrono_literals;

// Plays the decide service.
void revocation_fleet::drive(std::size_t Index) {
  host &Host = *Hosts[Index];
  gateway_engine::commands Out;
  const time_point HostNow = Host.Clock.now();
  const duration Ahead =
      Host.Clock.bootNow().time_since_epoch() - HostNow.time_since_epoch();
  if (Ahead > Host.Suspended) {
    Host.Suspended = Ahead;
    Host.Engine->handle(time_suspended{.Total = Ahead}, HostNow, Out);
  }
  while (auto Event = Host.Sink->events().tryPop())
    Host.Engine->handle(*Event, HostNow, Out);
  for (pending_write &Each : std::exchange(Host.Declines, {})) {
    if (Each.DueAt > Now)
      Host.Declines.push_back(std::move(Each));
    else
      Host.Engine->handle(
          attempt_ended{.Request = Each.Attempt.Request,
                        .Attempt = Each.Attempt.Attempt,
                        .Outcome = attempt_outcome::NotExecuted,
                        .Statement = server_statement{.RequestLimit = 1000}},
          HostNow, Out);
  }
  Host.Engine->tick(HostNow, Out);
  obey(Index, Out);
}

// One request with a key, which may be withdrawn, and one public one now and
// then.
void revocation_fleet::arrive(std::size_t Index) {
  constexpr double RequestChance = 0.1;
  host &Host = *Hosts[Index];
  if (!Random.chance(RequestChance))
    return;
  gateway_engine::commands Out;
  for (const char *Path : {"/own/1", "/open/1"}) {
    Host.LastRequest = Host.LastRequest.next();
    const std::string Key =
        "key-" + std::to_string(10'001 + Random.below(LastKey));
    Host.KeyOf[Host.LastRequest] = Key;
    Host.Engine->handle(
        request_arrived{.Request = Host.LastRequest,
                        .VirtualHost = "one.example",
                        .Path = Path,
                        .Key = {.Presence = key_presence::Present,
                                .Digest = key_digest::of(Key)}},
        Host.Clock.now(), Out);
  }
  obey(Index, Out);
}

void revocation_fleet::obey(std::size_t Index,
                            const gateway_engine::commands &Commands) {
  constexpr double ConnectChance = 0.1;
  host &Host = *Hosts[Index];
  for (const gateway_command &Each : Commands) {
    if (const auto *Start = std::get_if<start_attempt>(&Each)) {
      // Some requests wait for a connect.
      const duration Delay =
          Random.chance(ConnectChance)
              ? std::chrono::duration_cast<duration>(250ms * Random.unit())
              : duration::zero();
      const pending_write Write{.DueAt = Now + Delay, .Attempt = *Start};
      if (Delay == duration::zero())
        write(Index, Write);
      else
        Host.Writes.push_back(Write);
    } else if (const auto *Refusal = std::get_if<refuse_request>(&Each)) {
      if (Refusal->Reason == refusal_reason::ConfigurationStale)
        ++Counts.Stale;
      if (Refusal->Reason == refusal_reason::Unauthenticated)
        ++Counts.Unauthenticated;
    }
  }
}

// Plays the connection to a server; a few requests are declined after a while.
void revocation_fleet::write(std::size_t Index, const pending_write &Write) {
  constexpr double DeclineChance = 0.05;
  host &Host = *Hosts[Index];
  const start_attempt &Attempt = Write.Attempt;
  gateway_event_ring &Events = Host.Sink->events();
  if (Attempt.SendBefore && Host.Clock.bootNow() >= *Attempt.SendBefore) {
    ++Counts.Expired;
    Events.push(attempt_ended{.Request = Attempt.Request,
                              .Attempt = Attempt.Attempt,
                              .Outcome = attempt_outcome::Expired});
    return;
  }
  // Every second request is on a public route.
  const bool IsPublic = Attempt.Request.value() % 2 == 0;
  if (Attempt.Customer->Name == customer_id()) {
    CPPUNIT_ASSERT_MESSAGE("sent for no customer", IsPublic);
    ++PublicRequests;
  } else {
    ++Counts.Sent;
    checkSent(Host.KeyOf.at(Attempt.Request), Attempt.Customer->Name);
  }
  if (Random.chance(DeclineChance)) {
    const auto After = std::chrono::duration_cast<duration>(4s * Random.unit());
    Host.Declines.push_back({.DueAt = Now + After, .Attempt = Attempt});
    return;
  }
  Events.push(attempt_ended{.Request = Attempt.Request,
                            .Attempt = Attempt.Attempt,
                            .Outcome = attempt_outcome::Answered,
                            .Status = 200});
}

void revocation_fleet::checkSent(const std::string &Key,
                                 const customer_id &Name) const {
  for (std::size_t Index = Versions.size(); Index-- > 0;) {
    const auto Found = Versions[Index].Keys.find(Key);
    if (Found != Versions[Index].Keys.end() && Found->second == Name)
      return;
    CPPUNIT_ASSERT_MESSAGE(
        "sent with " + Key + " for " + Name.value() + " after the bound, at " +
            std::to_string(std::chrono::duration<double>(Now).count()) + " s",
        Now - Versions[Index].WrittenAt < Options.Bound);
  }
  CPPUNIT_FAIL("sent in a name that never had the key");
}
