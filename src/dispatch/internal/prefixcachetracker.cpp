#include "dispatch/prefixcachetracker.h"

#include <algorithm>

namespace celerybeam {

void PrefixCacheTracker::recordRequest(const EndpointKey &Endpoint,
                                       const std::vector<PrefixLevel> &Levels,
                                       std::uint32_t AddedTokens) {
  Cache &Entry = Caches_[Endpoint];
  Entry.TotalTokens += AddedTokens;
  for (const PrefixLevel &Level : Levels)
    Entry.LastUse[Level.Hash] = Entry.TotalTokens;
  if (Entry.LastUse.size() > MaxLevels)
    trim(Entry);
}

void PrefixCacheTracker::trim(Cache &Entry) {
  std::vector<std::uint64_t> Uses;
  for (const auto &[Hash, Use] : Entry.LastUse)
    Uses.push_back(Use);
  auto Middle = Uses.begin() + static_cast<std::ptrdiff_t>(Uses.size() / 2);
  std::nth_element(Uses.begin(), Middle, Uses.end());
  std::erase_if(Entry.LastUse, [Oldest = *Middle](const auto &E) {
    return E.second < Oldest;
  });
}

std::uint32_t
PrefixCacheTracker::cachedTokens(const EndpointKey &Endpoint,
                                 const std::vector<PrefixLevel> &Levels,
                                 std::uint64_t Capacity) const {
  auto Found = Caches_.find(Endpoint);
  if (Found == Caches_.end())
    return 0;
  const Cache &Entry = Found->second;
  std::uint32_t Cached = 0;
  for (const PrefixLevel &Level : Levels) {
    auto Use = Entry.LastUse.find(Level.Hash);
    if (Use == Entry.LastUse.end() ||
        Entry.TotalTokens - Use->second > Capacity)
      break;
    Cached = Level.TokensUpTo;
  }
  return Cached;
}

void PrefixCacheTracker::forget(const EndpointKey &Endpoint) {
  Caches_.erase(Endpoint);
}

} // namespace celerybeam
