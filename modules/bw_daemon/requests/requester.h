#ifndef BW_DAEMON_REQUESTS_REQUESTER_H
#define BW_DAEMON_REQUESTS_REQUESTER_H

#include "bw_daemon/accept/caller_sink.h"
#include "bw_daemon/answers/answer_sink.h"
#include "bw_http/messages/http_messages.h"

#include <memory>
#include <optional>

namespace bw {

/// Who waits for the answer of a request: a caller at this host, or another
/// daemon that handed a caller's submission to its executor. Used by the decide
/// thread.
class requester {
public:
  virtual ~requester() = default;

  virtual void respond(http_response Response) = 0;
  /// Starts a streamed answer; its parts go to the sink.
  virtual std::shared_ptr<answer_sink> begin(begin_stream Head) = 0;
  virtual void finish() = 0;
  virtual void abort() = 0;
};

/// A caller's connection at this host.
class caller_requester : public requester {
public:
  caller_requester(http_exchange_pointer Exchange,
                   bounded_ring<caller_answer> &Answers)
      : Exchange(std::move(Exchange)), Answers(Answers) {}

  void respond(http_response Response) override;
  std::shared_ptr<answer_sink> begin(begin_stream Head) override;
  void finish() override;
  void abort() override;

private:
  http_exchange_pointer Exchange;
  bounded_ring<caller_answer> &Answers;
};

} // namespace bw

#endif
