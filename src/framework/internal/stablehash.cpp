#include "framework/stablehash.h"

#include <xxhash.h>

namespace celerybeam {

std::uint64_t stableHash(std::string_view Data, std::uint64_t Seed) {
  return XXH64(Data.data(), Data.size(), Seed);
}

std::uint64_t stableHash(std::uint64_t Word, std::uint64_t Seed) {
  return XXH64(&Word, sizeof(Word), Seed);
}

} // namespace celerybeam
