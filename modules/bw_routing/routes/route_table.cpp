#include "bw_routing/routes/route_table.h"

#include "bw_core/random/stable_hash.h"
#include "bw_routing/routing_error.h"

#include <algorithm>
#include <array>
#include <bit>

using namespace bw;

namespace {

constexpr std::uint64_t InitialHash = 0xcbf29ce484222325ULL;

std::uint64_t extendHash(std::uint64_t Hash, std::string_view Text) {
  for (const char Character : Text) {
    Hash ^= static_cast<unsigned char>(Character);
    Hash *= 0x100000001b3ULL;
  }
  return Hash;
}

std::string_view withoutTrailingSlash(std::string_view Path) {
  while (Path.ends_with('/'))
    Path.remove_suffix(1);
  return Path;
}

std::size_t depthOf(std::string_view Prefix) {
  return static_cast<std::size_t>(
      std::count(Prefix.begin(), Prefix.end(), '/'));
}

std::string checkedPrefix(const std::string &Prefix) {
  if (!Prefix.starts_with('/'))
    throw route_invalid(Prefix, "a prefix starts with /");
  if (Prefix.find("//") != std::string::npos)
    throw route_invalid(Prefix, "a prefix has no empty segment");
  if (Prefix.find_first_of("?#") != std::string::npos)
    throw route_invalid(Prefix, "a prefix has no query and no fragment");
  return std::string(withoutTrailingSlash(Prefix));
}

} // namespace

route_table::route_table(std::vector<route> Routes)
    : Routes(std::move(Routes)) {
  Slots.resize(
      std::bit_ceil(std::max<std::size_t>(this->Routes.size(), 1) * 2));
  for (std::size_t Index = 0; Index < this->Routes.size(); ++Index)
    insert(static_cast<std::uint32_t>(Index));
}

void route_table::insert(std::uint32_t Index) {
  route &Added = Routes[Index];
  Added.Prefix = checkedPrefix(Added.Prefix);
  const std::size_t Depth = depthOf(Added.Prefix);
  if (Depth > MaxSegments)
    throw route_invalid(Added.Prefix, "a prefix has at most 16 segments");
  const std::uint64_t Hash = extendHash(InitialHash, Added.Prefix);
  if (lookUp(Added.Prefix, Hash) != nullptr)
    throw route_invalid(Added.Prefix, "the prefix is used twice");
  DeepestRoute = std::max(DeepestRoute, Depth);
  std::size_t Place = placeOf(Hash);
  while (Slots[Place].Route != UINT32_MAX)
    Place = (Place + 1) & (Slots.size() - 1);
  Slots[Place] = {.Hash = Hash, .Route = Index};
}

const route *route_table::find(std::string_view Path) const {
  if (Slots.empty() || !Path.starts_with('/'))
    return nullptr;
  struct prefix_end {
    std::size_t Length = 0;
    std::uint64_t Hash = InitialHash;
  };
  std::array<prefix_end, MaxSegments + 1> Ends;
  std::size_t Depth = 0;
  while (Depth < DeepestRoute && Ends[Depth].Length < Path.size()) {
    const std::size_t Start = Ends[Depth].Length;
    const std::size_t End = std::min(Path.find('/', Start + 1), Path.size());
    const std::string_view Segment = Path.substr(Start, End - Start);
    Ends[Depth + 1] = {.Length = End,
                       .Hash = extendHash(Ends[Depth].Hash, Segment)};
    ++Depth;
  }
  for (std::size_t Prefix = Depth + 1; Prefix-- > 0;)
    if (const route *Found =
            lookUp(Path.substr(0, Ends[Prefix].Length), Ends[Prefix].Hash))
      return Found;
  return nullptr;
}

// FNV-1a distributes short texts poorly over its high bits, hence the mixing.
std::size_t route_table::placeOf(std::uint64_t Hash) const {
  return mixHash(0, Hash) & (Slots.size() - 1);
}

const route *route_table::lookUp(std::string_view Prefix,
                                 std::uint64_t Hash) const {
  std::size_t Place = placeOf(Hash);
  while (Slots[Place].Route != UINT32_MAX) {
    const route &Candidate = Routes[Slots[Place].Route];
    if (Slots[Place].Hash == Hash && Candidate.Prefix == Prefix)
      return &Candidate;
    Place = (Place + 1) & (Slots.size() - 1);
  }
  return nullptr;
}
