#ifndef BW_MEASUREMENT_DELIVERY_LEAVING_NETWORK_H
#define BW_MEASUREMENT_DELIVERY_LEAVING_NETWORK_H

#include "bw_membership/servers/server_directory.h"
#include "bw_simulation/links/link_model.h"
#include "bw_simulation/time/event_queue.h"

#include <memory>
#include <optional>
#include <vector>

namespace bw {

/// The hosts' directories while one backend server leaves. Each host reads the
/// host list once a second from one of three replicas that lag by up to 20 s;
/// the server's own drain response, if it gives one, is seen by its owner only.
/// Signs go to
/// owner and successor, to four random hosts, and with the exchange of each
/// second.
class leaving_network {
public:
  leaving_network(link_model Links, bool DrainResponses, std::uint64_t Seed);
  leaving_network(const leaving_network &) = delete;
  leaving_network &operator=(const leaving_network &) = delete;

  /// Lets the server leave and returns how long after the first sign at any
  /// host it still got new work; 0 if it got none.
  duration leave();

private:
  void poll(std::size_t Host);
  void exchange(std::size_t Host);
  void work(std::size_t Host);
  void see(std::size_t Host, const std::vector<server_event> &Events);
  void report(std::size_t From, std::size_t To);
  std::vector<listed_server> readList(std::size_t Replica) const;

  link_model Links;
  bool DrainResponses;
  random_source Random;
  event_queue Queue;
  std::vector<std::unique_ptr<server_directory>> Directories;
  std::vector<duration> ReplicaLag;
  std::size_t Owner = 0;
  std::size_t Successor = 1;
  std::optional<time_point> LeavesAt;
  std::optional<time_point> FirstSign;
  time_point LastWork{};
};

} // namespace bw

#endif
