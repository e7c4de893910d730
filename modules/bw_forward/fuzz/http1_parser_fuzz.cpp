#include "bw_forward/fuzz/http1_parser_check.h"

#include <cstddef>
#include <cstdint>

// The library fixes this name.
extern "C" int LLVMFuzzerTestOneInput( // NOLINT
    const std::uint8_t *Data, std::size_t Size) {
  bw::checkHttp1Parser({reinterpret_cast<const char *>(Data), Size});
  return 0;
}
