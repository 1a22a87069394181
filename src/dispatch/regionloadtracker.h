#ifndef CELERYBEAM_DISPATCH_REGIONLOADTRACKER_H
#define CELERYBEAM_DISPATCH_REGIONLOADTRACKER_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "blackboard/idtypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Load of a pool at the endpoints of one placer.
struct PoolLoadSummary {
  /// Hash of the pool's name, as messages carry it.
  std::uint64_t Pool = 0;
  /// Mean wait behind requests in flight and queued.
  Duration Wait{};
  std::uint32_t Endpoints = 0;
  /// Requests that are served at the same time there, and how many more could
  /// start at once: slots of a plain service; the number of engines, which
  /// process one prompt at a time.
  std::uint32_t Slots = 0;
  std::uint32_t FreeSlots = 0;
  /// Additional wait of a request that cannot be on time.
  Duration LateWait{};
};

/// Load of a pool in a whole region, as one host passes it on to others of its
/// own region.
struct RegionPoolLoad {
  RegionId Region;
  PoolLoadSummary Summary;
  /// Time since the oldest of the summaries in it arrived.
  Duration Age{};
};

/// Hash of a pool's name.
std::uint64_t poolHash(const PoolName &Pool);

/// Tracks the load of other regions' pools: the summaries that their placers
/// send, and the requests that this host has forwarded there since.
///
/// Handles these load patterns: "regions peak in turn" and "a region has no
/// endpoint of a service left, and its requests all go to the others". A
/// summary comes every half second only, so the service time forwarded
/// since is added to its wait, less what free slots have completed meanwhile.
/// Not thread-safe.
class RegionLoadTracker {
public:
  explicit RegionLoadTracker(Runtime R) : Runtime_(std::move(R)) {}

  void received(const RegionId &Region, const HostId &Placer,
                const PoolLoadSummary &Summary);
  /// Records what another host of this region was sent by a region's placers.
  /// Counts only while those send this host nothing. \return false for an age
  /// of the future or over MaxAge, and the load is then ignored.
  bool receivedRelayed(const RegionPoolLoad &Load);
  /// The recent summaries that placers sent to this host, combined by region
  /// and pool.
  std::vector<RegionPoolLoad> combined() const;
  /// Records that a request that takes a slot this long was forwarded there.
  void recordForward(const RegionId &Region, const PoolName &Pool,
                     Duration ServiceTime);

  /// Predicted wait there of a request that takes a slot this long, a mean over
  /// the slots; empty when the region sent no summary recently or has no
  /// endpoint in the pool.
  std::optional<Duration> wait(const RegionId &Region, const PoolName &Pool,
                               Duration ServiceTime) const;

  /// Regions that have ever reported their load.
  std::set<RegionId> regions() const;
  /// Time since the latest report of the region's load, however long ago; empty
  /// without any.
  std::optional<Duration> age(const RegionId &Region) const;
  /// Whether the region has reported its load recently, of any pool.
  bool isKnown(const RegionId &Region) const;

  /// Additional wait there of a request that cannot be on time; zero when the
  /// region sent no summary recently.
  Duration lateWait(const RegionId &Region, const PoolName &Pool) const;

  /// Summaries older than this no longer count.
  static constexpr Duration MaxAge = std::chrono::seconds(3);
  /// A summary does not include requests sent up to this long before it
  /// arrived: one round trip between regions, connecting included.
  static constexpr Duration UpdateLag = std::chrono::milliseconds(130);

private:
  struct Entry {
    PoolLoadSummary Summary;
    TimePoint At{};
  };
  /// Service time forwarded by this host up to a moment.
  struct SentUpTo {
    TimePoint At{};
    Duration ServiceTime{};
  };
  struct PoolState {
    std::map<HostId, Entry> Placers;
    std::optional<Entry> Relayed;
    /// Running sums of the forwarded service time, the oldest first; trimmed to
    /// MaxAge.
    std::deque<SentUpTo> Sent;
    Duration TrimmedServiceTime{};
  };

  /// Recent entries: those of placers, or without any the relayed one.
  std::vector<Entry> recent(const PoolState &S) const;
  static Duration sentSince(const PoolState &S, TimePoint From);

  Runtime Runtime_;
  using PoolInRegion = std::pair<RegionId, std::uint64_t>;
  std::map<PoolInRegion, PoolState> Pools_;
};

} // namespace celerybeam

#endif
