#ifndef BW_FORWARD_SERVERS_IDLE_CONNECTIONS_H
#define BW_FORWARD_SERVERS_IDLE_CONNECTIONS_H

#include "bw_forward/servers/server_connection.h"

#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

namespace bw {

/// The idle connections to backend servers. A connection that is closed must be
/// removed by its `OnClosed` hook.
class idle_connections {
public:
  using connection_pointer = std::shared_ptr<server_connection>;

  /// Takes the most recently used connection to the server that can be reused;
  /// null if there is none.
  connection_pointer take(const backend_server_id &Server, time_point Now);
  void add(const connection_pointer &Connection);
  void remove(const connection_pointer &Connection);
  /// Closes the connection that has been idle for longest. False if none is
  /// idle.
  bool closeOldest();
  bool isEmpty() const { return Order.empty(); }

private:
  std::unordered_map<backend_server_id, std::vector<connection_pointer>>
      Servers;
  /// All connections, the one that is idle for longest first.
  std::list<connection_pointer> Order;
  std::unordered_map<const server_connection *,
                     std::list<connection_pointer>::iterator>
      Places;
};

} // namespace bw

#endif
