#ifndef CELERYBEAM_DISPATCH_REGIONOUTLOOK_H
#define CELERYBEAM_DISPATCH_REGIONOUTLOOK_H

#include <cstdint>
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
};

/// Hash of a pool's name.
std::uint64_t poolHash(const PoolName &Pool);

/// What other regions' placers say of their pools, and what this host has sent
/// there since.
///
/// Answers to "regions peak in turn": a wait is known half a second late, so
/// own sends since then are added to it. Not thread-safe.
class RegionOutlook {
public:
  explicit RegionOutlook(Runtime R) : Runtime_(std::move(R)) {}

  void heard(const RegionId &Region, const HostId &Placer,
             const PoolOutlook &Outlook);
  /// A request that takes an endpoint this long was sent there.
  void sent(const RegionId &Region, const PoolName &Pool, Duration OwnTime);

  /// Expected wait there, a mean over the endpoints; empty when the region was
  /// not heard of late or has no endpoint in the pool.
  std::optional<Duration> wait(const RegionId &Region,
                               const PoolName &Pool) const;

  /// Messages older than this no longer count.
  static constexpr Duration MaxAge = std::chrono::seconds(3);

private:
  struct Entry {
    PoolOutlook Heard;
    TimePoint At{};
    /// Of what this host has sent to the region, this placer's share.
    Duration SentSince{};
  };

  Runtime Runtime_;
  using PoolInRegion = std::pair<RegionId, std::uint64_t>;
  std::map<PoolInRegion, std::map<HostId, Entry>> Entries_;
};

} // namespace celerybeam

#endif
