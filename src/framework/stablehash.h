#ifndef CELERYBEAM_FRAMEWORK_STABLEHASH_H
#define CELERYBEAM_FRAMEWORK_STABLEHASH_H

#include <cstdint>
#include <string_view>

namespace celerybeam {

/// A fast 64-bit hash that is the same on every host (not for security).
std::uint64_t stableHash(std::string_view Data, std::uint64_t Seed = 0);

/// The same for one 64-bit word.
std::uint64_t stableHash(std::uint64_t Word, std::uint64_t Seed);

} // namespace celerybeam

#endif
