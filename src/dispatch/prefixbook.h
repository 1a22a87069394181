#ifndef CELERYBEAM_DISPATCH_PREFIXBOOK_H
#define CELERYBEAM_DISPATCH_PREFIXBOOK_H

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "dispatch/descriptor.h"
#include "fleet/fleettypes.h"

namespace celerybeam {

/// What prompts' beginnings each endpoint is thought to keep in its cache.
///
/// Counts the tokens that an endpoint has read since a beginning was last
/// used there: once they exceed its memory the beginning has been evicted.
/// Fed with own dispatches and those of the region's other hosts. Not
/// thread-safe.
class PrefixBook {
public:
  /// A request was sent. \param ReadTokens  prompt and answer tokens that the
  /// endpoint had to add to its memory.
  void sent(const EndpointKey &Endpoint, const std::vector<PrefixLevel> &Levels,
            std::uint32_t ReadTokens);

  /// Leading tokens that the endpoint is thought to hold. \param Capacity
  /// tokens of its memory that cached prompts may use.
  std::uint32_t cachedTokens(const EndpointKey &Endpoint,
                             const std::vector<PrefixLevel> &Levels,
                             std::uint64_t Capacity) const;

  /// The endpoint has started anew or is gone.
  void forget(const EndpointKey &Endpoint);

  /// Beginnings kept for one endpoint at most; the oldest half goes first.
  static constexpr std::size_t MaxLevels = 2048;

private:
  struct Cache {
    std::uint64_t TokensRead = 0;
    /// TokensRead at the last use.
    std::unordered_map<std::uint64_t, std::uint64_t> LastUse;
  };
  static void trim(Cache &Held);

  std::unordered_map<EndpointKey, Cache> Caches_;
};

} // namespace celerybeam

#endif
