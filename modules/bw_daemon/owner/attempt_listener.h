#ifndef BW_DAEMON_OWNER_ATTEMPT_LISTENER_H
#define BW_DAEMON_OWNER_ATTEMPT_LISTENER_H

#include "bw_daemon/answers/answer_relay.h"
#include "bw_engine/fleet/attempt_end.h"
#include "bw_http/messages/http_messages.h"

#include <memory>
#include <string>

namespace bw {

/// Who gets the answer of an attempt: the entry part of this daemon or a
/// stream to another one. Used by the decide thread.
class attempt_listener {
public:
  virtual ~attempt_listener() = default;

  /// The whole answer; `ended` follows.
  virtual void whole(const attempt_id &Attempt, int Status,
                     http_headers Headers, std::string Body) = 0;
  /// The head of a streamed answer; its body is in the relay.
  virtual void head(const attempt_id &Attempt, int Status, http_headers Headers,
                    std::shared_ptr<answer_relay> Relay) = 0;
  virtual void ended(const attempt_id &Attempt, const attempt_end &End) = 0;
};

} // namespace bw

#endif
