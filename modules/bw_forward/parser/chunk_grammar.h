#ifndef BW_FORWARD_PARSER_CHUNK_GRAMMAR_H
#define BW_FORWARD_PARSER_CHUNK_GRAMMAR_H

#include "bw_http/messages/head_grammar.h"

#include <cstdint>
#include <string_view>

namespace bw {

/// Checks the framing of a chunked body with its trailer (RFC 9112, 7.1), as
/// http_parser does not check what ends a line or the data of a chunk. Blanks
/// may pad the length of a chunk.
class chunk_grammar {
public:
  /// Takes bytes of the body. Returns false once they break the grammar.
  bool accepts(std::string_view Bytes);

private:
  enum class place : std::uint8_t {
    FirstDigit,
    Size,
    Padding,
    Extension,
    SizeEnd,
    Data,
    DataEnd,
    DataLineEnd,
    Trailer,
    Malformed,
  };

  place next(char Character);
  place nextInSize(char Character);

  place Place = place::FirstDigit;
  /// Bytes of data left in the chunk.
  std::uint64_t Left = 0;
  head_grammar Trailer{head_start::Fields};
};

} // namespace bw

#endif
