#include "bw_daemon/platform/platform_service.h"

#include "bw_core/random/stable_hash.h"
#include "bw_daemon/decide/decide_service.h"
#include "bw_daemon/requests/caller_refusal.h"
#include "bw_daemon/requests/ticket_text.h"
#include "bw_kernel/log/log_event.h"
#include "bw_kernel/services/service_registry.h"
#include "bw_operations/errors/operations_errors.h"
#include "bw_schema/hash/sha256.h"

#include <nlohmann/json.hpp>

#include <algorithm>

using namespace bw;

namespace {

constexpr std::chrono::milliseconds RetryInterval{500};
constexpr const char *ClaimKind = "claim";

std::uint64_t wallClockMilliseconds() {
  return configuration_store_options::currentMilliseconds();
}

object_key claimKey(const submission_identity &Identity) {
  // Length prefixes keep different identities from one text.
  std::string Text;
  for (const std::string *Part :
       {&Identity.Caller.value(), &Identity.Service.value(),
        &Identity.Key.value()})
    Text += std::to_string(Part->size()) + ":" + *Part;
  return {ClaimKind, sha256Hex(Text)};
}

claim_answer claimFrom(const read_answer &Answer) {
  if (Answer.Outcome == read_outcome::Absent)
    return {claim_answer_kind::Absent, {}};
  if (Answer.Outcome == read_outcome::Unavailable)
    return {claim_answer_kind::Lost, {}};
  const auto Holder = parseClaim(Answer.Object.Value);
  // An object that cannot be read is treated as lost: nothing may run.
  return Holder ? claim_answer{claim_answer_kind::Exists, *Holder}
                : claim_answer{claim_answer_kind::Lost, {}};
}

claim_answer createClaim(const object_store &Store, const object_key &Key,
                         const submission_claim &Claim) {
  const write_answer Written = Store.Create(Key, formatClaim(Claim));
  switch (Written.Outcome) {
  case write_outcome::Stored:
    return {claim_answer_kind::Created, Claim};
  case write_outcome::VersionConflict:
    return claimFrom(Store.Read(Key));
  case write_outcome::Absent:
  case write_outcome::Refused:
  case write_outcome::Unavailable:
    return {claim_answer_kind::Unavailable, {}};
  case write_outcome::AnswerLost:
    break;
  }
  return {claim_answer_kind::Lost, {}};
}

http_response confirmationResponse(const confirmation_result &Result) {
  if (Result.Outcome == confirmation_outcome::NotRecorded)
    return outcomeResponse(503, request_outcome::NotRun, "not_recorded",
                           std::chrono::seconds(1));
  if (Result.Outcome == confirmation_outcome::Unknown)
    return outcomeResponse(504, request_outcome::Unknown,
                           "confirmation_unknown");
  const schema::confirmation_record &Record = Result.Record;
  const bool IsNew = Result.Outcome == confirmation_outcome::Recorded;
  http_response Response;
  Response.Status = IsNew ? 201 : 200;
  Response.Headers.add("Content-Type", "application/json");
  Response.Headers.add(std::string(OutcomeHeader), "done");
  Response.Body = nlohmann::json{{"outcome", "done"},
                                 {"order", Record.order()},
                                 {"record", Record.record()},
                                 {"caller", Record.caller()},
                                 {"recorded_at_ms", Record.recorded_at_ms()},
                                 {"host", Record.host()},
                                 {"recorded_before", !IsNew}}
                      .dump() +
                  "\n";
  return Response;
}

} // namespace

platform_service::platform_service(runtime_clock &GivenClock,
                                   platform_service_options GivenOptions)
    : service(std::string(ServiceName)), Clock(GivenClock),
      Options(std::move(GivenOptions)),
      Client({.Url = Options.Url, .Timeout = Options.Timeout}),
      Store(Client.objectStore()), Configuration({.Store = Store}),
      Confirmations({.Store = Store,
                     .Host = Options.Host,
                     .WallClock = wallClockMilliseconds,
                     .Nonce =
                         [this] {
                           return std::to_string(mixHash(
                               Options.Incarnation.value(), ++LastNonce));
                         }}),
      Operations(
          {.Configuration = {.Store = Store,
                             .NewestKnown = [this] { return newestVersion(); },
                             .OnAccepted =
                                 [this](const schema::applied_change &Change) {
                                   logEvent(log_event::ChangeAccepted,
                                            {{"version",
                                              std::to_string(Change.version())},
                                             {"change", Change.change_id()}});
                                   Decide->push(head_seen{
                                       config_version(Change.version())});
                                 }},
           .Audit = Store,
           .Status = [this] { return Options.Status(); },
           .Drain = [this](const host_id &Host) { return Options.Drain(Host); },
           .BurnReport = [this] { return Options.BurnReport(); },
           .OnAudit =
               [this](schema::audit_entry::audit_event Event,
                      const operator_id &Operator, const std::string &Detail) {
                 audit(Event, Operator.value(), "", "", Detail);
               },
           .OnMalformedSegment =
               [](const std::string &Name) {
                 logEvent(log_event::InputMalformed,
                          {{"kind", "audit"}, {"name", Name}});
               }}),
      Audit(Store), AuditEntries({.Collector = Options.Host}),
      Commands(Clock, {.Capacity = 4'096}) {}

// Also counts versions that the platform's service may have lost.
config_version platform_service::newestVersion() const {
  config_version Result;
  const schema::status_answer Status = Options.Status();
  for (const schema::host_status &Each : Status.hosts())
    Result = std::max(Result, config_version(Each.config_version()));
  return Result;
}

void platform_service::attach(service_registry &Registry) {
  Decide = &Registry.find<decide_service>(decide_service::ServiceName).events();
}

void platform_service::start() {
  send(read_configuration{});
  Thread = std::thread([this] { run(); });
}

void platform_service::stop() {
  Commands.close();
  if (Thread.joinable())
    Thread.join();
}

void platform_service::send(platform_command Command) {
  // The ring takes the command by value, so a copy is kept for the refusal.
  platform_command Copy = Command;
  if (!Commands.push(std::move(Command)))
    refuse(Copy);
}

void platform_service::refuse(platform_command &Command) {
  if (const auto *Claim = std::get_if<settle_claim>(&Command))
    Decide->push(
        claim_answered{Claim->Identity, {claim_answer_kind::Unavailable, {}}});
  else if (const auto *Confirm = std::get_if<record_confirmation>(&Command))
    Confirm->From->respond(outcomeResponse(
        503, request_outcome::NotRun, "not_recorded", std::chrono::seconds(1)));
  else if (const auto *Call = std::get_if<operator_call>(&Command))
    Call->From->respond(outcomeResponse(503, request_outcome::NotRun,
                                        "store_unavailable",
                                        std::chrono::seconds(1)));
  else if (std::holds_alternative<write_audit>(Command))
    logEvent(log_event::AuditEntriesLost, {{"count", "1"}});
}

time_point platform_service::nextDue() const {
  time_point Due = RetryAt;
  if (const auto AuditDue = AuditEntries.nextDue())
    Due = std::min(Due, std::max(*AuditDue, AuditRetryAt));
  return Due;
}

void platform_service::run() {
  while (true) {
    auto Command = Commands.pop(nextDue());
    if (Command)
      std::visit([this](auto &Given) { carryOut(Given); }, *Command);
    const time_point Now = Clock.now();
    if (Now >= RetryAt) {
      RetryAt = time_point::max();
      read_configuration Again;
      carryOut(Again);
    }
    flushAudit();
    // A closed ring hands out what it holds, then nothing.
    if (!Command && Commands.isClosed())
      return;
  }
}

void platform_service::noteStore(bool IsAvailable) {
  if (IsAvailable == WasAvailable)
    return;
  WasAvailable = IsAvailable;
  logEvent(IsAvailable ? log_event::PlatformRestored
                       : log_event::PlatformUnavailable,
           {{"url", Options.Url}});
}

void platform_service::carryOut(read_configuration &) {
  try {
    schema::configuration Read = Configuration.read();
    noteStore(true);
    const config_version Version(Read.version());
    Decide->push(catalogue_loaded{
        std::make_shared<const service_catalogue>(std::move(Read))});
    Decide->push(head_seen{Version});
  } catch (const platform_unavailable_error &) {
    noteStore(false);
    Decide->push(store_away{});
    RetryAt = Clock.now() + RetryInterval;
  } catch (const error &Failure) {
    logEvent(log_event::ConfigurationRefused, {{"reason", Failure.what()}});
    RetryAt = Clock.now() + RetryInterval;
  }
}

void platform_service::carryOut(settle_claim &Command) {
  const object_key Key = claimKey(Command.Identity);
  claim_answer Answer = Command.Claim ? createClaim(Store, Key, *Command.Claim)
                                      : claimFrom(Store.Read(Key));
  Decide->push(claim_answered{Command.Identity, std::move(Answer)});
}

void platform_service::carryOut(record_confirmation &Command) {
  const confirm_request &Request = Command.Request;
  confirmation_result Result;
  try {
    Result =
        Confirmations.confirm(Request.Order, Request.Record, Request.Caller);
  } catch (const error &Failure) {
    logEvent(log_event::ServiceFailed, {{"reason", Failure.what()}});
  }
  Command.From->respond(confirmationResponse(Result));
  if (Result.Outcome != confirmation_outcome::Recorded)
    return;
  logEvent(
      log_event::ConfirmationRecorded,
      {{"order", Request.Order.value()}, {"record", Request.Record.value()}});
  audit(schema::audit_entry::confirmed, Request.Caller.value(),
        Request.Order.value(), Request.Record.value(), "");
}

void platform_service::carryOut(operator_call &Command) {
  const rpc_reply Reply =
      Operations.call(Command.Path, Command.Body, Command.Operator);
  http_response Response;
  Response.Status = Reply.Status;
  Response.Headers.add("Content-Type", "application/json");
  Response.Body = Reply.Body;
  Command.From->respond(std::move(Response));
}

void platform_service::carryOut(write_audit &Command) {
  if (!AuditEntries.add(std::move(Command.Entry), Clock.now()))
    logEvent(log_event::AuditEntriesLost, {{"count", "1"}});
}

void platform_service::flushAudit() {
  const time_point Now = Clock.now();
  if (Now < AuditRetryAt)
    return;
  const auto Segment = AuditEntries.due(Now);
  if (!Segment)
    return;
  switch (Audit.write(*Segment)) {
  case audit_write_outcome::Written:
    AuditEntries.acknowledge();
    break;
  case audit_write_outcome::Unconfirmed:
    AuditRetryAt = Now + RetryInterval;
    break;
  case audit_write_outcome::NameTaken:
    AuditEntries.renumber();
    break;
  }
}

void platform_service::audit(schema::audit_entry::audit_event Event,
                             const std::string &Actor, const std::string &Order,
                             const std::string &Record,
                             const std::string &Detail) {
  schema::audit_entry Entry;
  Entry.set_at_ms(wallClockMilliseconds());
  Entry.set_host(Options.Host.value());
  Entry.set_incarnation(Options.Incarnation.value());
  Entry.set_sequence(++LastAuditSequence);
  Entry.set_event(Event);
  Entry.set_actor(Actor);
  Entry.set_order(Order);
  Entry.set_record(Record);
  Entry.set_detail(Detail);
  send(write_audit{std::move(Entry)});
}
