#ifndef BW_CORE_RANDOM_STABLE_HASH_H
#define BW_CORE_RANDOM_STABLE_HASH_H

#include <cstdint>
#include <string_view>

namespace bw {

/// 64-bit hash that is the same on every host and in every build, as
/// rendezvous hashing needs. Not for untrusted keys of hash tables.
std::uint64_t stableHash(std::string_view Text);

/// Combines two hashes; the order matters. Same on every host.
std::uint64_t mixHash(std::uint64_t Left, std::uint64_t Right);

} // namespace bw

#endif
