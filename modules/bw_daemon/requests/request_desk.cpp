#include "bw_daemon/requests/request_desk.h"

#include "bw_daemon/requests/ticket_text.h"
#include "bw_kernel/log/log_event.h"

#include <nlohmann/json.hpp>

#include <charconv>

using namespace bw;

namespace {

constexpr std::size_t LongestKey = 200;
constexpr std::chrono::seconds TableInterval{1};
constexpr std::chrono::milliseconds NotRunPause{200};
constexpr int UnknownStatus = 504;
constexpr int NotRunStatus = 503;

// What a backend server needs of a caller's request. The credential is for
// this system alone.
outgoing_request outgoingRequest(const http_request &Request,
                                 std::string Target) {
  static constexpr std::string_view Dropped[] = {
      "Authorization", TicketHeader, "Deadline-Ms", "Bramleywinch-Request-Id",
      OutcomeHeader};
  outgoing_request Result{Request.Method, std::move(Target), {}, Request.Body};
  for (const http_header &Field : Request.Headers.fields()) {
    bool IsKept = !isHopByHopHeader(Field.Name);
    for (const std::string_view Name : Dropped)
      IsKept = IsKept && !equalsIgnoringCase(Name, Field.Name);
    if (IsKept)
      Result.Headers.add(Field.Name, Field.Value);
  }
  return Result;
}

std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Stop != End)
    return std::nullopt;
  return Value;
}

// First byte and total of `bytes <first>-<last>/<total>`.
struct content_range {
  byte_count First;
  std::optional<byte_count> Total;
};
content_range readContentRange(const http_headers &Headers) {
  content_range Result;
  const std::string Text = Headers.find("Content-Range").value_or("");
  constexpr std::string_view Unit = "bytes ";
  const std::size_t Dash = Text.find('-');
  const std::size_t Slash = Text.find('/');
  if (!Text.starts_with(Unit) || Dash == Text.npos || Slash == Text.npos)
    return Result;
  const std::string_view View = Text;
  if (const auto First =
          parseNumber(View.substr(Unit.size(), Dash - Unit.size())))
    Result.First = byte_count(*First);
  if (const auto Total = parseNumber(View.substr(Slash + 1)))
    Result.Total = byte_count(*Total);
  return Result;
}

answer_head answerHeadOf(const request_id &Request, int Status,
                         const http_headers &Headers,
                         std::optional<byte_count> Length) {
  answer_head Head;
  Head.Request = Request;
  Head.Status = answer_status(static_cast<std::uint16_t>(Status));
  Head.Tag = entity_tag(Headers.find("ETag").value_or(""));
  Head.Length = Length;
  const content_range Range = readContentRange(Headers);
  Head.RangeStart = Range.First;
  Head.Total = Range.Total;
  return Head;
}

std::optional<byte_count> contentLength(const http_headers &Headers) {
  const auto Text = Headers.find("Content-Length");
  const auto Number = Text ? parseNumber(*Text) : std::nullopt;
  if (!Number)
    return std::nullopt;
  return byte_count(*Number);
}

caller_refusal submissionRefusal(submission_reason Reason) {
  switch (Reason) {
  case submission_reason::OtherCaller:
    return {403, "ticket_of_another_caller"};
  case submission_reason::InvalidTicket:
    return {400, "ticket_invalid"};
  case submission_reason::ExpiredTicket:
    return {410, "ticket_expired"};
  case submission_reason::StoreUnavailable:
    return {NotRunStatus, "store_unavailable", std::chrono::seconds(1)};
  case submission_reason::TableFull:
    return {NotRunStatus, "overloaded", std::chrono::seconds(1)};
  case submission_reason::OtherIncarnation:
    return {UnknownStatus, "executor_gone"};
  case submission_reason::ForgottenClaim:
    return {UnknownStatus, "submission_forgotten"};
  case submission_reason::None:
    return {UnknownStatus, "unknown"};
  }
  return {UnknownStatus, "unknown"};
}

void respondToAll(const std::vector<std::shared_ptr<requester>> &Requesters,
                  const http_response &Response) {
  for (const auto &Each : Requesters)
    Each->respond(Response);
}

} // namespace

request_desk::request_desk(fleet_view &Fleet, request_desk_options GivenOptions)
    : Fleet(Fleet), Options(std::move(GivenOptions)), Random(Options.Seed),
      Engine(Fleet, {.Seed = Random.next()}),
      Submissions(Options.Self, Random) {}

void request_desk::setCatalogue(const catalogue_pointer &Catalogue) {
  Intake.setCatalogue(Catalogue);
  Engine.configure(Catalogue->Services);
}

request_id request_desk::nextId() {
  LastSequence = LastSequence.next();
  return {Options.Self, LastSequence};
}

request_desk::open_request *request_desk::find(const request_id &Request) {
  const auto Found = Requests.find(Request);
  return Found == Requests.end() ? nullptr : &Found->second;
}

request_id request_desk::arrived(const http_request &Request,
                                 std::shared_ptr<requester> From,
                                 time_point Now) {
  request_id Id = nextId();
  const intake_result Result = Intake.examine(Request, Id, Now);
  if (const auto *Refusal = std::get_if<caller_refusal>(&Result)) {
    logEvent(log_event::RequestRefused,
             {{"request", Id.text()}, {"code", Refusal->Code}});
    if (!Refusal->Caller.empty())
      Options.Audit({Refusal->Caller, Request.Path, true, Refusal->Code});
    From->respond(refusalResponse(*Refusal));
  } else if (const auto *Confirm = std::get_if<confirm_request>(&Result)) {
    Options.Confirm(*Confirm, std::move(From));
  } else if (const auto *Ticket = std::get_if<ticket_request>(&Result)) {
    issueTicket(*Ticket, *From, Now);
  } else if (const auto *Status = std::get_if<status_request>(&Result)) {
    tellStatus(*Status, *From);
  } else {
    const auto &Service = std::get<service_request>(Result);
    if (Service.Entry.Repeatable)
      begin(Service, outgoingRequest(Request, Service.Target), Request.Path,
            {std::move(From)}, std::nullopt, Now);
    else
      submit(Service, Request, From, Now);
  }
  return Id;
}

void request_desk::issueTicket(const ticket_request &Request, requester &From,
                               time_point Now) {
  const submission_ticket Ticket =
      Submissions.issue(Request.Caller, Request.Service, Now);
  http_response Response;
  Response.Status = 201;
  Response.Headers.add("Content-Type", "application/json");
  Response.Body =
      nlohmann::json{{"ticket", formatTicket(Ticket)}}.dump() + "\n";
  From.respond(std::move(Response));
}

void request_desk::tellStatus(const status_request &Request, requester &From) {
  const auto Ticket = parseTicket(Request.Ticket);
  if (!Ticket || Ticket->Caller != Request.Caller) {
    From.respond(refusalResponse({404, "submission_unknown"}));
    return;
  }
  if (Ticket->Executor != Options.Self) {
    From.respond(outcomeResponse(UnknownStatus, request_outcome::Unknown,
                                 "executor_elsewhere"));
    return;
  }
  const submission_decision Decision = Submissions.status(Ticket->Nonce);
  const bool IsRunning = Decision.Action == submission_action::Join;
  const request_outcome Told =
      IsRunning ? request_outcome::Unknown : Decision.Result.Outcome.Reported;
  From.respond(outcomeResponse(200, Told, IsRunning ? "running" : "settled"));
}

void request_desk::submit(const service_request &Service,
                          const http_request &Request,
                          const std::shared_ptr<requester> &From,
                          time_point Now) {
  const auto TicketText = Request.Headers.find(TicketHeader);
  const auto Key = Request.Headers.find(KeyHeader);
  waiting_submission Waiting{
      Service.Entry.Id, Service, outgoingRequest(Request, Service.Target),
      Request.Path,     {From},  Service.Entry.Deadline};
  if (TicketText) {
    const auto Ticket = parseTicket(*TicketText);
    if (!Ticket) {
      From->respond(refusalResponse({400, "ticket_malformed"}));
      return;
    }
    Waiting.Outgoing.Headers.add(std::string(TicketHeader), *TicketText);
    decide(Submissions.offerTicket(*Ticket, Service.Entry.Caller,
                                   Service.Entry.Service, Now),
           std::move(Waiting), nullptr, Now);
    return;
  }
  if (!Key || Service.IsTicketRequired) {
    From->respond(refusalResponse({428, Service.IsTicketRequired
                                            ? "ticket_required"
                                            : "idempotency_key_required"}));
    return;
  }
  if (Key->empty() || Key->size() > LongestKey) {
    From->respond(refusalResponse({400, "idempotency_key_malformed"}));
    return;
  }
  const submission_identity Identity{
      Service.Entry.Caller, Service.Entry.Service, idempotency_key(*Key)};
  const auto Known = Claiming.find(Identity);
  if (Known != Claiming.end()) {
    Known->second.Requesters.push_back(From);
    return;
  }
  decide(Submissions.offerIdentity(Identity, Now), std::move(Waiting),
         &Identity, Now);
}

void request_desk::decide(const submission_decision &Decision,
                          waiting_submission Waiting,
                          const submission_identity *Identity, time_point Now) {
  switch (Decision.Action) {
  case submission_action::Run:
    begin(Waiting.Service, std::move(Waiting.Outgoing), std::move(Waiting.Path),
          std::move(Waiting.Requesters), Decision.Key, Now);
    return;
  case submission_action::Join: {
    const auto Known = Running.find(Decision.Key);
    open_request *Open = Known == Running.end() ? nullptr : find(Known->second);
    if (Open != nullptr)
      Open->Requesters.insert(Open->Requesters.end(),
                              Waiting.Requesters.begin(),
                              Waiting.Requesters.end());
    else
      respondToAll(
          Waiting.Requesters,
          outcomeResponse(UnknownStatus, request_outcome::Unknown, "running"));
    return;
  }
  case submission_action::Replay: {
    const attempt_outcome &Outcome = Decision.Result.Outcome;
    http_response Response = outcomeResponse(
        Outcome.Reported == request_outcome::Done     ? Outcome.Status.value()
        : Outcome.Reported == request_outcome::NotRun ? NotRunStatus
                                                      : UnknownStatus,
        Outcome.Reported, "replayed");
    if (Outcome.Reported == request_outcome::Done &&
        !Decision.Result.BodyDropped)
      Response.Body = Decision.Result.Body;
    respondToAll(Waiting.Requesters, Response);
    return;
  }
  case submission_action::CreateClaim:
    Options.Claim(*Identity, Decision.Claim);
    Claiming.insert_or_assign(*Identity, std::move(Waiting));
    return;
  case submission_action::ReadClaim:
    Options.Claim(*Identity, std::nullopt);
    Claiming.insert_or_assign(*Identity, std::move(Waiting));
    return;
  case submission_action::RouteTo: {
    relay_order Order{Waiting.Id,
                      Decision.Claim.Executor,
                      Waiting.Service,
                      Waiting.Outgoing,
                      Waiting.Outgoing.Headers.find(TicketHeader).value_or(""),
                      Identity != nullptr ? Identity->Key : idempotency_key(),
                      Decision.Claim.Nonce};
    const request_id Id = Waiting.Id;
    Relayed.insert_or_assign(Id, std::move(Waiting));
    Options.Relay(Order);
    return;
  }
  case submission_action::Refuse: {
    const caller_refusal Refusal = submissionRefusal(Decision.Reason);
    const request_outcome Told = Decision.Result.Outcome.Reported;
    respondToAll(Waiting.Requesters,
                 outcomeResponse(Told == request_outcome::Unknown
                                     ? UnknownStatus
                                     : Refusal.Status,
                                 Told, Refusal.Code, Refusal.RetryAfter));
    return;
  }
  }
}

void request_desk::handle(const claim_answered &Event, time_point Now) {
  auto Node = Claiming.extract(Event.Identity);
  if (Node.empty())
    return;
  decide(Submissions.claimAnswered(Event.Identity, Event.Answer, Now),
         std::move(Node.mapped()), &Event.Identity, Now);
}

void request_desk::relayed(relay_order Order, std::shared_ptr<requester> From,
                           time_point Now) {
  Order.Service.Entry.Id = nextId();
  const entry_request &Entry = Order.Service.Entry;
  waiting_submission Waiting{Entry.Id,
                             Order.Service,
                             std::move(Order.Request),
                             Order.Service.Target,
                             {std::move(From)},
                             Entry.Deadline};
  if (!Order.Ticket.empty()) {
    const auto Ticket = parseTicket(Order.Ticket);
    if (!Ticket || Ticket->Executor != Options.Self) {
      Waiting.Requesters.front()->respond(outcomeResponse(
          UnknownStatus, request_outcome::Unknown, "executor_gone"));
      return;
    }
    decide(Submissions.offerTicket(*Ticket, Entry.Caller, Entry.Service, Now),
           std::move(Waiting), nullptr, Now);
    return;
  }
  const submission_identity Identity{Entry.Caller, Entry.Service, Order.Key};
  decide(Submissions.offerClaimed(Identity, {Options.Self, Order.Nonce}, Now),
         std::move(Waiting), &Identity, Now);
}

void request_desk::handle(relay_ended Event, time_point) {
  auto Node = Relayed.extract(Event.Request);
  if (Node.empty())
    return;
  const auto &Requesters = Node.mapped().Requesters;
  if (!Event.IsComplete || !Event.Head) {
    // The executor alone can tell; it may have got the submission, or may have
    // run it under an earlier copy.
    respondToAll(Requesters,
                 outcomeResponse(UnknownStatus, request_outcome::Unknown,
                                 Event.IsNotDelivered ? "executor_gone"
                                                      : "executor_silent"));
    return;
  }
  http_response Response;
  Response.Status = static_cast<int>(Event.Head->status());
  for (const wire::Header &Field : Event.Head->headers())
    Response.Headers.add(Field.name(), Field.value());
  Response.Body = std::move(Event.Body);
  respondToAll(Requesters, Response);
}

void request_desk::begin(const service_request &Service,
                         outgoing_request Outgoing, std::string Path,
                         std::vector<std::shared_ptr<requester>> From,
                         std::optional<submission_key> Submission,
                         time_point Now) {
  const request_id Id = Service.Entry.Id;
  if (Submission)
    Running[*Submission] = Id;
  open_request Open;
  Open.Entry = Service.Entry;
  Open.Outgoing = std::move(Outgoing);
  Open.Path = std::move(Path);
  Open.Started = Now;
  Open.Requesters = std::move(From);
  Open.Submission = std::move(Submission);
  Requests.emplace(Id, std::move(Open));
  run(Engine.begin(Service.Entry, Now), Now);
}

void request_desk::callerClosed(const request_id &Request, time_point Now) {
  run(Engine.callerCancelled(Request, Now), Now);
}

void request_desk::run(const entry_commands &Commands, time_point Now) {
  for (const entry_command &Command : Commands) {
    open_request *Open = find(Command.Request);
    if (const auto *Forward = std::get_if<forward_attempt>(&Command.Command)) {
      if (Open != nullptr)
        Options.Forward(*Forward, Open->Outgoing);
      continue;
    }
    const auto &Delivery = std::get<delivery_command>(Command.Command);
    // Cancellations can follow the end of the request.
    if (const auto *Cancel = std::get_if<cancel_attempt>(&Delivery))
      Options.Cancel(*Cancel);
    else if (const auto *Fence = std::get_if<send_fence>(&Delivery))
      Options.Fence(*Fence);
    else if (Open != nullptr)
      run(*Open, Delivery, Now);
  }
}

void request_desk::run(open_request &Open, const delivery_command &Command,
                       time_point Now) {
  if (const auto *Head = std::get_if<relay_head>(&Command))
    relayHead(Open, Head->Attempt);
  else if (const auto *Resumed = std::get_if<relay_resumed>(&Command))
    relayResumed(Open, Resumed->Attempt);
  else if (const auto *End = std::get_if<end_answer>(&Command))
    endAnswer(Open, End->Outcome, Now);
  else if (const auto *Abort = std::get_if<abort_answer>(&Command))
    abortAnswer(Open, Abort->Outcome, Now);
  else if (const auto *Told = std::get_if<report_outcome>(&Command))
    tellOutcome(Open, *Told, Now);
  else if (const auto *Discard = std::get_if<discard_answer>(&Command))
    logEvent(log_event::AnswerMismatched,
             {{"attempt", Discard->Attempt.text()}});
}

void request_desk::relayHead(open_request &Open, const attempt_id &Attempt) {
  Open.Chosen = Attempt;
  const auto Streamed = Open.Streamed.find(Attempt);
  if (Streamed == Open.Streamed.end())
    return; // A whole answer goes out when it has ended.
  http_headers Headers = Streamed->second.Headers;
  Headers.add(std::string(OutcomeHeader),
              std::string(outcomeText(request_outcome::Done)));
  Open.Sink =
      Open.Requesters.front()->begin({Streamed->second.Status, Headers,
                                      contentLength(Streamed->second.Headers)});
  const byte_count Kept = Streamed->second.Relay->attach(Open.Sink);
  // Last, since it may end the request.
  run(Engine.dataRelayed(Attempt, Kept, CurrentTime), CurrentTime);
}

void request_desk::relayResumed(open_request &Open, const attempt_id &Attempt) {
  Open.Chosen = Attempt;
  const auto Streamed = Open.Streamed.find(Attempt);
  if (Streamed != Open.Streamed.end() && Open.Sink) {
    const byte_count Kept = Streamed->second.Relay->attach(Open.Sink);
    run(Engine.dataRelayed(Attempt, Kept, CurrentTime), CurrentTime);
    return;
  }
  // The rest is small enough to have come whole.
  const auto Whole = Open.Whole.find(Attempt);
  if (Whole != Open.Whole.end() && Open.Sink)
    Open.Sink->write(std::move(Whole->second.Body));
}

void request_desk::endAnswer(open_request &Open, const attempt_outcome &Outcome,
                             time_point Now) {
  const auto Whole =
      Open.Chosen ? Open.Whole.find(*Open.Chosen) : Open.Whole.end();
  if (Open.Sink) {
    Open.Requesters.front()->finish();
    close(Open, Outcome, {}, false, Now);
    return;
  }
  if (Whole == Open.Whole.end()) {
    tellOutcome(Open, {Outcome, "answer_lost"}, Now);
    return;
  }
  http_response Response{.Status = Whole->second.Status,
                         .Headers = std::move(Whole->second.Headers),
                         .Body = std::move(Whole->second.Body)};
  Response.Headers.add(std::string(OutcomeHeader),
                       std::string(outcomeText(request_outcome::Done)));
  std::string Kept = Open.Submission ? Response.Body : std::string();
  respondToAll(Open.Requesters, Response);
  close(Open, Outcome, std::move(Kept), true, Now);
}

void request_desk::abortAnswer(open_request &Open,
                               const attempt_outcome &Outcome, time_point Now) {
  logEvent(log_event::TransferAborted, {{"request", Open.Entry.Id.text()}});
  if (Open.Sink)
    Open.Requesters.front()->abort();
  else
    respondToAll(Open.Requesters,
                 outcomeResponse(UnknownStatus, request_outcome::Unknown,
                                 "answer_broken"));
  close(Open, Outcome, {}, false, Now);
}

void request_desk::tellOutcome(open_request &Open, const report_outcome &Told,
                               time_point Now) {
  const request_outcome Outcome = Told.Outcome.Reported;
  if (Outcome == request_outcome::Unknown)
    logEvent(log_event::RequestOutcomeUnknown,
             {{"request", Open.Entry.Id.text()}, {"reason", Told.Reason}});
  const int Status = Outcome == request_outcome::Done
                         ? Told.Outcome.Status.value()
                     : Outcome == request_outcome::NotRun ? NotRunStatus
                                                          : UnknownStatus;
  respondToAll(Open.Requesters,
               outcomeResponse(Status, Outcome, Told.Reason,
                               Outcome == request_outcome::NotRun
                                   ? NotRunPause
                                   : std::chrono::milliseconds(0)));
  close(Open, Told.Outcome, {}, false, Now);
}

void request_desk::close(open_request &Open, const attempt_outcome &Outcome,
                         std::string Body, bool IsBodyKept, time_point Now) {
  Options.OnEnded(Open.Entry, Outcome.Reported, Now - Open.Started);
  if (Open.Entry.Kind == service_catalogue::RecordKind)
    Options.Audit({Open.Entry.Caller, Open.Path, false,
                   Outcome.Reported == request_outcome::Done ? "complete"
                                                             : "incomplete"});
  if (Open.Submission) {
    Running.erase(*Open.Submission);
    Submissions.finished(*Open.Submission,
                         {Outcome, std::move(Body), !IsBodyKept}, Now);
  }
  Requests.erase(Open.Entry.Id);
}

void request_desk::whole(const attempt_id &Attempt, int Status,
                         http_headers Headers, std::string Body) {
  open_request *Open = find(Attempt.Request);
  if (Open == nullptr)
    return;
  const byte_count Size(Body.size());
  // Responses to HEAD and those without a body announce a length that does not
  // follow.
  const answer_head Head = answerHeadOf(Attempt.Request, Status, Headers, Size);
  Open->Whole[Attempt] = {Status, std::move(Headers), std::move(Body)};
  run(Engine.answerHead(Attempt, Head, CurrentTime), CurrentTime);
  run(Engine.dataRelayed(Attempt, Size, CurrentTime), CurrentTime);
}

void request_desk::head(const attempt_id &Attempt, int Status,
                        http_headers Headers,
                        std::shared_ptr<answer_relay> Relay) {
  open_request *Open = find(Attempt.Request);
  if (Open == nullptr)
    return;
  const answer_head Head =
      answerHeadOf(Attempt.Request, Status, Headers, contentLength(Headers));
  Open->Streamed[Attempt] = {Status, std::move(Headers), std::move(Relay)};
  run(Engine.answerHead(Attempt, Head, CurrentTime), CurrentTime);
}

void request_desk::ended(const attempt_id &Attempt, const attempt_end &End) {
  run(Engine.answerEnded(Attempt, End, CurrentTime), CurrentTime);
}

void request_desk::lost(const attempt_id &Attempt, forward_loss Loss,
                        time_point Now) {
  run(Engine.forwardLost(Attempt, Loss, Now), Now);
}

void request_desk::fenceReplied(const fence_reply &Reply, time_point Now) {
  run(Engine.fenceReplied(Reply, Now), Now);
}

void request_desk::handle(const answer_progress &Event, time_point Now) {
  run(Engine.dataRelayed(Event.Attempt, Event.Bytes, Now), Now);
}

void request_desk::handle(const answer_paused &Event, time_point Now) {
  Engine.transferPaused(Event.Attempt.Request, Event.IsPaused, Now);
}

void request_desk::tick(time_point Now) {
  run(Engine.tick(Now), Now);
  if (Now < NextTableTick)
    return;
  NextTableTick = Now + TableInterval;
  Submissions.tick(Now);
}
