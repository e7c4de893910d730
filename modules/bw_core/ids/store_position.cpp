#include "bw_core/ids/store_position.h"

#include <charconv>
#include <tuple>

using namespace bw;

std::optional<store_era> bw::parseStoreEra(std::string_view Text) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Error] = std::from_chars(Text.data(), End, Number);
  if (Error != std::errc() || Stop != End || Number == 0)
    return std::nullopt;
  return store_era(Number);
}

bool store_position::isBefore(const store_position &Other) const {
  return isComparableTo(Other) &&
         std::tie(Era, Revision) < std::tie(Other.Era, Other.Revision);
}

// A store that names no era may still show that it has come back from a copy:
// its revision has fallen.
bool store_position::isContinuedBy(const store_position &Later) const {
  return Era == Later.Era && Revision <= Later.Revision;
}

std::ostream &bw::operator<<(std::ostream &Out,
                             const store_position &Position) {
  return Out << "revision " << Position.Revision << " of era " << Position.Era;
}

std::ostream &bw::operator<<(std::ostream &Out,
                             const object_position &Position) {
  return Out << "version " << Position.Version << " of era " << Position.Era;
}
