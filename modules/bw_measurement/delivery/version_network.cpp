#include "bw_measurement/delivery/version_network.h"

#include <set>
#include <utility>

using namespace bw;
using namespace std::chrono_literals;

namespace {

constexpr duration StoreDelay = 5ms;
constexpr duration WatchRetry = 250ms;
constexpr duration TickEvery = 50ms;

} // namespace

version_network::version_network(link_model Links, bool StoreAway,
                                 std::uint64_t Seed)
    : Links(std::move(Links)), StoreAway(StoreAway), Random(Seed) {
  std::vector<version_peer> Peers;
  for (std::size_t Host = 0; Host < this->Links.hosts(); ++Host)
    Peers.push_back({this->Links.host(Host), this->Links.dataCentre(Host)});
  std::map<data_centre_id, int> Watchers;
  for (std::size_t Host = 0; Host < this->Links.hosts(); ++Host) {
    Trackers.push_back(std::make_unique<version_tracker>(
        Peers[Host].Host, Peers[Host].DataCentre));
    Trackers.back()->setPeers(Peers);
    Trackers.back()->setWatcher(++Watchers[Peers[Host].DataCentre] <= 2);
    Queue.after(duration(Random.below(TickEvery.count())),
                [this, Host] { tick(Host); });
  }
}

duration version_network::change() {
  Head = Head.next();
  Applied = 0;
  const time_point AcceptedAt = Queue.now();
  apply(Random.below(Trackers.size()), Head);
  std::map<data_centre_id, int> Watchers;
  for (std::size_t Host = 0; Host < Trackers.size(); ++Host)
    if (!StoreAway && ++Watchers[Links.dataCentre(Host)] <= 2)
      watch(Host, Head);
  while (Applied < Trackers.size())
    Queue.runNext();
  const duration Took = Queue.now() - AcceptedAt;
  // The next change comes at another phase of everybody's exchanges.
  const time_point Next =
      Queue.now() + 500ms + duration(Random.below(1'000'000'000));
  while (Queue.now() < Next)
    Queue.runNext();
  return Took;
}

void version_network::watch(std::size_t Host, config_version Version) {
  const bool Lost = Random.chance(0.05);
  Queue.after(Lost ? WatchRetry : StoreDelay, [this, Host, Version, Lost] {
    if (Lost)
      watch(Host, Version);
    else
      carryOut(Host, Trackers[Host]->headSeen(Version, Queue.now(), Random));
  });
}

void version_network::tick(std::size_t Host) {
  carryOut(Host, Trackers[Host]->tick(Queue.now(), Random));
  Queue.after(TickEvery, [this, Host] { tick(Host); });
}

void version_network::apply(std::size_t Host, config_version Version) {
  const bool WasBehind = Trackers[Host]->own() < Head;
  carryOut(Host, Trackers[Host]->applied(Version, Queue.now(), Random));
  if (WasBehind && Trackers[Host]->own() >= Head)
    ++Applied;
}

void version_network::send(std::size_t From, std::size_t To,
                           event_queue::action Arrive) {
  if (const auto Delay = Links.transit(From, To, Random))
    Queue.after(*Delay, std::move(Arrive));
}

void version_network::carryOut(std::size_t Host,
                               const version_commands &Commands) {
  for (const version_command &Command : Commands)
    std::visit([&](const auto &Step) { carryOut(Host, Step); }, Command);
}

void version_network::carryOut(std::size_t Host,
                               const version_notice &Command) {
  const std::size_t To = Links.index(Command.To);
  const config_version Version = Command.Version;
  send(Host, To, [this, Host, To, Version] {
    carryOut(To, Trackers[To]->peerHas(Links.host(Host), Version, Queue.now(),
                                       Random));
  });
}

void version_network::carryOut(std::size_t Host,
                               const version_exchange &Command) {
  const std::size_t To = Links.index(Command.To);
  send(Host, To, [this, Host, To, Command] {
    carryOut(To, Trackers[To]->exchangeReceived(
                     Links.host(Host), Command.Version, Command.WantsReply,
                     Queue.now(), Random));
  });
}

void version_network::carryOut(std::size_t Host, const version_fetch &Command) {
  const std::size_t From = Links.index(Command.From);
  send(Host, From, [this, Host, From] {
    const config_version Version = Trackers[From]->own();
    send(From, Host, [this, Host, Version] { apply(Host, Version); });
  });
}

void version_network::carryOut(std::size_t Host, const store_fetch &) {
  if (Random.chance(0.05))
    return;
  Queue.after(StoreDelay, [this, Host] { apply(Host, Head); });
}
