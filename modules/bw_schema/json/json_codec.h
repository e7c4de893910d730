#ifndef BW_SCHEMA_JSON_JSON_CODEC_H
#define BW_SCHEMA_JSON_JSON_CODEC_H

#include <string>
#include <string_view>

namespace google::protobuf {
class Message;
}

namespace bw {

/// Fills an empty message from JSON text. `Name` stands for the file in
/// errors; empty for a call's body. Unknown fields are refused.
/// \throws declaration_error; the message is then empty
void parseJson(std::string_view Text, const std::string &Name,
               google::protobuf::Message &Into);

/// JSON text with the field names of the schema. `Indented` adds white space.
std::string formatJson(const google::protobuf::Message &Message,
                       bool Indented = false);

} // namespace bw

#endif
