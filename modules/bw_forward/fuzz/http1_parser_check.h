#ifndef BW_FORWARD_FUZZ_HTTP1_PARSER_CHECK_H
#define BW_FORWARD_FUZZ_HTTP1_PARSER_CHECK_H

#include <string_view>

namespace bw {

/// Parses the bytes in both directions and in two segmentations, which must
/// give the same messages with valid heads, and then a message whose fields are
/// known: nothing of what came before may appear in it. Aborts otherwise.
void checkHttp1Parser(std::string_view Bytes);

} // namespace bw

#endif
