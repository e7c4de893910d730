#ifndef BW_CONTROL_OUTPUT_OUTPUT_TEXT_H
#define BW_CONTROL_OUTPUT_OUTPUT_TEXT_H

#include "bw_control/command_line/command_line.h"
#include "bw_schema/bramleywinch.pb.h"

#include <string>
#include <vector>

namespace bw {

/// Rows as aligned columns, the first row being the head.
std::string formatTable(const std::vector<std::vector<std::string>> &Rows);

/// A message as JSON or YAML.
std::string formatMessage(const google::protobuf::Message &Message,
                          output_format Format);

std::string changesText(
    const google::protobuf::RepeatedPtrField<schema::object_change> &Changes,
    std::uint32_t Count);
std::string configurationText(const schema::configuration &Configuration);
std::string statusText(const schema::status_answer &Answer);
std::string burnText(const schema::burn_report_answer &Answer);

} // namespace bw

#endif
