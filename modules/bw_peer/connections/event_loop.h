#ifndef BW_PEER_CONNECTIONS_EVENT_LOOP_H
#define BW_PEER_CONNECTIONS_EVENT_LOOP_H

#include "bw_core/ids/time.h"
#include "bw_peer/connections/tcp_socket.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bw {

/// Runs the sockets and timers of one thread. All calls except `post` and
/// `stop` belong to that thread or come before `run`.
class event_loop {
public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop &) = delete;
  event_loop &operator=(const event_loop &) = delete;

  /// Returns after `stop`. Blocks while there is nothing to do.
  void run();
  /// Thread-safe.
  void stop();
  /// Runs the action on the loop's thread, soon and not inside this call.
  /// Thread-safe.
  void post(std::function<void()> Action);

  void callAfter(duration Delay, std::function<void()> Action);

  using accept_hook = std::function<void(std::unique_ptr<tcp_socket>)>;
  /// Returns the port. \throws peer_listen_error
  std::uint16_t listen(const std::string &Address, std::uint16_t Port,
                       accept_hook OnAccept);
  void stopListening();

  /// The text is empty on success and names the fault otherwise.
  using connect_hook = std::function<void(const std::string &Fault)>;
  /// `OnConnected` is called later, never inside this call, and not once the
  /// socket is closed.
  std::unique_ptr<tcp_socket> connect(const std::string &Address,
                                      std::uint16_t Port,
                                      const connect_hook &OnConnected);

private:
  class implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace bw

#endif
