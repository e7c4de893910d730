#include "bw_emulator/store/versioned_store.h"

using namespace bw;

void versioned_store::record(const std::string &Kind, object Object,
                             bool IsRemoved) {
  Revision = Revision.next();
  Object.Revision = Revision;
  if (IsRemoved)
    Kinds[Kind].erase(Object.Name);
  else
    Kinds[Kind][Object.Name] = Object;
  HistorySize += Object.Value.size();
  History.push_back(
      {.Kind = Kind,
       .Change = {.Object = std::move(Object), .IsRemoved = IsRemoved}});
  while (HistorySize > MaxHistory.value()) {
    const versioned_store::object &Oldest = History.front().Change.Object;
    HistoryStart = Oldest.Revision;
    HistorySize -= Oldest.Value.size();
    History.pop_front();
  }
}

versioned_store::outcome versioned_store::create(const std::string &Kind,
                                                 const std::string &Name,
                                                 std::string Value) {
  if (get(Kind, Name))
    return outcome::Exists;
  record(Kind, {.Name = Name, .Value = std::move(Value)}, false);
  return outcome::Done;
}

versioned_store::outcome
versioned_store::replace(const std::string &Kind, const std::string &Name,
                         std::string Value,
                         std::optional<store_revision> Expected) {
  const auto Known = get(Kind, Name);
  if (!Known)
    return outcome::Absent;
  if (Expected && Known->Revision != *Expected)
    return outcome::Conflict;
  if (Known->Value != Value)
    record(Kind, {.Name = Name, .Value = std::move(Value)}, false);
  return outcome::Done;
}

void versioned_store::put(const std::string &Kind, const std::string &Name,
                          std::string Value) {
  if (replace(Kind, Name, Value) == outcome::Absent)
    create(Kind, Name, std::move(Value));
}

versioned_store::outcome versioned_store::remove(const std::string &Kind,
                                                 const std::string &Name) {
  auto Known = get(Kind, Name);
  if (!Known)
    return outcome::Absent;
  record(Kind, std::move(*Known), true);
  return outcome::Done;
}

std::optional<versioned_store::object>
versioned_store::get(const std::string &Kind, const std::string &Name) const {
  const auto OfKind = Kinds.find(Kind);
  if (OfKind == Kinds.end())
    return std::nullopt;
  const auto Found = OfKind->second.find(Name);
  if (Found == OfKind->second.end())
    return std::nullopt;
  return Found->second;
}

std::vector<versioned_store::object>
versioned_store::list(const std::string &Kind) const {
  std::vector<object> Result;
  const auto OfKind = Kinds.find(Kind);
  if (OfKind != Kinds.end())
    for (const auto &[Name, Object] : OfKind->second)
      Result.push_back(Object);
  return Result;
}

versioned_store::page versioned_store::listPage(const std::string &Kind,
                                                const std::string &After,
                                                std::size_t MaxObjects,
                                                byte_count MaxSize) const {
  page Result;
  const auto OfKind = Kinds.find(Kind);
  if (OfKind == Kinds.end())
    return Result;
  std::size_t Size = 0;
  for (auto Each = OfKind->second.upper_bound(After);
       Each != OfKind->second.end(); ++Each) {
    Size += Each->second.Value.size();
    Result.HasMore = Result.Objects.size() == MaxObjects ||
                     (!Result.Objects.empty() && Size > MaxSize.value());
    if (Result.HasMore)
      break;
    Result.Objects.push_back(Each->second);
  }
  return Result;
}

std::optional<std::vector<versioned_store::change>>
versioned_store::changesAfter(const std::string &Kind,
                              store_revision After) const {
  if (After < HistoryStart || After > Revision)
    return std::nullopt;
  std::vector<change> Result;
  for (const recorded_change &Each : History)
    if (Each.Kind == Kind && Each.Change.Object.Revision > After)
      Result.push_back(Each.Change);
  return Result;
}

void versioned_store::dropHistory() {
  History.clear();
  HistorySize = 0;
  HistoryStart = Revision;
}

void versioned_store::restore(const versioned_store &Copy) {
  const store_era Next = Era.next();
  *this = Copy;
  Era = Next;
}
