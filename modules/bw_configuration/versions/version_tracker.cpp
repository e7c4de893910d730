#include "bw_configuration/versions/version_tracker.h"

#include <algorithm>
#include <set>
#include <utility>

using namespace bw;

version_tracker::version_tracker(host_id Self, data_centre_id DataCentre,
                                 version_tracker_options Options)
    : Self(std::move(Self)), DataCentre(std::move(DataCentre)),
      Options(Options) {}

void version_tracker::setPeers(const std::vector<version_peer> &NewPeers) {
  std::map<host_id, peer_record> Next;
  for (const version_peer &Peer : NewPeers) {
    if (Peer.Host == Self)
      continue;
    const auto Known = Peers.find(Peer.Host);
    const config_version Version =
        Known == Peers.end() ? config_version() : Known->second.Version;
    Next.emplace(Peer.Host, peer_record{Peer.DataCentre, Version});
  }
  Peers = std::move(Next);
}

version_commands version_tracker::headSeen(config_version Version,
                                           time_point Now,
                                           random_source &Random) {
  version_commands Out;
  StoreVersion = std::max(StoreVersion, Version);
  HighestKnown = std::max(HighestKnown, Version);
  fetchIfBehind(Out, Now, Random);
  return Out;
}

version_commands version_tracker::peerHas(const host_id &Peer,
                                          config_version Version,
                                          time_point Now,
                                          random_source &Random) {
  version_commands Out;
  const auto Known = Peers.find(Peer);
  if (Known == Peers.end())
    return Out;
  Known->second.Version = std::max(Known->second.Version, Version);
  HighestKnown = std::max(HighestKnown, Version);
  fetchIfBehind(Out, Now, Random);
  return Out;
}

version_commands version_tracker::exchangeReceived(const host_id &Peer,
                                                   config_version Version,
                                                   bool WantsReply,
                                                   time_point Now,
                                                   random_source &Random) {
  version_commands Out = peerHas(Peer, Version, Now, Random);
  if (WantsReply)
    Out.push_back(version_exchange{Peer, Own, false});
  else
    ExchangeDeadline.reset();
  return Out;
}

version_commands version_tracker::applied(config_version Version,
                                          time_point Now,
                                          random_source &Random) {
  version_commands Out;
  FetchDeadline.reset();
  FetchSource.reset();
  if (Version > Own) {
    Own = Version;
    HighestKnown = std::max(HighestKnown, Version);
    notifyOthers(Out, Random);
    RepeatNoticeAt = Now + Options.NoticeRepeatDelay;
  }
  fetchIfBehind(Out, Now, Random);
  return Out;
}

version_commands version_tracker::fetchFailed(time_point Now,
                                              random_source &Random) {
  version_commands Out;
  if (FetchDeadline)
    startFetch(Out, Now, Random);
  return Out;
}

version_commands version_tracker::tick(time_point Now, random_source &Random) {
  version_commands Out;
  if (FetchDeadline && Now >= *FetchDeadline)
    startFetch(Out, Now, Random);
  if (RepeatNoticeAt && Now >= *RepeatNoticeAt) {
    RepeatNoticeAt.reset();
    notifyOthers(Out, Random);
  }
  const bool Unanswered = ExchangeDeadline && Now >= *ExchangeDeadline;
  if (Now >= NextExchange || Unanswered)
    exchange(Out, Now, Random);
  return Out;
}

void version_tracker::notifyOthers(version_commands &Out,
                                   random_source &Random) {
  std::vector<host_id> LocalHosts = hostsOf(DataCentre);
  for (std::size_t Count = 0; Count < Options.Fanout && !LocalHosts.empty();
       ++Count) {
    std::swap(LocalHosts[Random.below(LocalHosts.size())], LocalHosts.back());
    Out.push_back(version_notice{LocalHosts.back(), Own});
    LocalHosts.pop_back();
  }
  if (!Watcher)
    return;
  std::set<data_centre_id> Others;
  for (const auto &[Host, Peer] : Peers)
    if (Peer.DataCentre != DataCentre)
      Others.insert(Peer.DataCentre);
  for (const data_centre_id &Other : Others) {
    const std::vector<host_id> Hosts = hostsOf(Other);
    Out.push_back(version_notice{Hosts[Random.below(Hosts.size())], Own});
  }
}

void version_tracker::fetchIfBehind(version_commands &Out, time_point Now,
                                    random_source &Random) {
  if (HighestKnown > Own && !FetchDeadline)
    startFetch(Out, Now, Random);
}

void version_tracker::startFetch(version_commands &Out, time_point Now,
                                 random_source &Random) {
  FetchDeadline.reset();
  if (HighestKnown <= Own)
    return;
  FetchSource = chooseSource(Random);
  if (!FetchSource)
    return;
  FetchDeadline = Now + Options.FetchTimeout;
  if (FetchSource->empty())
    Out.push_back(store_fetch{HighestKnown});
  else
    Out.push_back(version_fetch{*FetchSource, Peers.at(*FetchSource).Version});
}

// Prefers the store, of which only watchers know the version; then peers of the
// own data centre, since links to others are expensive. A source that did not
// answer is used again only if there is no other.
std::optional<host_id>
version_tracker::chooseSource(random_source &Random) const {
  std::vector<host_id> Tiers[3];
  if (StoreVersion > Own)
    Tiers[0].push_back(host_id());
  for (const auto &[Host, Peer] : Peers)
    if (Peer.Version > Own)
      Tiers[Peer.DataCentre == DataCentre ? 1 : 2].push_back(Host);
  std::optional<host_id> Fallback;
  for (std::vector<host_id> &Tier : Tiers) {
    if (FetchSource && std::erase(Tier, *FetchSource) > 0)
      Fallback = FetchSource;
    if (!Tier.empty())
      return Tier[Random.below(Tier.size())];
  }
  return Fallback;
}

void version_tracker::exchange(version_commands &Out, time_point Now,
                               random_source &Random) {
  ExchangeDeadline.reset();
  NextExchange = Now + Options.ExchangeInterval;
  if (Peers.empty())
    return;
  const auto To =
      std::next(Peers.begin(), static_cast<long>(Random.below(Peers.size())));
  ExchangeDeadline = Now + Options.ExchangeTimeout;
  Out.push_back(version_exchange{To->first, Own, true});
}

config_version version_tracker::inForce(const data_centre_id &Asked) const {
  std::optional<config_version> Lowest;
  if (Asked == DataCentre)
    Lowest = Own;
  for (const auto &[Host, Peer] : Peers)
    if (Peer.DataCentre == Asked)
      Lowest = Lowest ? std::min(*Lowest, Peer.Version) : Peer.Version;
  return Lowest.value_or(config_version());
}

std::vector<host_id>
version_tracker::hostsOf(const data_centre_id &Asked) const {
  std::vector<host_id> Hosts;
  for (const auto &[Host, Peer] : Peers)
    if (Peer.DataCentre == Asked)
      Hosts.push_back(Host);
  return Hosts;
}
