#include "bw_operations/confirmations/confirmation_store.h"

#include "bw_operations/errors/operations_errors.h"
#include "bw_schema/errors/declaration_error.h"
#include "bw_schema/hash/sha256.h"
#include "bw_schema/json/json_codec.h"

using namespace bw;

namespace {

// Tries of a create whose answer was lost. It repeats the same conditional
// write, which can take effect once at most.
constexpr int MaxTries = 3;

schema::confirmation_record decode(const std::string &Value,
                                   const object_key &Key) {
  schema::confirmation_record Record;
  try {
    parseJson(Value, "", Record);
  } catch (const declaration_error &) {
    throw stored_object_error("confirmation/" + Key.Name);
  }
  return Record;
}

} // namespace

object_key confirmation_store::keyOf(const order_id &Order,
                                     const record_id &Record,
                                     const caller_id &Caller) {
  // Names hold no line break, so the three parts cannot run into each other.
  return {.Kind = "confirmation",
          .Name = sha256Hex(Order.value() + "\n" + Record.value() + "\n" +
                            Caller.value())};
}

confirmation_result confirmation_store::confirm(const order_id &Order,
                                                const record_id &Record,
                                                const caller_id &Caller) const {
  const object_key Key = keyOf(Order, Record, Caller);
  schema::confirmation_record Mine;
  Mine.set_order(Order.value());
  Mine.set_record(Record.value());
  Mine.set_caller(Caller.value());
  Mine.set_recorded_at_ms(Options.WallClock());
  Mine.set_host(Options.Host.value());
  Mine.set_nonce(Options.Nonce());
  // JSON, so that a stored confirmation can be read without this program.
  const std::string Value = formatJson(Mine);
  bool MayBeRecorded = false;
  for (int Try = 0; Try < MaxTries; ++Try) {
    const write_answer Answer = Options.Store.Create(Key, Value);
    if (Answer.Outcome == write_outcome::Stored)
      return {.Outcome = confirmation_outcome::Recorded, .Record = Mine};
    MayBeRecorded |= Answer.Outcome == write_outcome::AnswerLost ||
                     Answer.Outcome == write_outcome::VersionConflict;
    if (!MayBeRecorded)
      return {.Outcome = confirmation_outcome::NotRecorded, .Record = {}};
    if (auto Result = readBack(Key, Mine.nonce()))
      return std::move(*Result);
  }
  return {.Outcome = confirmation_outcome::Unknown, .Record = {}};
}

// Nothing when it cannot be read, or is absent: the lost write may still be on
// its way.
std::optional<confirmation_result>
confirmation_store::readBack(const object_key &Key,
                             const std::string &Nonce) const {
  const read_answer Answer = Options.Store.Read(Key);
  if (Answer.Outcome != read_outcome::Found)
    return std::nullopt;
  schema::confirmation_record Record = decode(Answer.Object.Value, Key);
  const auto Outcome = Record.nonce() == Nonce
                           ? confirmation_outcome::Recorded
                           : confirmation_outcome::RecordedBefore;
  return confirmation_result{.Outcome = Outcome, .Record = std::move(Record)};
}
