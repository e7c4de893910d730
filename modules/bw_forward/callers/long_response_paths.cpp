#include "bw_forward/callers/long_response_paths.h"

using namespace bw;

namespace {

// Bounds the memory; a configuration of the design size has 4,100 routes.
constexpr std::size_t MaxPaths = 4096;
constexpr std::size_t MaxKeySize = 256;
// A path whose responses are long once in a while stays known.
constexpr std::uint32_t ShortUntilForgotten = 64;

} // namespace

std::string long_response_paths::keyOf(const http1_head &Request) {
  const std::string Path = Request.Target.substr(0, Request.Target.find('?'));
  std::string Key = Request.Headers.find("Host").value_or("") +
                    Path.substr(0, Path.rfind('/') + 1);
  if (Key.size() > MaxKeySize)
    Key.resize(MaxKeySize);
  return Key;
}

void long_response_paths::responded(const http1_head &Request, bool IsLong) {
  if (!IsLong && Paths.empty())
    return;
  const std::string Key = keyOf(Request);
  const auto Found = Paths.find(Key);
  if (IsLong) {
    if (Found == Paths.end() && Paths.size() >= MaxPaths)
      Paths.erase(Paths.begin());
    Paths[Key] = ShortUntilForgotten;
  } else if (Found != Paths.end() && --Found->second == 0) {
    Paths.erase(Found);
  }
}

bool long_response_paths::expectsLong(const http1_head &Request) const {
  return !Paths.empty() && Paths.contains(keyOf(Request));
}
