#ifndef CELERYBEAM_DISPATCH_PREFIXCACHETRACKER_H
#define CELERYBEAM_DISPATCH_PREFIXCACHETRACKER_H

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "dispatch/descriptor.h"
#include "fleet/fleettypes.h"

namespace celerybeam {

/// Tracks which prompt prefixes each endpoint is estimated to have in its
/// cache.
///
/// Counts the tokens that an endpoint has processed since a prefix was last
/// used there: once they exceed its memory, the prefix has been evicted. Fed by
/// the requests that this host places, for itself and for the region's other
/// hosts. Not thread-safe.
class PrefixCacheTracker {
public:
  /// Records that a request was sent. \param AddedTokens  prompt and output
  /// tokens that the endpoint had to add to its memory.
  void recordRequest(const EndpointKey &Endpoint,
                     const std::vector<PrefixLevel> &Levels,
                     std::uint32_t AddedTokens);

  /// Leading tokens that the endpoint is estimated to have cached.
  /// \param Capacity  tokens of its memory that cached prompts may use.
  std::uint32_t cachedTokens(const EndpointKey &Endpoint,
                             const std::vector<PrefixLevel> &Levels,
                             std::uint64_t Capacity) const;

  /// Removes an endpoint that has restarted or is gone.
  void forget(const EndpointKey &Endpoint);

  /// Maximum number of prefixes tracked for one endpoint; the oldest half is
  /// removed first.
  static constexpr std::size_t MaxLevels = 2048;

private:
  struct Cache {
    std::uint64_t TotalTokens = 0;
    /// TotalTokens at the last use, by prefix hash.
    std::unordered_map<std::uint64_t, std::uint64_t> LastUse;
  };
  static void trim(Cache &Entry);

  std::unordered_map<EndpointKey, Cache> Caches_;
};

} // namespace celerybeam

#endif
