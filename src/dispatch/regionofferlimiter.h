#ifndef CELERYBEAM_DISPATCH_REGIONOFFERLIMITER_H
#define CELERYBEAM_DISPATCH_REGIONOFFERLIMITER_H

#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "blackboard/idtypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Limits the requests that are offered to regions whose load is not known, by
/// region and pool.
///
/// Handles this load pattern: "a region's placer is lost, and the next one does
/// not know the load of the regions that have to serve its requests". A few
/// offers may be open at a time; each one that is served allows one more, so
/// that the number about doubles with each round trip. A refusal closes the
/// offers for the time that it names; afterwards a single one is tried. Not
/// thread-safe.
class RegionOfferLimiter {
public:
  explicit RegionOfferLimiter(Runtime R) : Runtime_(std::move(R)) {}

  bool mayOffer(const RegionId &Region, const PoolName &Pool) const;
  /// Time for which a refusal closes the offers; zero when they are not closed.
  Duration closedFor(const RegionId &Region, const PoolName &Pool) const;

  void recordOffer(const RegionId &Region, const PoolName &Pool);
  /// The region has begun to answer a request that was offered then.
  void recordServed(const RegionId &Region, const PoolName &Pool,
                    TimePoint OfferedAt);
  /// The region did not serve it. \param RetryAfter  as the region said; empty
  /// when it said nothing.
  void recordRefused(const RegionId &Region, const PoolName &Pool,
                     TimePoint OfferedAt, std::optional<Duration> RetryAfter);
  /// Nothing was learned, as the request was not sent or its caller has left.
  void recordWithdrawn(const RegionId &Region, const PoolName &Pool,
                       TimePoint OfferedAt);

  /// Offers that may be open at first, and at most: several placers of several
  /// regions may offer to one region.
  static constexpr unsigned FirstOffers = 2;
  static constexpr unsigned MaxOffers = 32;
  /// An offer without a result counts as open for this long: the report of its
  /// result may have been lost.
  static constexpr Duration MaxOpen = std::chrono::seconds(3);
  /// Time for which offers are closed when the region named none; doubled with
  /// each such refusal in a row.
  static constexpr Duration FirstClosed = std::chrono::milliseconds(500);
  static constexpr Duration MinClosed = std::chrono::milliseconds(100);
  static constexpr Duration MaxClosed = std::chrono::seconds(5);
  /// What was learned counts for this long after the latest offer or result.
  static constexpr Duration Memory = std::chrono::seconds(10);

private:
  struct State {
    unsigned Allowed = FirstOffers;
    /// When the open offers were made, the oldest first.
    std::deque<TimePoint> Open;
    unsigned RefusedInARow = 0;
    TimePoint ClosedUntil{};
    TimePoint ChangedAt{};
  };
  using PoolInRegion = std::pair<RegionId, PoolName>;

  const State *find(const RegionId &Region, const PoolName &Pool) const;
  /// The state that a change is about; one that is too old begins anew.
  State &changed(const RegionId &Region, const PoolName &Pool);
  static void close(State &S, TimePoint OfferedAt);

  Runtime Runtime_;
  std::map<PoolInRegion, State> States_;
};

} // namespace celerybeam

#endif
