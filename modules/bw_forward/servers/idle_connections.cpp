#include "bw_forward/servers/idle_connections.h"

#include <algorithm>

using namespace bw;

namespace {

// A host has about one concurrent request per server, so more idle connections
// would not be used.
constexpr std::size_t MaxIdlePerServer = 3;

} // namespace

idle_connections::connection_pointer
idle_connections::take(const backend_server_id &Server, time_point Now) {
  for (auto Found = Servers.find(Server); Found != Servers.end();
       Found = Servers.find(Server)) {
    connection_pointer Connection = Found->second.back();
    if (Connection->isReusable(Now)) {
      remove(Connection);
      return Connection;
    }
    remove(Connection);
    Connection->close();
  }
  return nullptr;
}

void idle_connections::add(const connection_pointer &Connection) {
  auto &List = Servers[Connection->server()];
  List.push_back(Connection);
  Places[Connection.get()] = Order.insert(Order.end(), Connection);
  if (List.size() > MaxIdlePerServer) {
    const connection_pointer Oldest = List.front();
    Oldest->close();
  }
}

void idle_connections::remove(const connection_pointer &Connection) {
  const auto Place = Places.find(Connection.get());
  if (Place == Places.end())
    return;
  Order.erase(Place->second);
  Places.erase(Place);
  const auto Found = Servers.find(Connection->server());
  std::erase(Found->second, Connection);
  if (Found->second.empty())
    Servers.erase(Found);
}

bool idle_connections::closeOldest() {
  if (Order.empty())
    return false;
  const connection_pointer Oldest = Order.front();
  Oldest->close();
  return true;
}
