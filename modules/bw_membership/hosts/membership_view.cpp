#include "bw_membership/hosts/membership_view.h"

#include "bw_core/random/stable_hash.h"

#include <algorithm>
#include <utility>

using namespace bw;

namespace {

std::uint64_t ringPosition(const host_id &Host) {
  return stableHash(Host.value());
}

// Changes that a message carries in addition to the heartbeats in rotation.
constexpr std::size_t ChangesPerMessage = 8;
// Number of messages in which each host that learns a change passes it on.
// Together with the pushes this is well above log2 of 670 hosts, so that a
// change reaches all of them.
constexpr unsigned TransmissionsPerChange = 12;

} // namespace

membership_view::membership_view(daemon_id Self, data_centre_id DataCentre,
                                 start_order Started,
                                 membership_options Options)
    : Options(Options) {
  Own.Daemon = std::move(Self);
  Own.DataCentre = std::move(DataCentre);
  Own.Started = Started;
  Own.Sequence = sequence_number(1);
}

membership_step membership_view::tick(time_point Now, random_source &Random) {
  membership_step Out;
  if (!Started) {
    Started = true;
    LastTick = Now;
    NextHeartbeat = Now;
  }
  const duration Gap = Now - LastTick;
  if (Gap > Options.LocalPauseThreshold)
    restartTimeOuts(Now);
  LastTick = Now;
  if (RingChanged)
    rebuildRing(Now);
  if (Now >= NextHeartbeat)
    sendHeartbeats(Now, Out, Random);
  checkObserved(Now, Out, Random);
  return Out;
}

// While this host was paused it could not read heartbeats, and those waiting in
// the sockets are read only after the tick. All time-outs therefore start
// again.
void membership_view::restartTimeOuts(time_point Now) {
  for (auto &[Host, Record] : Members)
    Record.LastHeardAt = Now;
}

void membership_view::sendHeartbeats(time_point Now, membership_step &Out,
                                     random_source &Random) {
  NextHeartbeat = std::max(NextHeartbeat + Options.HeartbeatInterval, Now);
  removeExpired(Now);
  Own.Sequence = Own.Sequence.next();
  for (const host_id &Observer : OwnObservers)
    Out.Messages.push_back({Observer, {Own}, false});
  const std::vector<host_id> Candidates = exchangeCandidates();
  if (Candidates.empty())
    return;
  const host_id &To = Candidates[Random.below(Candidates.size())];
  Out.Messages.push_back(composeExchange(To, true));
  Out.Messages.back().WantsFullView =
      ++ExchangesMade <= Options.FullViewExchanges;
}

void membership_view::checkObserved(time_point Now, membership_step &Out,
                                    random_source &Random) {
  std::vector<host_id> Changed;
  for (const host_id &Host : Observed) {
    record &Record = Members.at(Host);
    const duration Age = Now - Record.LastHeardAt;
    if (Age >= Options.DeadAfter) {
      if (raiseSuspicion(Record, host_suspicion::Dead, Out))
        Changed.push_back(Host);
    } else if (Age >= Options.SuspectAfter) {
      raiseSuspicion(Record, host_suspicion::Suspected, Out);
      if (Now - Record.LastQueryAt >= Options.QueryInterval) {
        Record.LastQueryAt = Now;
        querySuspected(Record, Out, Random);
      }
    }
  }
  pushChanges(Changed, Out, Now, Random);
}

// A suspicion is not gossiped. Instead, the host itself, its other observers
// and some random hosts are queried. Those that have a newer heartbeat answer
// with it; the others query the host, which covers a one-way partition.
void membership_view::querySuspected(const record &Record, membership_step &Out,
                                     random_source &Random) {
  const heartbeat &Latest = Record.Latest;
  std::vector<host_id> Asked = observersOf(Latest.Daemon.Host);
  Asked.push_back(Latest.Daemon.Host);
  const std::vector<host_id> Candidates = exchangeCandidates();
  for (std::size_t Count = 0; Count < Options.Fanout; ++Count)
    Asked.push_back(Candidates[Random.below(Candidates.size())]);
  for (const host_id &Host : Asked)
    if (Host != Own.Daemon.Host)
      Out.Messages.push_back({Host, {Own, Latest}, false});
}

bool membership_view::raiseSuspicion(record &Record, host_suspicion Suspicion,
                                     membership_step &Out) {
  if (Record.Latest.Suspicion >= Suspicion)
    return false;
  Record.Latest.Suspicion = Suspicion;
  const bool IsDead = Suspicion == host_suspicion::Dead;
  if (IsDead) {
    Record.PendingTransmissions = TransmissionsPerChange;
    RingChanged = true;
  }
  const membership_change Change =
      IsDead ? membership_change::Dead : membership_change::Suspected;
  Out.Events.push_back(
      {Change, Record.Latest.Daemon, Record.Latest.DataCentre});
  return true;
}

// A delayed copy of an old heartbeat can add a removed host again. Its
// observers then detect its death again.
void membership_view::removeExpired(time_point Now) {
  std::erase_if(Members, [&](const auto &Member) {
    const record &Record = Member.second;
    return Record.Latest.Suspicion == host_suspicion::Dead &&
           Now - Record.LastHeardAt >= Options.ForgetAfter &&
           !Listed.contains(Member.first);
  });
}

membership_step membership_view::receive(const membership_message &Message,
                                         time_point Now,
                                         random_source &Random) {
  membership_step Out;
  std::vector<host_id> Changed;
  for (const heartbeat &Received : Message.Heartbeats) {
    refute(Received, Message.Heartbeats.front().Daemon.Host, Out);
    merge(Received, Now, Out, Changed);
  }
  if (Message.WantsReply && !Message.Heartbeats.empty())
    reply(Message, Out);
  if (Message.IsFullView) {
    for (const host_id &Host : Changed)
      Members.at(Host).PendingTransmissions = 0;
    return Out;
  }
  pushChanges(Changed, Out, Now, Random);
  return Out;
}

void membership_view::reply(const membership_message &Asked,
                            membership_step &Out) {
  const host_id &To = Asked.Heartbeats.front().Daemon.Host;
  if (!Asked.WantsFullView) {
    Out.Messages.push_back(composeExchange(To, false));
    return;
  }
  membership_message FullView{To, {Own}, false, false, true};
  for (const auto &[Host, Record] : Members)
    FullView.Heartbeats.push_back(onWire(Record));
  Out.Messages.push_back(std::move(FullView));
}

bool membership_view::isNewer(const heartbeat &Received,
                              const heartbeat &Known) {
  if (Received.Daemon.Incarnation != Known.Daemon.Incarnation)
    return std::pair(Received.Started, Received.Daemon.Incarnation) >
           std::pair(Known.Started, Known.Daemon.Incarnation);
  return std::tuple(Received.Started, Received.Sequence, Received.Suspicion) >
         std::tuple(Known.Started, Known.Sequence, Known.Suspicion);
}

// Refutes a suspicion or death that is based on an older heartbeat than known
// here.
void membership_view::refute(const heartbeat &Received, const host_id &Sender,
                             membership_step &Out) {
  if (Received.Suspicion == host_suspicion::None)
    return;
  if (Received.Daemon == Own.Daemon) {
    Own.Sequence = std::max(Own.Sequence, Received.Sequence.next());
    Out.Messages.push_back({Sender, {Own}, false});
    return;
  }
  const auto Found = Members.find(Received.Daemon.Host);
  if (Found == Members.end())
    return;
  record &Record = Found->second;
  heartbeat Unsuspected = Received;
  Unsuspected.Suspicion = host_suspicion::None;
  const bool HasNewer = Record.Latest.Suspicion == host_suspicion::None &&
                        isNewer(Record.Latest, Unsuspected);
  if (HasNewer) {
    Out.Messages.push_back({Sender, {Own, Record.Latest}, false});
  } else if (Received.Suspicion == host_suspicion::Suspected) {
    Record.WaitingHosts.insert(Sender);
    // The answer arrives here and is forwarded. Queries of observers and of the
    // host itself are not repeated, so that they do not multiply.
    if (Sender != Received.Daemon.Host &&
        !Observed.contains(Received.Daemon.Host))
      Out.Messages.push_back({Received.Daemon.Host, {Own, Received}, false});
  }
}

void membership_view::merge(const heartbeat &Received, time_point Now,
                            membership_step &Out,
                            std::vector<host_id> &Changed) {
  if (Received.Daemon.Host == Own.Daemon.Host) {
    mergeOwn(Received);
    return;
  }
  // A suspicion is a query, which `refute` has answered.
  if (Received.Suspicion == host_suspicion::Suspected)
    return;
  auto [Found, IsNew] = Members.try_emplace(Received.Daemon.Host);
  record &Record = Found->second;
  if (!IsNew && !isNewer(Received, Record.Latest))
    return;
  const heartbeat Before = Record.Latest;
  const bool SameIncarnation =
      !IsNew && Before.Daemon.Incarnation == Received.Daemon.Incarnation;
  Record.Latest = Received;
  if (IsNew || Received.Suspicion == host_suspicion::None)
    Record.LastHeardAt = Now;
  if (Received.Suspicion == host_suspicion::None)
    for (const host_id &Waiting : std::exchange(Record.WaitingHosts, {}))
      Out.Messages.push_back({Waiting, {Own, Received}, false});
  if (isKnownToLeave(Received, Before, SameIncarnation, IsNew))
    Record.Latest.State = host_state::Leaving;
  const std::vector<membership_change> Changes =
      changes(Before, Record.Latest, IsNew, SameIncarnation);
  for (const membership_change Change : Changes)
    Out.Events.push_back({Change, Received.Daemon, Received.DataCentre});
  if (Received.Suspicion == host_suspicion::None)
    Record.RemovedByList = false;
  // Suspicions are local, so the end of one is not a change for other hosts.
  const bool OnlyRefuted = SameIncarnation &&
                           Before.Suspicion == host_suspicion::Suspected &&
                           Changes == std::vector{membership_change::Joined};
  if (Changes.empty() || OnlyRefuted)
    return;
  Record.PendingTransmissions = TransmissionsPerChange;
  RingChanged = true;
  Changed.push_back(Received.Daemon.Host);
}

// Leaving is final for an incarnation. A host that was unknown so far is also
// leaving if the host list shows it as leaving.
bool membership_view::isKnownToLeave(const heartbeat &Received,
                                     const heartbeat &Before,
                                     bool SameIncarnation, bool IsNew) const {
  if (SameIncarnation && Before.State == host_state::Leaving)
    return true;
  const auto Entry = Listed.find(Received.Daemon.Host);
  return IsNew && Entry != Listed.end() &&
         Entry->second.State == host_state::Leaving;
}

std::vector<membership_change> membership_view::changes(const heartbeat &Before,
                                                        const heartbeat &After,
                                                        bool IsNew,
                                                        bool SameIncarnation) {
  std::vector<membership_change> Changes;
  if (After.Suspicion == host_suspicion::Dead) {
    if (!IsNew && Before.Suspicion != host_suspicion::Dead)
      Changes.push_back(membership_change::Dead);
    return Changes;
  }
  if (!IsNew && !SameIncarnation)
    Changes.push_back(membership_change::Restarted);
  else if (IsNew || Before.Suspicion != host_suspicion::None)
    Changes.push_back(membership_change::Joined);
  const bool WasLeaving =
      SameIncarnation && Before.State == host_state::Leaving;
  if (After.State == host_state::Leaving && !WasLeaving)
    Changes.push_back(membership_change::Left);
  return Changes;
}

// An incarnation under this host's name that appears to be newer is an earlier
// one that was started while the clock was ahead.
void membership_view::mergeOwn(const heartbeat &Received) {
  const bool OtherIncarnation =
      Received.Daemon.Incarnation != Own.Daemon.Incarnation;
  if (!OtherIncarnation || Received.Started < Own.Started)
    return;
  Own.Started = Received.Started.next();
  NextHeartbeat = LastTick;
}

membership_step
membership_view::updateHostList(const std::vector<listed_host> &List,
                                time_point) {
  membership_step Out;
  std::map<host_id, listed_host> NewList;
  for (const listed_host &Host : List)
    NewList.emplace(Host.Host, Host);
  for (auto &[Host, Record] : Members) {
    const auto Found = NewList.find(Host);
    // Each host reads the list itself. A removal, which may come from an
    // outdated replica of the list, is therefore not gossiped.
    if (Found == NewList.end() && Listed.contains(Host)) {
      Record.RemovedByList = true;
      raiseSuspicion(Record, host_suspicion::Dead, Out);
    }
    const bool Leaves =
        Found != NewList.end() && Found->second.State == host_state::Leaving;
    if (!Leaves || Record.Latest.State == host_state::Leaving)
      continue;
    Record.Latest.State = host_state::Leaving;
    Out.Events.push_back({membership_change::Left, Record.Latest.Daemon,
                          Record.Latest.DataCentre});
  }
  Listed = std::move(NewList);
  return Out;
}

membership_step membership_view::announceLeaving(time_point Now) {
  membership_step Out;
  Own.State = host_state::Leaving;
  Own.Sequence = Own.Sequence.next();
  // Sent to all hosts directly: it happens once per incarnation, and it saves
  // each of them requests that would be refused.
  for (const auto &[Host, Record] : Members)
    if (Record.Latest.Suspicion != host_suspicion::Dead)
      Out.Messages.push_back({Host, {Own}, false});
  NextHeartbeat = Now + Options.HeartbeatInterval;
  return Out;
}

void membership_view::pushChanges(const std::vector<host_id> &Changed,
                                  membership_step &Out, time_point Now,
                                  random_source &Random) {
  if (Changed.empty())
    return;
  if (Now - PushWindow >= std::chrono::seconds(1)) {
    PushWindow = Now;
    PushesInWindow = 0;
  }
  const std::vector<host_id> Candidates = exchangeCandidates();
  for (std::size_t Count = 0; Count < Options.Fanout; ++Count) {
    if (Candidates.empty() || PushesInWindow >= Options.PushesPerSecond)
      return;
    ++PushesInWindow;
    membership_message Message{
        Candidates[Random.below(Candidates.size())], {Own}, false};
    for (const host_id &Host : Changed)
      if (Message.Heartbeats.size() <= ChangesPerMessage)
        Message.Heartbeats.push_back(onWire(Members.at(Host)));
    Out.Messages.push_back(std::move(Message));
  }
}

membership_message membership_view::composeExchange(const host_id &To,
                                                    bool WantsReply) {
  membership_message Message{To, {Own}, WantsReply};
  std::size_t Changes = 0;
  for (auto &[Host, Record] : Members) {
    if (Record.PendingTransmissions == 0 || Changes >= ChangesPerMessage)
      continue;
    --Record.PendingTransmissions;
    ++Changes;
    Message.Heartbeats.push_back(onWire(Record));
  }
  // The receiver's own record allows it to refute its death.
  if (const auto Known = Members.find(To); Known != Members.end())
    Message.Heartbeats.push_back(onWire(Known->second));
  auto Next = Members.upper_bound(RotationCursor);
  for (std::size_t Count = 0; Count < Members.size() &&
                              Message.Heartbeats.size() < Options.MaxHeartbeats;
       ++Count) {
    if (Next == Members.end())
      Next = Members.begin();
    RotationCursor = Next->first;
    Message.Heartbeats.push_back(onWire(Next->second));
    ++Next;
  }
  return Message;
}

// Only deaths detected by observers are gossiped. Suspicions and removals from
// the host list are local.
heartbeat membership_view::onWire(const record &Record) {
  heartbeat Sent = Record.Latest;
  const bool DetectedDead =
      Sent.Suspicion == host_suspicion::Dead && !Record.RemovedByList;
  Sent.Suspicion = DetectedDead ? host_suspicion::Dead : host_suspicion::None;
  return Sent;
}

// Computes which hosts this host observes and which observe it. The time-outs
// of a newly observed host start now.
void membership_view::rebuildRing(time_point Now) {
  RingChanged = false;
  Ring.clear();
  Ring.push_back(
      {ringPosition(Own.Daemon.Host), Own.Daemon.Host, Own.DataCentre});
  for (const auto &[Host, Record] : Members)
    if (Record.Latest.Suspicion != host_suspicion::Dead)
      Ring.push_back({ringPosition(Host), Host, Record.Latest.DataCentre});
  std::sort(Ring.begin(), Ring.end());
  const std::set<host_id> Before = std::move(Observed);
  Observed.clear();
  for (std::size_t Index = 0; Index < Ring.size(); ++Index) {
    const std::vector<host_id> Observers = observersAt(Index);
    if (Ring[Index].Host == Own.Daemon.Host)
      OwnObservers = Observers;
    if (std::find(Observers.begin(), Observers.end(), Own.Daemon.Host) ==
        Observers.end())
      continue;
    Observed.insert(Ring[Index].Host);
    if (!Before.contains(Ring[Index].Host))
      Members.at(Ring[Index].Host).LastHeardAt = Now;
  }
}

// The next hosts on the ring: `Options.Observers` of the same data centre, and
// one of another.
std::vector<host_id> membership_view::observersAt(std::size_t Index) const {
  std::vector<host_id> Observers;
  std::size_t LocalCount = 0;
  bool HasRemote = false;
  for (std::size_t Step = 1; Step < Ring.size(); ++Step) {
    const ring_entry &Next = Ring[(Index + Step) % Ring.size()];
    const bool IsLocal = Next.DataCentre == Ring[Index].DataCentre;
    if (IsLocal ? LocalCount == Options.Observers : HasRemote)
      continue;
    Observers.push_back(Next.Host);
    LocalCount += IsLocal ? 1 : 0;
    HasRemote = HasRemote || !IsLocal;
    if (HasRemote && LocalCount == Options.Observers)
      break;
  }
  return Observers;
}

std::vector<host_id> membership_view::observersOf(const host_id &Host) const {
  for (std::size_t Index = 0; Index < Ring.size(); ++Index)
    if (Ring[Index].Host == Host)
      return observersAt(Index);
  return {};
}

// Hosts to exchange with: members that are not dead or are still listed, and
// listed hosts without a heartbeat so far.
std::vector<host_id> membership_view::exchangeCandidates() const {
  std::vector<host_id> Candidates;
  for (const auto &[Host, Record] : Members)
    if (Record.Latest.Suspicion != host_suspicion::Dead ||
        Listed.contains(Host))
      Candidates.push_back(Host);
  for (const auto &[Host, Entry] : Listed)
    if (Host != Own.Daemon.Host && !Members.contains(Host))
      Candidates.push_back(Host);
  return Candidates;
}

std::vector<heartbeat> membership_view::usable() const {
  std::vector<heartbeat> Usable;
  for (const heartbeat &Known : present())
    if (Known.State == host_state::Live)
      Usable.push_back(Known);
  return Usable;
}

std::vector<heartbeat> membership_view::present() const {
  std::vector<heartbeat> Present;
  for (const auto &[Host, Record] : Members)
    if (Record.Latest.Suspicion != host_suspicion::Dead)
      Present.push_back(Record.Latest);
  return Present;
}
