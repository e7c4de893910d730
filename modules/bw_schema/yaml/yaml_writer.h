#ifndef BW_SCHEMA_YAML_YAML_WRITER_H
#define BW_SCHEMA_YAML_YAML_WRITER_H

#include <string>

namespace google::protobuf {
class Message;
}

namespace bw {

/// YAML text of a message in the order of the schema's fields. Fields with
/// their default value are left out; `parseYaml` reads it back to an equal
/// message.
std::string formatYaml(const google::protobuf::Message &Message);

} // namespace bw

#endif
