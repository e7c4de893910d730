#include "bw_platform/objects/memory_object_store.h"

using namespace bw;

std::size_t memory_object_store::callCount(store_call Call) const {
  const auto Found = CallCounts.find(Call);
  return Found == CallCounts.end() ? 0 : Found->second;
}

store_fault memory_object_store::faultOf(store_call Call,
                                         const object_key &Key) {
  if (IsInsideHook)
    return store_fault::None;
  ++CallCounts[Call];
  IsInsideHook = true;
  const store_fault Fault = Options.OnCall(Call, Key);
  IsInsideHook = false;
  return Fault;
}

object_version memory_object_store::versionOf(const object_key &Key) const {
  const auto Found = Objects.find(Key);
  return Found == Objects.end() ? object_version()
                                : Found->second.Position.Version;
}

object_version memory_object_store::put(const object_key &Key,
                                        const std::string &Value) {
  LastVersion = LastVersion.next();
  Objects[Key] = {.Value = Value, .Position = {Era, LastVersion}};
  return LastVersion;
}

write_answer
memory_object_store::write(store_call Call, const object_key &Key,
                           object_position Expected,
                           const std::function<object_version()> &Apply) {
  const store_fault Fault = faultOf(Call, Key);
  if (Fault == store_fault::NotSent)
    return {.Outcome = write_outcome::Unavailable};
  if (Fault == store_fault::LostBefore)
    return {.Outcome = write_outcome::AnswerLost};
  const object_version Current = versionOf(Key);
  write_answer Answer;
  const bool IsEarlierEra = Expected.Era != store_era() && Expected.Era < Era;
  if (Current == Expected.Version && !IsEarlierEra)
    Answer = {.Outcome = write_outcome::Stored, .Position = {Era, Apply()}};
  else if (Current == object_version() && !IsEarlierEra)
    Answer = {.Outcome = write_outcome::Absent};
  else
    Answer = {.Outcome = write_outcome::VersionConflict,
              .Position = {Era, Current}};
  if (Fault == store_fault::LostAfterWrite)
    return {.Outcome = write_outcome::AnswerLost};
  return Answer;
}

void memory_object_store::takeCopy() {
  CopiedObjects = Objects;
  CopiedVersion = LastVersion;
}

void memory_object_store::restoreCopy() {
  Era = Era.next();
  Objects = CopiedObjects;
  LastVersion = CopiedVersion;
  for (auto &[Key, Object] : Objects)
    Object.Position.Era = Era;
}

object_store memory_object_store::hooks() {
  return {
      .Read =
          [this](const object_key &Key) {
            if (faultOf(store_call::Read, Key) != store_fault::None)
              return read_answer{};
            const auto Found = Objects.find(Key);
            if (Found == Objects.end())
              return read_answer{.Outcome = read_outcome::Absent, .Object = {}};
            return read_answer{.Outcome = read_outcome::Found,
                               .Object = Found->second};
          },
      .Create =
          [this](const object_key &Key, const std::string &Value) {
            return write(store_call::Create, Key, object_position(),
                         [&] { return put(Key, Value); });
          },
      .Update =
          [this](const object_key &Key, const std::string &Value,
                 object_position Expected) {
            return write(store_call::Update, Key, Expected,
                         [&] { return put(Key, Value); });
          },
      .Remove =
          [this](const object_key &Key, object_position Expected) {
            return write(store_call::Remove, Key, Expected, [&] {
              Objects.erase(Key);
              return object_version();
            });
          },
      .List =
          [this](const std::string &Kind, const std::string &After,
                 std::size_t Limit) {
            if (faultOf(store_call::List, {Kind, After}) != store_fault::None)
              return list_answer{};
            list_answer Answer{.Outcome = read_outcome::Found, .Objects = {}};
            for (auto Each = Objects.upper_bound({Kind, After});
                 Each != Objects.end() && Each->first.Kind == Kind &&
                 Answer.Objects.size() < Limit;
                 ++Each)
              Answer.Objects.push_back(
                  {Each->first.Name, Each->second.Position});
            return Answer;
          }};
}
