#include "bw_operations/configuration/configuration_changes.h"

#include "bw_schema/chunks/configuration_chunks.h"

#include <google/protobuf/util/message_differencer.h>

#include <map>
#include <unordered_set>

using namespace bw;
using google::protobuf::RepeatedPtrField;
using google::protobuf::util::MessageDifferencer;

namespace {

template <typename Object>
void keepUndeclared(const RepeatedPtrField<Object> &Stored,
                    const RepeatedPtrField<Object> &Declared,
                    RepeatedPtrField<Object> &Into) {
  std::unordered_set<std::string_view> Names;
  for (const Object &Each : Declared)
    Names.insert(Each.name());
  for (const Object &Each : Stored)
    if (!Names.contains(Each.name()))
      *Into.Add() = Each;
}

class comparison {
public:
  template <typename Object>
  void compare(const std::string &Kind, const RepeatedPtrField<Object> &Before,
               const RepeatedPtrField<Object> &After) {
    std::map<std::string_view, const Object *> Old;
    for (const Object &Each : Before)
      Old.emplace(Each.name(), &Each);
    for (const Object &Each : After) {
      const auto Found = Old.find(Each.name());
      if (Found == Old.end()) {
        add(schema::object_change::added, Kind, Each.name());
        continue;
      }
      if (!MessageDifferencer::Equals(*Found->second, Each))
        add(schema::object_change::replaced, Kind, Each.name());
      Old.erase(Found);
    }
    for (const auto &Left : Old)
      add(schema::object_change::removed, Kind, std::string(Left.first));
  }

  std::vector<schema::object_change> take() { return std::move(Changes); }

private:
  void add(schema::object_change::change_action Action, const std::string &Kind,
           const std::string &Name) {
    schema::object_change Change;
    Change.set_action(Action);
    Change.set_kind(Kind);
    Change.set_name(Name);
    Changes.push_back(std::move(Change));
  }

  std::vector<schema::object_change> Changes;
};

} // namespace

schema::configuration bw::mergeDeclared(const schema::configuration &Stored,
                                        const schema::configuration &Declared,
                                        bool Prune) {
  schema::configuration Result = Declared;
  Result.clear_version();
  Result.clear_change_id();
  Result.clear_applier();
  if (Prune)
    return Result;
  keepUndeclared(Stored.services(), Declared.services(),
                 *Result.mutable_services());
  keepUndeclared(Stored.routes(), Declared.routes(), *Result.mutable_routes());
  keepUndeclared(Stored.callers(), Declared.callers(),
                 *Result.mutable_callers());
  keepUndeclared(Stored.orders(), Declared.orders(), *Result.mutable_orders());
  return Result;
}

std::vector<schema::object_change>
bw::compareConfigurations(schema::configuration Before,
                          schema::configuration After) {
  sortConfiguration(Before);
  sortConfiguration(After);
  comparison Comparison;
  Comparison.compare("service", Before.services(), After.services());
  Comparison.compare("route", Before.routes(), After.routes());
  Comparison.compare("caller", Before.callers(), After.callers());
  Comparison.compare("order", Before.orders(), After.orders());
  return Comparison.take();
}
