#include "bw_schema/json/json_codec.h"

#include "bw_schema/errors/declaration_error.h"

#include <google/protobuf/util/json_util.h>

using namespace bw;

void bw::parseJson(std::string_view Text, const std::string &Name,
                   google::protobuf::Message &Into) {
  const auto Status = google::protobuf::util::JsonStringToMessage(
      google::protobuf::StringPiece(Text.data(), Text.size()), &Into);
  if (Status.ok())
    return;
  Into.Clear();
  const std::string Reason(Status.message().data(), Status.message().size());
  throw declaration_error({{.File = Name,
                            .Line = 0,
                            .Field = "(json)",
                            .Reason = printable(Reason)}});
}

std::string bw::formatJson(const google::protobuf::Message &Message,
                           bool Indented) {
  google::protobuf::util::JsonPrintOptions Options;
  Options.add_whitespace = Indented;
  Options.preserve_proto_field_names = true;
  std::string Result;
  const auto Status =
      google::protobuf::util::MessageToJsonString(Message, &Result, Options);
  if (!Status.ok())
    throw declaration_error({{.File = "",
                              .Line = 0,
                              .Field = "(json)",
                              .Reason = "the message cannot be written"}});
  return Result;
}
