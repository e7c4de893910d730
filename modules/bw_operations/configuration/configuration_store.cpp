#include "bw_operations/configuration/configuration_store.h"

#include "bw_operations/configuration/configuration_changes.h"
#include "bw_operations/errors/operations_errors.h"
#include "bw_schema/parse/bounded_parse.h"
#include "bw_schema/validation/configuration_validator.h"
#include "bw_schema/validation/names.h"

#include <algorithm>
#include <chrono>

using namespace bw;

namespace {

const object_key HeadKey{.Kind = "configuration", .Name = "head"};

// Tries of a head update whose answer was lost; each repeats the same
// conditional update, which can take effect once at most.
constexpr int MaxHeadTries = 3;

// Tries of reading head and chunks: a change between the two removes chunks.
constexpr int MaxReadTries = 5;

// Tries of a change: each begins anew after the service has come back from an
// older copy.
constexpr int MaxChangeTries = 3;

constexpr std::size_t MaxListedChanges = 100;

std::optional<schema::configuration_head>
tryDecodeHead(const std::string &Value) {
  schema::configuration_head Head;
  return parseBounded(Value, Head) ? std::optional(Head) : std::nullopt;
}

schema::configuration_head decodeHead(const std::string &Value) {
  const auto Head = tryDecodeHead(Value);
  if (!Head)
    throw stored_object_error("configuration/head");
  return *Head;
}

const schema::applied_change *findRecent(const schema::configuration_head &Head,
                                         const std::string &Change) {
  const auto Found = std::find_if(
      Head.recent().begin(), Head.recent().end(),
      [&](const auto &Each) { return Each.change_id() == Change; });
  return Found == Head.recent().end() ? nullptr : &*Found;
}

schema::applied_change lastChange(const schema::configuration_head &Head) {
  schema::applied_change Result;
  Result.set_version(Head.version());
  Result.set_change_id(Head.change_id());
  Result.set_applier(Head.applier());
  Result.set_applied_at_ms(Head.applied_at_ms());
  return Result;
}

change_result invalid(const std::string &Field, const std::string &Reason) {
  return {
      .Outcome = change_outcome::Invalid,
      .Change = {},
      .Faults = {{.File = "", .Line = 0, .Field = Field, .Reason = Reason}}};
}

schema::configuration_head nextHead(const schema::configuration_head &Before,
                                    const schema::applied_change &Change) {
  schema::configuration_head Next;
  Next.set_version(Change.version());
  Next.set_change_id(Change.change_id());
  Next.set_applier(Change.applier());
  Next.set_applied_at_ms(Change.applied_at_ms());
  *Next.add_recent() = Change;
  for (const schema::applied_change &Earlier : Before.recent())
    if (Next.recent_size() < RememberedChanges)
      *Next.add_recent() = Earlier;
  return Next;
}

} // namespace

// Head and configuration of one version, with what is needed to replace them.
struct configuration_store::stored_state {
  schema::configuration_head Head;
  object_position HeadPosition;
  schema::configuration Configuration;
  chunk_positions Chunks;

  // True for what was read or written after a restore of the service.
  bool isBefore(store_era Era) const {
    return HeadPosition.Era != store_era() && HeadPosition.Era < Era;
  }
};

struct configuration_store::head_write {
  change_result Result;
  // Era of the service in which the head was found or written.
  store_era Era;
  // The service has come back, and the change had no effect.
  bool IsRestored = false;
};

std::uint64_t configuration_store_options::currentMilliseconds() {
  const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch)
      .count();
}

configuration_store::configuration_store(
    configuration_store_options GivenOptions)
    : Options(std::move(GivenOptions)) {}

std::optional<schema::configuration_head>
configuration_store::readHead() const {
  const read_answer Answer = Options.Store.Read(HeadKey);
  if (Answer.Outcome == read_outcome::Unavailable)
    throw platform_unavailable_error();
  if (Answer.Outcome == read_outcome::Absent)
    return std::nullopt;
  return decodeHead(Answer.Object.Value);
}

std::optional<configuration_store::stored_state>
configuration_store::tryReadState() const {
  const read_answer Answer = Options.Store.Read(HeadKey);
  if (Answer.Outcome == read_outcome::Unavailable)
    throw platform_unavailable_error();
  stored_state State;
  if (Answer.Outcome == read_outcome::Absent)
    return State;
  State.Head = decodeHead(Answer.Object.Value);
  State.HeadPosition = Answer.Object.Position;
  const std::vector<std::string> Hashes(State.Head.chunks().begin(),
                                        State.Head.chunks().end());
  auto Loaded = chunk_store(Options.Store).load(Hashes);
  if (!Loaded)
    return std::nullopt;
  for (const auto &[Hash, Position] : Loaded->Positions)
    if (Position.Era != State.HeadPosition.Era)
      return std::nullopt;
  State.Configuration = joinChunks(Loaded->Chunks);
  State.Chunks = std::move(Loaded->Positions);
  return State;
}

configuration_store::stored_state configuration_store::readState() const {
  for (int Try = 0; Try < MaxReadTries; ++Try)
    if (auto State = tryReadState())
      return std::move(*State);
  throw stored_object_error("configuration/head: a chunk is missing");
}

schema::configuration configuration_store::read() const {
  stored_state State = readState();
  State.Configuration.set_version(State.Head.version());
  State.Configuration.set_change_id(State.Head.change_id());
  State.Configuration.set_applier(State.Head.applier());
  return std::move(State.Configuration);
}

std::optional<schema::applied_change>
configuration_store::findChange(const change_id &Change) const {
  const auto Head = readHead();
  if (!Head)
    return std::nullopt;
  const schema::applied_change *Found = findRecent(*Head, Change.value());
  return Found == nullptr ? std::nullopt : std::optional(*Found);
}

change_result configuration_store::apply(const change_order &Order) const {
  if (!isMixedCaseName(Order.Change.value()))
    return invalid("change_id", "must have 1 to 64 characters of a-z, A-Z, "
                                "0-9, '.', '_', '-'");
  try {
    for (int Try = 0; Try < MaxChangeTries; ++Try)
      if (auto Result = applyTo(readState(), Order))
        return std::move(*Result);
  } catch (const platform_unavailable_error &) {
    // Thrown only before the head is written.
  }
  return {.Outcome = change_outcome::Unavailable, .Change = {}, .Faults = {}};
}

std::optional<change_result>
configuration_store::applyTo(const stored_state &State,
                             const change_order &Order) const {
  if (const auto *Before = findRecent(State.Head, Order.Change.value())) {
    if (Before->applier() != Order.Applier.value())
      return invalid("change_id", "was used by another operator");
    return change_result{.Outcome = change_outcome::AcceptedBefore,
                         .Change = *Before,
                         .Faults = {}};
  }
  if (State.Head.version() != Order.Expected.value())
    return change_result{.Outcome = change_outcome::Conflict,
                         .Change = lastChange(State.Head),
                         .Faults = {}};
  const schema::configuration Next =
      mergeDeclared(State.Configuration, Order.Declared, Order.Prune);
  std::vector<field_fault> Faults = validateConfiguration(Next);
  if (!Faults.empty())
    return change_result{.Outcome = change_outcome::Invalid,
                         .Change = {},
                         .Faults = std::move(Faults)};
  const auto Changes = compareConfigurations(State.Configuration, Next);
  // Hosts keep a version that the service has lost, and put only a higher one
  // in force.
  const std::uint64_t Newest =
      std::max(State.Head.version(), Options.NewestKnown().value());
  if (Changes.empty() && Newest == State.Head.version())
    return change_result{.Outcome = change_outcome::Unchanged,
                         .Change = lastChange(State.Head),
                         .Faults = {}};
  schema::applied_change Change;
  Change.set_version(Newest + 1);
  Change.set_change_id(Order.Change.value());
  Change.set_applier(Order.Applier.value());
  Change.set_applied_at_ms(Options.WallClock());
  Change.set_change_count(static_cast<std::uint32_t>(Changes.size()));
  for (std::size_t Index = 0;
       Index < std::min(Changes.size(), MaxListedChanges); ++Index)
    *Change.add_changes() = Changes[Index];
  return store(State, Next, Change);
}

std::optional<change_result>
configuration_store::store(const stored_state &State,
                           const schema::configuration &Next,
                           const schema::applied_change &Change) const {
  chunk_store Chunks(Options.Store);
  schema::configuration_head Head = nextHead(State.Head, Change);
  chunk_positions Written;
  chunk_positions Obsolete = State.Chunks;
  for (const configuration_chunk &Chunk : splitConfiguration(Next)) {
    Head.add_chunks(Chunk.Hash);
    if (Obsolete.erase(Chunk.Hash) == 0)
      Written.emplace(Chunk.Hash, Chunks.put(Chunk));
  }
  head_write Write = writeHead(State, Head);
  if (Write.IsRestored)
    return std::nullopt;
  if (Write.Result.Outcome == change_outcome::Conflict)
    Chunks.removeAll(Written);
  if (Write.Result.Outcome != change_outcome::Accepted)
    return std::move(Write.Result);
  if (!State.isBefore(Write.Era))
    Chunks.removeAll(Obsolete);
  // The copy may lack chunks that were there before.
  else if (!putAll(Next))
    Write.Result.Outcome = change_outcome::Unknown;
  Options.OnAccepted(Write.Result.Change);
  return std::move(Write.Result);
}

bool configuration_store::putAll(const schema::configuration &Next) const {
  chunk_store Chunks(Options.Store);
  try {
    for (const configuration_chunk &Chunk : splitConfiguration(Next))
      Chunks.put(Chunk);
    return true;
  } catch (const platform_unavailable_error &) {
    return false;
  }
}

configuration_store::head_write
configuration_store::writeHead(const stored_state &State,
                               const schema::configuration_head &Next) const {
  const std::string Value = Next.SerializeAsString();
  bool MayHaveTakenEffect = false;
  for (int Try = 0; Try < MaxHeadTries; ++Try) {
    const write_answer Answer =
        State.HeadPosition == object_position()
            ? Options.Store.Create(HeadKey, Value)
            : Options.Store.Update(HeadKey, Value, State.HeadPosition);
    if (Answer.Outcome == write_outcome::Stored)
      return {.Result = {.Outcome = change_outcome::Accepted,
                         .Change = Next.recent(0),
                         .Faults = {}},
              .Era = Answer.Position.Era};
    const bool IsCertain = Answer.Outcome == write_outcome::Unavailable ||
                           Answer.Outcome == write_outcome::Refused;
    if (IsCertain && !MayHaveTakenEffect)
      return {.Result = {.Outcome = change_outcome::Unavailable}};
    MayHaveTakenEffect |= Answer.Outcome == write_outcome::AnswerLost;
    if (auto Settled = settle(State, Next, MayHaveTakenEffect))
      return std::move(*Settled);
    // A conflict whose winner cannot be read is still no effect, unless an
    // earlier try of this change has caused it.
    if (!MayHaveTakenEffect)
      return {.Result = {.Outcome = change_outcome::Unavailable}};
  }
  return {.Result = {.Outcome = change_outcome::Unknown,
                     .Change = Next.recent(0),
                     .Faults = {}}};
}

// Reads the head back. Nothing when that does not decide: it cannot be read, or
// it is unchanged, so that an update on its way may still take effect.
std::optional<configuration_store::head_write>
configuration_store::settle(const stored_state &State,
                            const schema::configuration_head &Next,
                            bool MayHaveTakenEffect) const {
  const read_answer Answer = Options.Store.Read(HeadKey);
  if (Answer.Outcome != read_outcome::Found ||
      Answer.Object.Position == State.HeadPosition)
    return std::nullopt;
  const auto Head = tryDecodeHead(Answer.Object.Value);
  if (!Head)
    return std::nullopt;
  head_write Result{.Result = {}, .Era = Answer.Object.Position.Era};
  if (const auto *Found = findRecent(*Head, Next.change_id())) {
    Result.Result = {
        .Outcome = change_outcome::Accepted, .Change = *Found, .Faults = {}};
    return Result;
  }
  // A change that took effect in the era before may be in force at some hosts.
  if (State.isBefore(Result.Era)) {
    Result.Result = {.Outcome = change_outcome::Unknown,
                     .Change = Next.recent(0),
                     .Faults = {}};
    Result.IsRestored = !MayHaveTakenEffect;
    return Result;
  }
  const bool IsForgotten =
      Head->version() >= Next.version() + RememberedChanges;
  if (IsForgotten)
    return std::nullopt;
  Result.Result = {.Outcome = change_outcome::Conflict,
                   .Change = lastChange(*Head),
                   .Faults = {}};
  return Result;
}
