#ifndef BW_FORWARD_CALLERS_LONG_RESPONSE_PATHS_H
#define BW_FORWARD_CALLERS_LONG_RESPONSE_PATHS_H

#include "bw_forward/parser/http1_parser.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace bw {

/// Remembers for which paths long responses came lately. Paths that differ only
/// in their last segment count as one.
class long_response_paths {
public:
  void responded(const http1_head &Request, bool IsLong);
  bool expectsLong(const http1_head &Request) const;

private:
  static std::string keyOf(const http1_head &Request);

  /// Short responses until the path is forgotten.
  std::unordered_map<std::string, std::uint32_t> Paths;
};

} // namespace bw

#endif
