#ifndef CELERYBEAM_DISPATCH_REGIONOUTLOOK_H
#define CELERYBEAM_DISPATCH_REGIONOUTLOOK_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "blackboard/idtypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// How a pool stands at the endpoints of one placer.
struct PoolOutlook {
  /// Hash of the pool's name, as messages carry it.
  std::uint64_t Pool = 0;
  /// Mean wait behind work that is there.
  Duration Wait{};
  std::uint32_t Endpoints = 0;
  /// Requests that are worked on at the same time there, and how many more
  /// would be at once: slots of a plain service; engines, which read one prompt
  /// at a time.
  std::uint32_t Places = 0;
  std::uint32_t FreePlaces = 0;
  /// How much longer one waits that cannot be on time.
  Duration LateWait{};
};

/// Hash of a pool's name.
std::uint64_t poolHash(const PoolName &Pool);

/// What other regions' placers say of their pools, and what this host has sent
/// there since.
///
/// Answers to "regions peak in turn" and "a region has no endpoint of a service
/// left, and its requests all go to the others": a wait is known half a second
/// late, so own sends since then are added to it, less what free places have
/// worked off meanwhile. Not thread-safe.
class RegionOutlook {
public:
  explicit RegionOutlook(Runtime R) : Runtime_(std::move(R)) {}

  void heard(const RegionId &Region, const HostId &Placer,
             const PoolOutlook &Outlook);
  /// A request that takes a place this long was sent there.
  void sent(const RegionId &Region, const PoolName &Pool, Duration OwnTime);

  /// Expected wait there of a request that takes a place this long, a mean over
  /// the places; empty when the region was not heard of late or has no endpoint
  /// in the pool.
  std::optional<Duration> wait(const RegionId &Region, const PoolName &Pool,
                               Duration OwnTime) const;

  /// How much longer one waits there that cannot be on time; zero when the
  /// region was not heard of late.
  Duration lateWait(const RegionId &Region, const PoolName &Pool) const;

  /// Messages older than this no longer count.
  static constexpr Duration MaxAge = std::chrono::seconds(3);
  /// A message does not know of what was sent this long before it arrived: one
  /// round trip between regions, connecting included.
  static constexpr Duration NewsLag = std::chrono::milliseconds(130);

private:
  struct Entry {
    PoolOutlook Heard;
    TimePoint At{};
  };
  /// Own sends up to a moment.
  struct SentUpTo {
    TimePoint At{};
    Duration Work{};
  };
  struct PoolState {
    std::map<HostId, Entry> Placers;
    /// Running sums of what was sent, the oldest first; trimmed to MaxAge.
    std::deque<SentUpTo> Sent;
    Duration TrimmedWork{};
  };

  static Duration sentSince(const PoolState &S, TimePoint From);

  Runtime Runtime_;
  using PoolInRegion = std::pair<RegionId, std::uint64_t>;
  std::map<PoolInRegion, PoolState> Pools_;
};

} // namespace celerybeam

#endif
