#ifndef BW_SCHEMA_PARSE_BOUNDED_PARSE_H
#define BW_SCHEMA_PARSE_BOUNDED_PARSE_H

#include "bw_core/ids/units.h"

#include <string_view>

namespace google::protobuf {
class Message;
}

namespace bw {

/// Most memory that a message of the store may take. A value of the longest
/// size that the project writes takes less.
constexpr byte_count StoredMessageLimit = mebibytes(8);

/// Fills an empty message from bytes that others have written. Returns false if
/// they are no such message, or if it would take about this much memory; the
/// message is then empty. Nothing is allocated for a message that is too large.
bool parseBounded(std::string_view Bytes, google::protobuf::Message &Into,
                  byte_count Limit = StoredMessageLimit);

} // namespace bw

#endif
