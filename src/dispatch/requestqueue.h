#ifndef CELERYBEAM_DISPATCH_REQUESTQUEUE_H
#define CELERYBEAM_DISPATCH_REQUESTQUEUE_H

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "blackboard/idtypes.h"
#include "dispatch/queuewaitestimator.h"
#include "framework/runtime.h"

namespace celerybeam {

/// A request that waits for a slot at an endpoint.
struct QueuedRequest {
  PoolName Pool;
  unsigned Rank = 0;
  TimePoint Arrived{};
  /// Until then it is ordered among the requests that can be on time.
  TimePoint OnTimeUntil{};
  /// From then on it is offered a slot whatever is ahead of it, so that the
  /// decision on it is made again.
  TimePoint ReevaluateAt{};
  /// Time for which it takes one slot.
  Duration Occupancy{};
  /// Whether an endpoint is reserved for it, so that the requests behind it do
  /// not wait for the same slots.
  bool HasReservedEndpoint = false;
  /// Tries to dispatch it. \return whether the request has left the queue.
  std::function<bool()> Offer;
};

/// Identifies a queued request; 0 is none.
struct QueuedRequestId {
  std::uint64_t Value = 0;
};

/// Queue of the requests that wait at their placer: first those that can still
/// be on time, by rank and then by age; after them the others.
///
/// Handles this load pattern: "bursts fill the endpoints' own queues". A
/// request that waits at the host can still go to whichever endpoint is free
/// first, be forwarded, be refused, and be overtaken by a more urgent one. A
/// request that is late already does not make all those behind it late. Not
/// thread-safe.
class RequestQueue {
public:
  QueuedRequestId add(QueuedRequest Request);
  void remove(QueuedRequestId Id);
  /// Updates a queued request on which the decision was made again.
  void update(QueuedRequestId Id, TimePoint OnTimeUntil,
              TimePoint ReevaluateAt);

  /// Offers slots to the first requests of each pool, in order. An offer may
  /// add and remove requests.
  void offer(TimePoint Now);

  /// Whether a request of the pool that is at least as urgent waits for the
  /// same slots as others.
  bool hasRequestAhead(const PoolName &Pool, unsigned Rank) const;
  /// Whether any request of the pool is queued.
  bool hasAny(const PoolName &Pool) const;
  /// Occupancy of the requests that are served before one of this rank and
  /// arrival: all that are at least as urgent and can be on time, and the late
  /// ones that arrived before it.
  QueuedServiceTime serviceTimeAhead(const PoolName &Pool, unsigned Rank,
                                     TimePoint Arrived, TimePoint Now) const;
  std::size_t size() const { return Requests_.size(); }

  /// Requests of one pool that get an offer per round: those behind them wait
  /// for the same endpoints.
  static constexpr std::size_t OffersPerPool = 3;

private:
  /// Order of service: rank, arrival, order of adding.
  struct Position {
    unsigned Rank;
    TimePoint Arrived;
    std::uint64_t Serial;
    auto operator<=>(const Position &) const = default;
  };

  /// Number of requests by rank; no entry is zero.
  using RankCounts = std::map<unsigned, std::size_t>;

  std::uint64_t LastSerial_ = 0;
  std::map<Position, QueuedRequest> Requests_;
  std::map<std::uint64_t, Position> Positions_;
  std::map<PoolName, RankCounts> Pools_;
};

} // namespace celerybeam

#endif
