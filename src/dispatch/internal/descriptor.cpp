#include "dispatch/descriptor.h"

#include <array>

#include <xxhash.h>

namespace celerybeam {

std::vector<PrefixLevel> prefixLevelsOf(const RequestDescriptor &Request) {
  std::vector<PrefixLevel> Levels;
  std::uint64_t Hash =
      XXH64(Request.Model.str().data(), Request.Model.str().size(), 0);
  std::uint32_t Tokens = 0;
  for (std::size_t I = 0; I + 1 < Request.Parts.size(); ++I) {
    std::array<std::uint64_t, 2> Chain = {Hash, Request.Parts[I].Id};
    Hash = XXH64(Chain.data(), sizeof(Chain), 0);
    Tokens += Request.Parts[I].Tokens;
    Levels.push_back({Hash, Tokens});
  }
  return Levels;
}

} // namespace celerybeam
