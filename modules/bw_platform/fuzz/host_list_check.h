#ifndef BW_PLATFORM_FUZZ_HOST_LIST_CHECK_H
#define BW_PLATFORM_FUZZ_HOST_LIST_CHECK_H

#include <string_view>

namespace bw {

/// Checks that the decoder either refuses the input with its own error or
/// gives entries that can be connected to. A violation ends the program.
void checkHostListDecoder(std::string_view Input);

} // namespace bw

#endif
