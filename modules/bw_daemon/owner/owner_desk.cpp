#include "bw_daemon/owner/owner_desk.h"

#include "bw_daemon/backend/backend_service.h"
#include "bw_kernel/log/log_event.h"

using namespace bw;

namespace {

constexpr std::string_view RequestIdHeader = "Bramleywinch-Request-Id";

call_end endOf(const transfer_result &Result) {
  switch (Result.Status) {
  case transfer_status::Complete:
    return call_end::Complete;
  case transfer_status::ConnectFailed:
    return call_end::ConnectFailed;
  case transfer_status::Broken:
    return call_end::Failed;
  case transfer_status::TimedOut:
    return call_end::TimedOut;
  case transfer_status::Cancelled:
    return call_end::Cancelled;
  }
  return call_end::Failed;
}

// Fields between this system and its backend servers stay there. The length is
// kept: it tells a whole answer from a cut one.
http_headers endToEndHeaders(const http_headers &Given) {
  static constexpr std::string_view Internal[] = {
      RequestIdHeader, "Not-Run", "Draining", "Bramleywinch-Outcome"};
  http_headers Result;
  for (const http_header &Field : Given.fields()) {
    bool IsKept = !isHopByHopHeader(Field.Name) ||
                  equalsIgnoringCase(Field.Name, "Content-Length");
    for (const std::string_view Name : Internal)
      IsKept = IsKept && !equalsIgnoringCase(Name, Field.Name);
    if (IsKept)
      Result.add(Field.Name, Field.Value);
  }
  return Result;
}

} // namespace

owner_desk::owner_desk(fleet_view &Fleet, backend_service &Backend,
                       owner_desk_options GivenOptions)
    : Backend(Backend), Options(std::move(GivenOptions)),
      Engine(Fleet, {.Seed = Options.Seed}) {}

void owner_desk::configure(const std::vector<service_settings> &Services) {
  Engine.configure(Services);
}

void owner_desk::offer(const forward_offer &Offer, outgoing_request Request,
                       std::shared_ptr<attempt_listener> Listener,
                       time_point Now) {
  const attempt_id &Attempt = Offer.Offer.Attempt;
  // A second copy of an attempt must not replace the first one's listener.
  const bool IsNew =
      Attempts
          .try_emplace(Attempt,
                       open_attempt{std::move(Request), std::move(Listener),
                                    Offer.Server, Offer.Kind, Offer.Repeatable,
                                    std::nullopt, false, false})
          .second;
  if (IsNew)
    run(Engine.offer(Offer, Now), Now);
}

void owner_desk::cancel(const attempt_id &Attempt, time_point Now) {
  run(Engine.cancel(Attempt), Now);
  // Nobody waits any more; the call's end only frees its slot.
  const auto Found = Attempts.find(Attempt);
  if (Found != Attempts.end())
    Found->second.Listener = nullptr;
}

void owner_desk::streamClosed(const attempt_id &Attempt, time_point Now) {
  const auto Found = Attempts.find(Attempt);
  if (Found == Attempts.end())
    return;
  if (Found->second.Repeatable)
    cancel(Attempt, Now);
  else
    Found->second.Listener = nullptr;
}

fence_reply owner_desk::fence(const fence_request &Fence, time_point Now) {
  return Engine.fence(Fence, Now);
}

call_head owner_desk::readHead(const attempt_id &Attempt, int Status,
                               const http_headers &Headers) {
  return {.Status = Status,
          .IsMatched = Headers.find(RequestIdHeader) == Attempt.text(),
          .IsNotRun = Status == 503 && Headers.find("Not-Run") == "true",
          .IsDraining = Headers.find("Draining") == "true"};
}

void owner_desk::handle(const backend_head &Event, time_point Now) {
  const auto Found = Attempts.find(Event.Attempt);
  if (Found == Attempts.end())
    return;
  open_attempt &Open = Found->second;
  Open.Head = readHead(Event.Attempt, Event.Status, Event.Headers);
  owner_commands Commands;
  const bool MayPass =
      Engine.headReceived(Event.Attempt, *Open.Head, Now, Commands);
  if (MayPass && Open.Listener) {
    Open.IsStreamed = true;
    Open.Listener->head(Event.Attempt, Event.Status,
                        endToEndHeaders(Event.Headers), Event.Relay);
  } else {
    Backend.cancel(Event.Attempt);
  }
  run(Commands, Now);
}

void owner_desk::handle(backend_ended Event, time_point Now) {
  const auto Found = Attempts.find(Event.Attempt);
  if (Found == Attempts.end())
    return;
  open_attempt &Open = Found->second;
  const int Status = Event.Result.HttpStatus;
  if (Status != 0)
    Open.Head = readHead(Event.Attempt, Status, Event.Headers);
  if (Open.Head && !Open.Head->IsMatched && !Open.Head->IsNotRun)
    logEvent(log_event::AnswerMismatched,
             {{"attempt", Event.Attempt.text()},
              {"backend_server", Open.Server.value()}});
  const bool IsAnswer = Event.Result.Status == transfer_status::Complete &&
                        Open.Head && Open.Head->IsMatched &&
                        !Open.Head->IsNotRun && Event.IsWhole;
  if (IsAnswer && Open.Listener)
    Open.Listener->whole(Event.Attempt, Status, endToEndHeaders(Event.Headers),
                         std::move(Event.Body));
  run(Engine.callEnded(Event.Attempt, endOf(Event.Result), Open.Head, Now),
      Now);
  Attempts.erase(Event.Attempt);
}

void owner_desk::run(const owner_commands &Commands, time_point Now) {
  for (const owner_command &Command : Commands) {
    if (const auto *Start = std::get_if<start_call>(&Command))
      start(*Start, Now);
    else if (const auto *Cancel = std::get_if<cancel_call>(&Command))
      Backend.cancel(Cancel->Attempt);
    else if (const auto *End = std::get_if<end_attempt>(&Command))
      end(*End);
    else if (const auto *Check = std::get_if<check_path>(&Command))
      Options.CheckPath(*Check, Samples[{Check->Server, Check->Kind}]);
    else if (const auto *Digest = std::get_if<send_digest>(&Command))
      Options.SendDigest(*Digest);
    else if (const auto *Ask = std::get_if<ask_digests>(&Command))
      Options.AskDigests(*Ask);
    else if (const auto *Note = std::get_if<log_detection>(&Command))
      note(*Note);
    else if (const auto *Drain = std::get_if<report_drain>(&Command))
      logEvent(log_event::BackendServerLeaving,
               {{"backend_server", Drain->Sign.Server.value()}});
  }
}

void owner_desk::start(const start_call &Command, time_point Now) {
  const auto Found = Attempts.find(Command.Attempt);
  if (Found == Attempts.end())
    return;
  open_attempt &Open = Found->second;
  Open.IsCalled = true;
  backend_call Call;
  Call.Attempt = Command.Attempt;
  Call.Address = Command.Address.value();
  Call.Method = Open.Request.Method;
  Call.Target = Open.Request.Target;
  Call.Headers = std::move(Open.Request.Headers);
  Call.Headers.add(std::string(RequestIdHeader), Command.Attempt.text());
  Call.Timeout =
      std::max(std::chrono::milliseconds(1),
               std::chrono::ceil<std::chrono::milliseconds>(Command.Timeout));
  Call.Headers.add("Deadline-Ms", std::to_string(Call.Timeout.count()));
  Call.Body = std::move(Open.Request.Body);
  Call.NeedsFreshConnection = Command.NeedsFreshConnection;
  if (Open.Repeatable && Call.Method == "GET")
    Samples[{Open.Server, Open.Kind}] = Call.Target;
  if (Backend.send(std::move(Call)))
    return;
  // The command ring stayed full: nothing was sent.
  transfer_result Result;
  Result.Status = transfer_status::ConnectFailed;
  handle(backend_ended{Command.Attempt, Result, {}, {}, true}, Now);
}

void owner_desk::end(const end_attempt &Command) {
  const auto Found = Attempts.find(Command.Attempt);
  if (Found == Attempts.end())
    return;
  if (const auto Listener = std::move(Found->second.Listener))
    Listener->ended(Command.Attempt, Command.End);
  // Without a call nothing else would drop the record.
  if (!Found->second.IsCalled)
    Attempts.erase(Found);
}

void owner_desk::note(const log_detection &Command) {
  const bool IsEjection = Command.Event.Type == detection_event_type::Ejected;
  logEvent(IsEjection ? log_event::BackendServerEjected
                      : log_event::BackendServerReturned,
           {{"backend_server", Command.Server.value()},
            {"kind", Command.Kind.value()},
            {"score", std::to_string(Command.Event.Score)}});
}

void owner_desk::pathChecked(const backend_server_id &Server,
                             const request_kind &Kind,
                             const path_report &Report, time_point Now) {
  run(Engine.pathChecked(Server, Kind, Report, Now), Now);
}

void owner_desk::digestReceived(const service_id &Service,
                                const latency_digest &Digest, time_point Now) {
  Engine.digestReceived(Service, Digest, Now);
}

void owner_desk::digestsRequested(const service_id &Service,
                                  const host_id &From, time_point Now) {
  run(Engine.digestsRequested(Service, From, Now), Now);
}

void owner_desk::serversChanged(const std::vector<server_event> &Events,
                                time_point Now) {
  run(Engine.serversChanged(Events, Now), Now);
}

void owner_desk::tick(time_point Now) { run(Engine.tick(Now), Now); }
