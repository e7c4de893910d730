#ifndef BW_OPERATIONS_FUZZ_DECODER_CHECKS_H
#define BW_OPERATIONS_FUZZ_DECODER_CHECKS_H

#include <string_view>

namespace bw {

/// Checks of decoders on any input, run by the fuzz targets and, over the
/// corpus, by the unit tests. A violation ends the program.

/// A line is refused or reads back equal.
void checkAuditLineDecoder(std::string_view Input);
/// No header is taken for a valid credential that was not given out.
void checkCredentialDecoder(std::string_view Input);
/// The first line is the path, the rest the body. Every call is answered, and
/// what fails changes nothing.
void checkRpcDecoder(std::string_view Input);

} // namespace bw

#endif
