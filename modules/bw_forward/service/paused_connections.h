#ifndef BW_FORWARD_SERVICE_PAUSED_CONNECTIONS_H
#define BW_FORWARD_SERVICE_PAUSED_CONNECTIONS_H

#include "bw_forward/callers/caller_connection.h"
#include "bw_forward/servers/server_connection.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <unordered_map>

namespace bw {

/// Connections that wait until the budget lets them read again. They are asked
/// to resume at intervals; one that has to wait on adds itself again.
class paused_connections {
public:
  explicit paused_connections(asio::io_context &Context) : Timer(Context) {}

  void add(const std::shared_ptr<caller_connection> &Connection);
  void add(const std::shared_ptr<server_connection> &Connection);

private:
  void schedule();
  void resumeAll();

  asio::steady_timer Timer;
  bool IsScheduled = false;
  std::unordered_map<caller_connection *, std::weak_ptr<caller_connection>>
      Callers;
  std::unordered_map<server_connection *, std::weak_ptr<server_connection>>
      Servers;
};

} // namespace bw

#endif
