#include "bw_daemon/backend/backend_service.h"

#include "bw_daemon/decide/decide_service.h"
#include "bw_kernel/services/service_registry.h"

#include <charconv>

using namespace bw;

struct backend_service::open_call {
  attempt_id Attempt;
  transfer_id Transfer;
  std::shared_ptr<answer_relay> Relay;
  http_headers Headers;
  std::string Body;
  bool IsWhole = true;
};

namespace {

constexpr int NoContentStatus = 204;
constexpr int NotModifiedStatus = 304;

std::optional<std::uint64_t> contentLength(const http_headers &Headers) {
  const auto Text = Headers.find("Content-Length");
  if (!Text)
    return std::nullopt;
  std::uint64_t Length = 0;
  const char *End = Text->data() + Text->size();
  const auto [Stop, Error] = std::from_chars(Text->data(), End, Length);
  if (Error != std::errc() || Stop != End)
    return std::nullopt;
  return Length;
}

} // namespace

backend_service::backend_service(runtime_clock &Clock)
    : service(std::string(ServiceName)), Client(Clock, {}) {}

void backend_service::attach(service_registry &Registry) {
  Decide = &Registry.find<decide_service>(decide_service::ServiceName).events();
}

void backend_service::start() { Client.start(); }

void backend_service::stop() { Client.stop(); }

bool backend_service::send(backend_call Call) {
  const auto Opened = std::make_shared<open_call>();
  Opened->Attempt = Call.Attempt;
  // The relay outlives the call by what is still on its way to the sink.
  const std::weak_ptr<open_call> Weak = Opened;
  Opened->Relay = std::make_shared<answer_relay>(answer_relay_options{
      .Resume =
          [this, Weak] {
            if (const auto Resumed = Weak.lock())
              Client.resume(Resumed->Transfer);
          },
      .OnRelayed =
          [this, Attempt = Call.Attempt](byte_count Bytes) {
            Decide->push(answer_progress{Attempt, Bytes});
          },
      .OnPaused =
          [this, Attempt = Call.Attempt](bool IsPaused) {
            Decide->push(answer_paused{Attempt, IsPaused});
          }});
  const std::lock_guard Guard(Mutex);
  const attempt_id Attempt = Call.Attempt;
  Opened->Transfer = Client.send(clientRequest(std::move(Call), Opened));
  if (Opened->Transfer == transfer_id())
    return false;
  Open.emplace(Attempt, Opened);
  return true;
}

client_request
backend_service::clientRequest(backend_call Call,
                               const std::shared_ptr<open_call> &Opened) {
  client_request Request;
  Request.Method = std::move(Call.Method);
  Request.Url = "http://" + Call.Address + Call.Target;
  Request.Headers = std::move(Call.Headers);
  Request.Body = std::move(Call.Body);
  Request.NeedsFreshConnection = Call.NeedsFreshConnection;
  Request.Timeout = Call.Timeout;
  const bool IsHead = Request.Method == "HEAD";
  Request.OnHead = [this, Opened, IsHead](int Status,
                                          const http_headers &Headers) {
    const auto Length = contentLength(Headers);
    const bool HasNoBody =
        IsHead || Status == NoContentStatus || Status == NotModifiedStatus;
    Opened->Headers = Headers;
    Opened->IsWhole =
        HasNoBody || (Length && *Length <= WholeAnswerLimit.value());
    if (!Opened->IsWhole)
      Decide->push(
          backend_head{Opened->Attempt, Status, Headers, Opened->Relay});
  };
  Request.OnBody = [Opened](std::string_view Part) {
    if (!Opened->IsWhole)
      return Opened->Relay->push(Part);
    Opened->Body += Part;
    return true;
  };
  Request.OnDone = [this, Opened](const transfer_result &Result) {
    ended(Opened, Result);
  };
  return Request;
}

void backend_service::ended(const std::shared_ptr<open_call> &Ended,
                            const transfer_result &Result) {
  {
    const std::lock_guard Guard(Mutex);
    Open.erase(Ended->Attempt);
  }
  Decide->push(backend_ended{Ended->Attempt, Result, std::move(Ended->Headers),
                             std::move(Ended->Body), Ended->IsWhole});
}

std::shared_ptr<backend_service::open_call>
backend_service::find(const attempt_id &Attempt) {
  const std::lock_guard Guard(Mutex);
  const auto Found = Open.find(Attempt);
  return Found == Open.end() ? nullptr : Found->second;
}

void backend_service::cancel(const attempt_id &Attempt) {
  if (const auto Found = find(Attempt))
    Client.cancel(Found->Transfer);
}

void backend_service::probe(
    const std::string &Address, const std::string &Target,
    std::chrono::milliseconds Timeout,
    std::function<void(const transfer_result &)> OnDone) {
  client_request Request;
  Request.Url = "http://" + Address + Target;
  Request.NeedsFreshConnection = true;
  Request.Timeout = Timeout;
  Request.OnDone = std::move(OnDone);
  Client.send(std::move(Request));
}
