#include "bw_stand_ins/platform/object_table.h"

using namespace bw;

std::optional<stored_object> object_table::get(const std::string &Kind,
                                               const std::string &Name) const {
  const auto Found = Objects.find({Kind, Name});
  if (Found == Objects.end())
    return std::nullopt;
  return Found->second;
}

object_version object_table::versionOf(const object_key &Key) const {
  const auto Found = Objects.find(Key);
  return Found == Objects.end() ? object_version() : Found->second.Version;
}

object_table::write_result
object_table::put(const std::string &Kind, const std::string &Name,
                  std::string Value, std::optional<object_version> Expected) {
  const object_key Key{Kind, Name};
  const object_version Current = versionOf(Key);
  if (Expected && *Expected != Current)
    return {store_outcome::Conflict, Current};
  LastVersion = LastVersion.next();
  Objects[Key] = {std::move(Value), LastVersion};
  return {store_outcome::Stored, LastVersion};
}

object_table::write_result
object_table::remove(const std::string &Kind, const std::string &Name,
                     std::optional<object_version> Expected) {
  const object_key Key{Kind, Name};
  const object_version Current = versionOf(Key);
  if (Current == object_version())
    return {store_outcome::Absent, Current};
  if (Expected && *Expected != Current)
    return {store_outcome::Conflict, Current};
  Objects.erase(Key);
  return {store_outcome::Stored, object_version()};
}

std::vector<std::pair<std::string, object_version>>
object_table::list(const std::string &Kind, const std::string &After,
                   std::size_t Limit) const {
  std::vector<std::pair<std::string, object_version>> Result;
  for (auto Entry = Objects.upper_bound({Kind, After});
       Entry != Objects.end() && Entry->first.first == Kind &&
       Result.size() < Limit;
       ++Entry)
    Result.emplace_back(Entry->first.second, Entry->second.Version);
  return Result;
}
