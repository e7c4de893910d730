#ifndef BW_MEMBERSHIP_HOSTS_MEMBERSHIP_MESSAGES_H
#define BW_MEMBERSHIP_HOSTS_MEMBERSHIP_MESSAGES_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/time.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace bw {

/// Orders the incarnations of a host; the one with the highest value is the
/// newest. The value is the wall-clock time at the start of the incarnation, in
/// milliseconds. Other hosts would ignore an incarnation that started after the
/// clock was set back.
/// A host therefore raises its own value when it receives one of another
/// incarnation under its own name that is not lower.
using start_order = strong_number<struct start_order_tag>;

/// State that a host reports of itself.
enum class host_state : std::uint8_t { Live, Leaving };

/// Liveness of a host as judged by other hosts.
enum class host_suspicion : std::uint8_t { None, Suspected, Dead };

/// State of one host as carried in an exchange. Size on the wire: name (about
/// 12 bytes), data centre (8), incarnation (8), start order (6), sequence (3),
/// version (2), states and field tags (9): 48 bytes.
struct heartbeat {
  daemon_id Daemon;
  data_centre_id DataCentre;
  start_order Started;
  /// Incremented by the host with each of its heartbeats, about once a second.
  sequence_number Sequence;
  host_state State = host_state::Live;
  host_suspicion Suspicion = host_suspicion::None;
  config_version Version;
};

/// Size of a heartbeat on the wire with names of 12 and 8 bytes.
constexpr std::size_t HeartbeatBytes = 48;

/// Message of an exchange between two hosts. The first heartbeat is the
/// sender's own.
struct membership_message {
  host_id To;
  std::vector<heartbeat> Heartbeats;
  /// The receiver must reply with a message of its own.
  bool WantsReply = false;
  /// The sender has just started and requests the receiver's full view, 32 KB
  /// at 670 hosts.
  bool WantsFullView = false;
  /// Reply with the full view. Changes that it contains are not gossiped on.
  bool IsFullView = false;
};

enum class membership_change {
  Joined,    ///< first heartbeat, or alive again after `Suspected` or `Dead`
  Suspected, ///< no newer heartbeat for `SuspectAfter`
  Dead,      ///< no newer heartbeat for `DeadAfter`, or no longer listed
  Left,      ///< leaving: gets no new requests
  Restarted  ///< replaced by a newer incarnation
};

struct membership_event {
  membership_change Change;
  daemon_id Daemon;
  data_centre_id DataCentre;
};

/// An entry of role `host` in the platform's host list.
struct listed_host {
  host_id Host;
  data_centre_id DataCentre;
  host_state State = host_state::Live;
};

struct membership_step {
  std::vector<membership_event> Events;
  std::vector<membership_message> Messages;
};

} // namespace bw

#endif
