#include "bw_core/random/stable_hash.h"

namespace {

// Finalizer of SplitMix64: every input bit affects every output bit, which
// FNV-1a alone does not give for short names that differ in the last character.
std::uint64_t finalizeHash(std::uint64_t Value) {
  Value += 0x9e3779b97f4a7c15ULL;
  Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Value = (Value ^ (Value >> 27)) * 0x94d049bb133111ebULL;
  return Value ^ (Value >> 31);
}

} // namespace

std::uint64_t bw::stableHash(std::string_view Text) {
  std::uint64_t Hash = 0xcbf29ce484222325ULL;
  for (const char Character : Text) {
    Hash ^= static_cast<unsigned char>(Character);
    Hash *= 0x100000001b3ULL;
  }
  return finalizeHash(Hash);
}

std::uint64_t bw::mixHash(std::uint64_t Left, std::uint64_t Right) {
  return finalizeHash(Left ^ finalizeHash(Right));
}
