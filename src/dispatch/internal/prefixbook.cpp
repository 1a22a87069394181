#include "dispatch/prefixbook.h"

#include <algorithm>

namespace celerybeam {

void PrefixBook::sent(const EndpointKey &Endpoint,
                      const std::vector<PrefixLevel> &Levels,
                      std::uint32_t ReadTokens) {
  Cache &Held = Caches_[Endpoint];
  Held.TokensRead += ReadTokens;
  for (const PrefixLevel &Level : Levels)
    Held.LastUse[Level.Hash] = Held.TokensRead;
  if (Held.LastUse.size() > MaxLevels)
    trim(Held);
}

void PrefixBook::trim(Cache &Held) {
  std::vector<std::uint64_t> Uses;
  for (const auto &[Hash, Use] : Held.LastUse)
    Uses.push_back(Use);
  auto Middle = Uses.begin() + static_cast<std::ptrdiff_t>(Uses.size() / 2);
  std::nth_element(Uses.begin(), Middle, Uses.end());
  std::erase_if(Held.LastUse, [Oldest = *Middle](const auto &E) {
    return E.second < Oldest;
  });
}

std::uint32_t PrefixBook::cachedTokens(const EndpointKey &Endpoint,
                                       const std::vector<PrefixLevel> &Levels,
                                       std::uint64_t Capacity) const {
  auto Found = Caches_.find(Endpoint);
  if (Found == Caches_.end())
    return 0;
  const Cache &Held = Found->second;
  std::uint32_t Cached = 0;
  for (const PrefixLevel &Level : Levels) {
    auto Use = Held.LastUse.find(Level.Hash);
    if (Use == Held.LastUse.end() || Held.TokensRead - Use->second > Capacity)
      break;
    Cached = Level.TokensUpTo;
  }
  return Cached;
}

void PrefixBook::forget(const EndpointKey &Endpoint) {
  Caches_.erase(Endpoint);
}

} // namespace celerybeam
