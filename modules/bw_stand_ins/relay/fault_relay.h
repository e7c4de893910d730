#ifndef BW_STAND_INS_RELAY_FAULT_RELAY_H
#define BW_STAND_INS_RELAY_FAULT_RELAY_H

#include "bw_core/errors/error.h"
#include "bw_kernel/clock/runtime_clock.h"
#include "bw_stand_ins/relay/relay_faults.h"

#include <cstdint>
#include <memory>
#include <string>

namespace bw {

struct relay_options {
  std::string ListenAddress = "127.0.0.1";
  /// 0 lets the system choose.
  std::uint16_t ListenPort = 0;
  std::string ConnectAddress = "127.0.0.1";
  std::uint16_t ConnectPort = 0;
  /// On 127.0.0.1; 0 lets the system choose.
  std::uint16_t ControlPort = 0;
  std::uint64_t Seed = 1;
  relay_faults Faults;
};

/// An address that cannot be listened on.
class relay_listen_error : public error {
public:
  using error::error;
  std::string_view code() const override { return "relay_listen_failed"; }
};

/// TCP relay that injects faults, on a thread of its own.
class fault_relay {
public:
  fault_relay(runtime_clock &Clock, relay_options Options);
  ~fault_relay();
  fault_relay(const fault_relay &) = delete;
  fault_relay &operator=(const fault_relay &) = delete;

  /// \throws relay_listen_error
  void start();
  /// Closes all connections.
  void stop();

  /// A line as for the control port; what it answers is lost. Thread-safe.
  void apply(std::string Line);

  /// Valid after `start`.
  std::uint16_t port() const;
  std::uint16_t controlPort() const;

private:
  class implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace bw

#endif
