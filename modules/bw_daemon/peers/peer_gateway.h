#ifndef BW_DAEMON_PEERS_PEER_GATEWAY_H
#define BW_DAEMON_PEERS_PEER_GATEWAY_H

#include "bw_daemon/decide/decide_events.h"
#include "bw_daemon/owner/outgoing_request.h"
#include "bw_daemon/peers/remote_answer.h"
#include "bw_daemon/requests/request_desk.h"
#include "bw_engine/entry/entry_engine.h"
#include "bw_peer/service/peer_service.h"

#include <map>
#include <memory>

namespace bw {

/// Where a host's daemon listens for others.
struct host_endpoint {
  std::string Address;
  std::uint16_t Port = 0;
};

/// Sends the messages of the decide thread to other daemons and turns what
/// comes back into events of the decide ring. Decide thread only.
class peer_gateway {
public:
  peer_gateway(peer_service &Peers, decide_ring &Decide);

  void setEndpoint(const host_id &Host, host_endpoint Endpoint);
  bool knows(const host_id &Host) const { return Endpoints.contains(Host); }
  std::vector<host_id> knownHosts() const;

  void forward(const forward_attempt &Forward, const outgoing_request &Request);
  /// Drops the stream of an attempt.
  void cancel(const attempt_id &Attempt);
  /// The attempt's stream has ended by itself.
  void forget(const attempt_id &Attempt) { Open.erase(Attempt); }
  void relay(const relay_order &Order, time_point Now);

  /// Sends a message that is answered by one head, or by none. An incarnation
  /// of 0 means whoever runs there.
  void ask(const daemon_id &To, wire::Head Question);

private:
  peer_target targetFor(const daemon_id &Daemon) const;

  peer_service &Peers;
  decide_ring &Decide;
  std::map<host_id, host_endpoint> Endpoints;
  std::map<attempt_id, std::shared_ptr<remote_answer>> Open;
};

} // namespace bw

#endif
