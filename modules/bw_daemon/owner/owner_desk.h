#ifndef BW_DAEMON_OWNER_OWNER_DESK_H
#define BW_DAEMON_OWNER_OWNER_DESK_H

#include "bw_daemon/decide/decide_events.h"
#include "bw_daemon/owner/attempt_listener.h"
#include "bw_daemon/owner/outgoing_request.h"
#include "bw_engine/owner/owner_engine.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace bw {

class backend_service;

struct owner_desk_options {
  std::uint64_t Seed = 1;
  /// Messages to other daemons.
  std::function<void(const check_path &, const std::string &Target)> CheckPath;
  std::function<void(const send_digest &)> SendDigest;
  std::function<void(const ask_digests &)> AskDigests;
};

/// Carries out what the owner engine decides: calls to backend servers and the
/// answers to those who forwarded the attempts. Decide thread only.
class owner_desk {
public:
  owner_desk(fleet_view &Fleet, backend_service &Backend,
             owner_desk_options Options);
  owner_desk(const owner_desk &) = delete;
  owner_desk &operator=(const owner_desk &) = delete;

  void configure(const std::vector<service_settings> &Services);

  void offer(const forward_offer &Offer, outgoing_request Request,
             std::shared_ptr<attempt_listener> Listener, time_point Now);
  void cancel(const attempt_id &Attempt, time_point Now);
  /// The stream that brought the attempt has closed. Repeatable work is
  /// dropped; a submission runs to its end.
  void streamClosed(const attempt_id &Attempt, time_point Now);
  fence_reply fence(const fence_request &Fence, time_point Now);

  void handle(const backend_head &Event, time_point Now);
  void handle(backend_ended Event, time_point Now);

  void pathChecked(const backend_server_id &Server, const request_kind &Kind,
                   const path_report &Report, time_point Now);
  void digestReceived(const service_id &Service, const latency_digest &Digest,
                      time_point Now);
  void digestsRequested(const service_id &Service, const host_id &From,
                        time_point Now);
  void serversChanged(const std::vector<server_event> &Events, time_point Now);
  void tick(time_point Now);

  std::size_t inFlight() const { return Engine.inFlight(); }
  std::vector<backend_server_id> ejected() const { return Engine.ejected(); }

private:
  struct open_attempt {
    outgoing_request Request;
    std::shared_ptr<attempt_listener> Listener;
    backend_server_id Server;
    request_kind Kind;
    bool Repeatable = false;
    std::optional<call_head> Head;
    bool IsStreamed = false;
    bool IsCalled = false;
  };

  void run(const owner_commands &Commands, time_point Now);
  void start(const start_call &Command, time_point Now);
  void end(const end_attempt &Command);
  void note(const log_detection &Command);
  static call_head readHead(const attempt_id &Attempt, int Status,
                            const http_headers &Headers);

  backend_service &Backend;
  owner_desk_options Options;
  owner_engine Engine;
  std::map<attempt_id, open_attempt> Attempts;
  /// Last repeatable request sent to each instance and kind, for path checks.
  std::map<std::pair<backend_server_id, request_kind>, std::string> Samples;
};

} // namespace bw

#endif
