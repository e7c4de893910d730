#include "bw_schema/fuzz/decoder_checks.h"

#include <cstddef>
#include <cstdint>

// The library fixes this name.
extern "C" int LLVMFuzzerTestOneInput( // NOLINT
    const std::uint8_t *Data, std::size_t Size) {
  bw::checkYamlDecoder({reinterpret_cast<const char *>(Data), Size});
  return 0;
}
