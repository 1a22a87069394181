#include "dispatch/descriptor.h"

#include <array>

#include "framework/stablehash.h"

namespace celerybeam {

std::vector<PrefixLevel> prefixLevelsOf(const ModelName &Model,
                                        const std::vector<PromptPart> &Parts) {
  std::vector<PrefixLevel> Levels;
  std::uint64_t Hash = stableHash(Model.str());
  std::uint32_t Tokens = 0;
  for (std::size_t I = 0; I + 1 < Parts.size(); ++I) {
    Hash = stableHash(Parts[I].Id, Hash);
    Tokens += Parts[I].Tokens;
    Levels.push_back({Hash, Tokens});
  }
  return Levels;
}

} // namespace celerybeam
