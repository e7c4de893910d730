#ifndef BW_JSON_STREAM_JSON_SHAPE_H
#define BW_JSON_STREAM_JSON_SHAPE_H

#include "bw_core/ids/units.h"

#include <string>
#include <vector>

namespace bw {

/// The part of a JSON value that a reader uses. A shape without members and
/// elements is a text, a number or another single value.
struct json_shape {
  /// Name of the member that has this shape.
  std::string Name = {};
  /// The members of an object that are used; at most 32.
  std::vector<json_shape> Members = {};
  /// The shape of all elements of a list; one entry, or none if it is no list.
  std::vector<json_shape> Elements = {};
  /// The elements are delivered one by one and not kept in the list.
  bool IsStreamed = false;
  /// Longest text of the used parts of a delivered element, in bytes.
  byte_count ElementLimit = kibibytes(8);
  /// This text identifies the delivered element that it is in, whatever else
  /// is wrong with that.
  bool IsName = false;
};

} // namespace bw

#endif
