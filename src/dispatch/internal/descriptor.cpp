#include "dispatch/descriptor.h"

#include <array>

#include "framework/stablehash.h"

namespace celerybeam {

std::vector<PrefixLevel> prefixLevelsOf(const RequestDescriptor &Request) {
  std::vector<PrefixLevel> Levels;
  std::uint64_t Hash = stableHash(Request.Model.str());
  std::uint32_t Tokens = 0;
  for (std::size_t I = 0; I + 1 < Request.Parts.size(); ++I) {
    Hash = stableHash(Request.Parts[I].Id, Hash);
    Tokens += Request.Parts[I].Tokens;
    Levels.push_back({Hash, Tokens});
  }
  return Levels;
}

} // namespace celerybeam
