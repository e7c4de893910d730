#ifndef BW_SCHEMA_FUZZ_DECODER_CHECKS_H
#define BW_SCHEMA_FUZZ_DECODER_CHECKS_H

#include <string_view>

namespace bw {

/// Checks of a decoder on any input: it either refuses the input with its own
/// error and leaves nothing behind, or gives a message that survives encoding
/// and decoding. A violation ends the program. Run by the fuzz targets and,
/// over the corpus, by the unit tests.
void checkYamlDecoder(std::string_view Input);
void checkJsonDecoder(std::string_view Input);
void checkChunkDecoder(std::string_view Input);

} // namespace bw

#endif
