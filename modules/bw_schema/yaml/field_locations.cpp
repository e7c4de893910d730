#include "bw_schema/yaml/field_locations.h"

using namespace bw;

void field_locations::add(std::string Path, field_location Location) {
  Locations.insert_or_assign(std::move(Path), std::move(Location));
}

const field_location *field_locations::find(std::string_view Path) const {
  while (!Path.empty()) {
    const auto Found = Locations.find(Path);
    if (Found != Locations.end())
      return &Found->second;
    const std::size_t End = Path.find_last_of(".[");
    Path = End == std::string_view::npos ? "" : Path.substr(0, End);
  }
  return nullptr;
}

void field_locations::locate(field_fault &Fault) const {
  std::string_view Known = Fault.Field;
  const field_location *Location = find(Known);
  if (Location == nullptr)
    return;
  // Keep the part of the path below the field whose place is known.
  while (!Locations.contains(Known))
    Known = Known.substr(0, Known.find_last_of(".["));
  const std::string Rest = Fault.Field.substr(Known.size());
  Fault.File = Location->File;
  Fault.Line = Location->Line;
  Fault.Field = Location->Field + Rest;
}
