#ifndef BW_EMULATOR_STORE_ODD_VALUES_H
#define BW_EMULATOR_STORE_ODD_VALUES_H

#include "bw_core/ids/units.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace bw {

/// A value as another writer may put it into the store.
enum class odd_shape : std::uint8_t {
  Deep,       ///< One list in another, down to the middle of the text.
  Nested,     ///< Many chains of 30 lists.
  Wide,       ///< Empty objects.
  Members,    ///< Members with different names.
  Texts,      ///< Short texts.
  LongText,   ///< One text.
  Numbers,    ///< Short numbers.
  Unreadable, ///< Bytes that are no JSON, with quotes and brackets that match.
};

inline constexpr std::array OddShapes = {
    odd_shape::Deep,    odd_shape::Nested,    odd_shape::Wide,
    odd_shape::Members, odd_shape::Texts,     odd_shape::LongText,
    odd_shape::Numbers, odd_shape::Unreadable};

std::string_view nameOf(odd_shape Shape);

/// Returns a text of about this size.
std::string makeOddValue(odd_shape Shape, byte_count Size);

/// Returns the parts of the shape, separated by commas, for a list of the
/// caller's.
std::string makeOddElements(odd_shape Shape, byte_count Size);

} // namespace bw

#endif
