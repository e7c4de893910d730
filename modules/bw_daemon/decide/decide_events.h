#ifndef BW_DAEMON_DECIDE_DECIDE_EVENTS_H
#define BW_DAEMON_DECIDE_DECIDE_EVENTS_H

#include "bw_core/ids/identifiers.h"
#include "bw_daemon/answers/answer_relay.h"
#include "bw_daemon/catalogue/service_catalogue.h"
#include "bw_daemon/peers/incoming_link.h"
#include "bw_delivery/submissions/submission_messages.h"
#include "bw_http/client/http_client.h"
#include "bw_http/server/http_exchange.h"
#include "bw_kernel/rings/bounded_ring.h"
#include "bw_peer/messages/peer_messages.h"
#include "bw_peer/streams/stream_closed.h"
#include "bw_platform/hosts/host_list.h"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace bw {

struct caller_arrived {
  http_exchange_pointer Exchange;
};
struct caller_closed {
  request_id Request;
};

/// The head of a backend server's answer that is too large to be handed over
/// whole. Its body waits in the relay for a sink.
struct backend_head {
  attempt_id Attempt;
  int Status = 0;
  http_headers Headers;
  std::shared_ptr<answer_relay> Relay;
};

/// A call has ended. Headers and body are those of an answer that is handed
/// over whole; for a streamed one the body is empty.
struct backend_ended {
  attempt_id Attempt;
  transfer_result Result;
  http_headers Headers;
  std::string Body;
  bool IsWhole = true;
};

/// Bytes of a streamed answer went to its sink.
struct answer_progress {
  attempt_id Attempt;
  byte_count Bytes;
};
struct answer_paused {
  attempt_id Attempt;
  bool IsPaused = false;
};

/// Another daemon opened a stream.
struct peer_arrived {
  std::shared_ptr<incoming_link> Link;
  daemon_id From;
  wire::Head Head;
};
struct peer_left {
  peer_stream_id Stream;
};

/// The same as `backend_head`, from a remote owner.
struct remote_head {
  attempt_id Attempt;
  wire::AnswerHead Head;
  std::shared_ptr<answer_relay> Relay;
};
/// The owner has ended the attempt; a whole answer comes with it.
struct remote_ended {
  attempt_id Attempt;
  wire::End End;
  std::optional<wire::AnswerHead> Head;
  std::string Body;
  bool IsWhole = false;
};
/// The stream of an attempt closed without an end.
struct remote_lost {
  attempt_id Attempt;
  stream_closed Closed;
};

/// A daemon answered a message that carries no request.
struct peer_answered {
  daemon_id Asked;
  wire::Head Question;
  /// Absent when no answer came.
  std::optional<wire::Head> Answer;
  stream_closed Closed;
};

/// The whole answer to a submission that was relayed to its executor.
struct relay_ended {
  request_id Request;
  std::optional<wire::AnswerHead> Head;
  std::string Body;
  bool IsComplete = false;
  bool IsNotDelivered = false;
};

struct catalogue_loaded {
  catalogue_pointer Catalogue;
};
/// The store's head, from the watch or the first read.
struct head_seen {
  config_version Version;
};
struct store_away {};
struct hosts_loaded {
  std::vector<host_list_entry> Hosts;
};
struct claim_answered {
  submission_identity Identity;
  claim_answer Answer;
};
/// This daemon was asked to stop.
struct stop_wanted {};

/// An operator wants a host to stop.
struct drain_wanted {
  host_id Host;
};

using decide_event =
    std::variant<caller_arrived, caller_closed, backend_head, backend_ended,
                 answer_progress, answer_paused, peer_arrived, peer_left,
                 remote_head, remote_ended, remote_lost, peer_answered,
                 relay_ended, catalogue_loaded, head_seen, store_away,
                 hosts_loaded, claim_answered, stop_wanted, drain_wanted>;
using decide_ring = bounded_ring<decide_event>;

} // namespace bw

#endif
