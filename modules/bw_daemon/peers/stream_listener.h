#ifndef BW_DAEMON_PEERS_STREAM_LISTENER_H
#define BW_DAEMON_PEERS_STREAM_LISTENER_H

#include "bw_daemon/owner/attempt_listener.h"
#include "bw_daemon/peers/incoming_link.h"
#include "bw_daemon/requests/requester.h"

namespace bw {

/// Sends the answer of an attempt back on the stream that brought it.
class stream_listener : public attempt_listener {
public:
  explicit stream_listener(std::shared_ptr<incoming_link> Link)
      : Link(std::move(Link)) {}

  void whole(const attempt_id &Attempt, int Status, http_headers Headers,
             std::string Body) override;
  void head(const attempt_id &Attempt, int Status, http_headers Headers,
            std::shared_ptr<answer_relay> Relay) override;
  void ended(const attempt_id &Attempt, const attempt_end &End) override;

private:
  std::shared_ptr<incoming_link> Link;
};

/// Another daemon that relayed a caller's submission to this executor.
class relay_requester : public requester {
public:
  explicit relay_requester(std::shared_ptr<incoming_link> Link)
      : Link(std::move(Link)) {}

  void respond(http_response Response) override;
  std::shared_ptr<answer_sink> begin(begin_stream Head) override;
  void finish() override;
  void abort() override;

private:
  std::shared_ptr<incoming_link> Link;
};

} // namespace bw

#endif
