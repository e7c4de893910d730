#ifndef BW_FORWARD_SERVERS_SERVER_ATTEMPT_H
#define BW_FORWARD_SERVERS_SERVER_ATTEMPT_H

#include "bw_forward/callers/caller_exchange.h"
#include "bw_forward/servers/response_classification.h"
#include "bw_gateway/messages/gateway_commands.h"
#include "bw_gateway/messages/gateway_events.h"

#include <memory>
#include <string>

namespace bw {

class server_connection;

/// How the body of a relayed response is delimited.
enum class body_framing : std::uint8_t { Length, Chunked, Close, None };

/// One request sent to one backend server, and the response as far as received.
/// Used by the forwarding thread only.
struct server_attempt {
  request_number Request;
  attempt_number Number;
  backend_server_id Server;
  server_address Address;
  /// When the server should stop processing the request.
  time_point Deadline;
  /// Set if the configuration names customers.
  std::optional<forwarded_customer> Customer;
  /// The request must not be sent from this time on.
  std::optional<boot_time_point> SendBefore;
  exchange_pointer Exchange;
  std::shared_ptr<server_connection> Connection;

  bool HasHead = false;
  http1_head Head;
  /// Set if the expected server generated the response.
  std::optional<server_statement> Statement;
  /// Body bytes received and not yet relayed to the caller.
  std::string Body;
  /// All body bytes received so far.
  std::uint64_t ReceivedBytes = 0;
  /// The whole response was received.
  bool IsComplete = false;
  /// The response was reported to the decide service.
  bool IsReported = false;
  /// The response is being relayed to the caller.
  bool IsRelaying = false;
  /// The response was reported before it was complete.
  bool IsReportedIncomplete = false;
  /// The response was truncated.
  bool IsBroken = false;
  body_framing Framing = body_framing::Length;
  /// Sending of the request has begun.
  bool IsSent = false;
};

using attempt_pointer = std::shared_ptr<server_attempt>;

/// Encodes a request for the server: start line, header fields and, unless it
/// is streamed, the body. Omits hop-by-hop fields and sets the deadline and the
/// expected server.
std::string encodeRequest(const server_attempt &Attempt,
                          const relay_headers &Names, duration TimeLeft);

/// Encodes a part of a streamed body with the framing of the message.
std::string encodeBodyPart(const http1_head &Head, std::string Part,
                           bool IsLast);

/// Encodes the start line and header fields of the response for the caller.
/// BodySize is set if the whole body was received.
std::string encodeResponseHead(const caller_exchange &Exchange,
                               const http1_head &Head,
                               std::optional<std::size_t> BodySize,
                               body_framing Framing);

/// Selects how to delimit the response body for this caller.
body_framing selectFraming(const caller_exchange &Exchange,
                           const http1_head &Head, bool IsComplete);

} // namespace bw

#endif
