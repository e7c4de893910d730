#include "bw_operations/audit/audit_store.h"

#include "bw_operations/errors/operations_errors.h"
#include "bw_schema/parse/bounded_parse.h"

#include <cstdio>

using namespace bw;

namespace {

const std::string Kind = "audit";

// Adds the object of this name. Returns the size of its value.
std::size_t readSegment(const object_store &Store, const std::string &Name,
                        audit_page &Page) {
  const read_answer Answer = Store.Read({.Kind = Kind, .Name = Name});
  if (Answer.Outcome != read_outcome::Found)
    throw platform_unavailable_error();
  schema::audit_segment Segment;
  if (parseBounded(Answer.Object.Value, Segment))
    Page.Segments.push_back(std::move(Segment));
  else
    Page.Malformed.push_back(Name);
  return Answer.Object.Value.size();
}

} // namespace

std::string audit_store::nameOf(const schema::audit_segment &Segment) {
  const std::uint64_t First =
      Segment.entries_size() == 0 ? 0 : Segment.entries(0).at_ms();
  char Time[24];
  std::snprintf(Time, sizeof Time, "%015llu",
                static_cast<unsigned long long>(First));
  return std::string(Time) + "-" + Segment.collector() + "-" +
         std::to_string(Segment.number());
}

audit_write_outcome
audit_store::write(const schema::audit_segment &Segment) const {
  const object_key Key{.Kind = Kind, .Name = nameOf(Segment)};
  const std::string Value = Segment.SerializeAsString();
  const write_answer Answer = Store.Create(Key, Value);
  if (Answer.Outcome == write_outcome::Stored)
    return audit_write_outcome::Written;
  const bool MayBeThere = Answer.Outcome == write_outcome::AnswerLost ||
                          Answer.Outcome == write_outcome::VersionConflict;
  if (!MayBeThere)
    return audit_write_outcome::Unconfirmed;
  const read_answer Read = Store.Read(Key);
  if (Read.Outcome != read_outcome::Found)
    return audit_write_outcome::Unconfirmed;
  return Read.Object.Value == Value ? audit_write_outcome::Written
                                    : audit_write_outcome::NameTaken;
}

audit_page audit_store::read(const std::string &After,
                             std::size_t Limit) const {
  audit_page Page;
  std::string Place = After;
  std::size_t Size = 0;
  const auto Count = [&Page] {
    return Page.Segments.size() + Page.Malformed.size();
  };
  while (Count() < Limit) {
    const std::size_t Wanted = Limit - Count();
    const list_answer Listed = Store.List(Kind, Place, Wanted);
    if (Listed.Outcome != read_outcome::Found)
      throw platform_unavailable_error();
    for (const listed_object &Each : Listed.Objects) {
      Place = Each.Name;
      // Other writers' objects hold no segments.
      if (!isObjectName(Each.Name))
        continue;
      Size += readSegment(Store, Each.Name, Page);
      Page.Next = Each.Name;
      if (Size >= PageSize.value())
        return Page;
    }
    if (Listed.Objects.size() < Wanted) {
      Page.Next.clear();
      break;
    }
  }
  return Page;
}
