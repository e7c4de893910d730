#include "bw_measurement/delivery/leaving_network.h"

#include <algorithm>
#include <utility>

using namespace bw;
using namespace std::chrono_literals;

namespace {

const backend_server_id Server{"diary-1"};
constexpr duration WorkEvery = 20ms;
// The server takes its last requests for this long while it drains.
constexpr duration DrainTime = 30s;

} // namespace

leaving_network::leaving_network(link_model Links, bool DrainResponses,
                                 std::uint64_t Seed)
    : Links(std::move(Links)), DrainResponses(DrainResponses), Random(Seed) {
  for (int Replica = 0; Replica < 3; ++Replica)
    ReplicaLag.emplace_back(Random.below(20'000'000'000));
  Owner = Random.below(this->Links.hosts());
  Successor = (Owner + 1) % this->Links.hosts();
  for (std::size_t Host = 0; Host < this->Links.hosts(); ++Host) {
    Directories.push_back(std::make_unique<server_directory>());
    const duration Phase(Random.below(1'000'000'000));
    Queue.after(Phase, [this, Host] { poll(Host); });
    Queue.after(Phase / 2, [this, Host] { exchange(Host); });
    Queue.after(Phase / 3 + 1s, [this, Host] { work(Host); });
  }
}

duration leaving_network::leave() {
  while (Queue.now() < time_point(3s))
    Queue.runNext();
  LeavesAt = Queue.now();
  while (Queue.now() < *LeavesAt + DrainTime)
    Queue.runNext();
  return FirstSign ? std::max(duration(0), LastWork - *FirstSign) : DrainTime;
}

std::vector<listed_server>
leaving_network::readList(std::size_t Replica) const {
  listed_server Shown;
  Shown.Server = Server;
  Shown.Service = service_id("diary-svc");
  Shown.Leaving = LeavesAt && Queue.now() >= *LeavesAt + ReplicaLag[Replica];
  return {Shown};
}

void leaving_network::poll(std::size_t Host) {
  const auto List = readList(Random.below(ReplicaLag.size()));
  see(Host, Directories[Host]->updateList(List, Queue.now()));
  Queue.after(1s, [this, Host] { poll(Host); });
}

void leaving_network::see(std::size_t Host,
                          const std::vector<server_event> &Events) {
  const bool Leaves =
      std::any_of(Events.begin(), Events.end(), [](const server_event &Event) {
        return Event.Change == server_change::Leaving;
      });
  if (!Leaves)
    return;
  if (!FirstSign)
    FirstSign = Queue.now();
  report(Host, Owner);
  report(Host, Successor);
  for (int Count = 0; Count < 4; ++Count)
    report(Host, Random.below(Links.hosts()));
}

void leaving_network::report(std::size_t From, std::size_t To) {
  const auto Signs = Directories[From]->reports(Queue.now());
  const auto Delay = Links.transit(From, To, Random);
  if (!Delay)
    return;
  Queue.after(*Delay, [this, To, Signs] {
    for (const drain_sign &Sign : Signs)
      see(To, Directories[To]->drainSeen(Sign, Queue.now()));
  });
}

void leaving_network::exchange(std::size_t Host) {
  const std::size_t To = Random.below(Links.hosts());
  report(Host, To);
  report(To, Host);
  Queue.after(1s, [this, Host] { exchange(Host); });
}

// An entry host that takes the server for usable sends it work by the owner,
// or by the successor when it does not reach the owner.
void leaving_network::work(std::size_t Host) {
  Queue.after(WorkEvery, [this, Host] { work(Host); });
  const std::size_t Through = Random.chance(0.9) ? Owner : Successor;
  const auto Delay = Links.transit(Host, Through, Random);
  if (!Delay || !Directories[Host]->acceptsRequests(Server))
    return;
  Queue.after(*Delay, [this, Through] {
    if (!Directories[Through]->acceptsRequests(Server))
      return;
    LastWork = Queue.now();
    // The answer takes up to a second and carries the drain sign.
    if (LeavesAt && DrainResponses)
      Queue.after(duration(Random.below(1'000'000'000)), [this, Through] {
        see(Through,
            Directories[Through]->drainSeen({Server, {}, {}}, Queue.now()));
      });
  });
}
