#ifndef BW_FORWARD_SERVERS_SERVER_ATTEMPT_H
#define BW_FORWARD_SERVERS_SERVER_ATTEMPT_H

#include "bw_forward/callers/caller_exchange.h"
#include "bw_forward/servers/answer_judgement.h"
#include "bw_gateway/messages/gateway_events.h"

#include <memory>
#include <string>

namespace bw {

class server_connection;

/// How the body of a relayed answer is delimited.
enum class answer_framing : std::uint8_t { Length, Chunked, Close, None };

/// One request sent to one backend server, and its answer as far as it was
/// received. Used by the forwarding thread only.
struct server_attempt {
  request_number Request;
  attempt_number Number;
  backend_server_id Server;
  server_address Address;
  /// When the server shall stop working on it.
  time_point Deadline;
  exchange_pointer Exchange;
  std::shared_ptr<server_connection> Connection;

  bool HasHead = false;
  http1_head Head;
  /// Received and not yet handed to the caller.
  std::string Body;
  /// The whole answer was received.
  bool IsComplete = false;
  /// A decision about the answer was asked for.
  bool IsReported = false;
  /// The answer goes to the caller.
  bool IsRelaying = false;
  /// The decision was asked for before the whole answer was received.
  bool IsLong = false;
  /// The answer broke off.
  bool IsBroken = false;
  answer_framing Framing = answer_framing::Length;
  /// Some byte of the request went out.
  bool IsSent = false;
};

using attempt_pointer = std::shared_ptr<server_attempt>;

/// The request as it is sent to the server: start line, header fields and the
/// part of the body that was read. Sets the fields that each hop sets anew.
std::string encodeRequest(const server_attempt &Attempt,
                          const relay_headers &Names, duration TimeLeft);

/// One piece of a streamed body in the framing of the request.
std::string encodeBodyPart(const http1_head &Head, std::string Part,
                           bool IsLast);

/// Start line and header fields of the answer for the caller.
/// BodySize: the length of a body that was received whole.
std::string encodeAnswerHead(const caller_exchange &Exchange,
                             const http1_head &Head,
                             std::optional<std::size_t> BodySize,
                             answer_framing Framing);

/// How to delimit the body of an answer for this caller.
answer_framing framingFor(const caller_exchange &Exchange,
                          const http1_head &Head, bool IsComplete);

} // namespace bw

#endif
