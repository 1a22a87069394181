#ifndef CELERYBEAM_DISPATCH_HOLDQUEUE_H
#define CELERYBEAM_DISPATCH_HOLDQUEUE_H

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "blackboard/idtypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Prompt tokens that wait for a place, of the most urgent rank and of all;
/// requests of plain services count one token each.
struct QueuedWork {
  std::uint32_t Urgent = 0;
  std::uint32_t All = 0;
};

/// A request that waits for a place at an endpoint.
struct HeldRequest {
  PoolName Pool;
  unsigned Rank = 0;
  TimePoint Arrived{};
  /// Sent later than this, its first output misses the latency target.
  TimePoint BestBefore{};
  /// Sent later than this, it is not worth sending; it is then refused.
  TimePoint GiveUpAt{};
  std::uint32_t Tokens = 1;
  /// Tries to go on. \return whether the request no longer waits.
  std::function<bool()> Offer;
};

/// Names a held request; 0 is none.
struct HoldId {
  std::uint64_t Value = 0;
};

/// Requests that wait at their placer: first those that can still be on time,
/// the most urgent and then the oldest first; after them the others.
///
/// Answers to "bursts fill the endpoints' own queues": a request that waits
/// here can still go to whichever endpoint is free first, be passed on, be
/// refused, and let a more urgent one pass. One that is late
/// already does not make all those behind it late. Not thread-safe.
class HoldQueue {
public:
  HoldId add(HeldRequest Request);
  void remove(HoldId Id);

  /// Offers to the first requests of each pool, in order. An offer may add
  /// and remove requests.
  void offer(TimePoint Now);

  /// Whether a request of the pool that is at least as urgent waits.
  bool hasAhead(const PoolName &Pool, unsigned Rank) const;
  const QueuedWork &queued(const PoolName &Pool) const;
  std::size_t size() const { return Requests_.size(); }

  /// Requests that are offered to at a time: those behind them wait for the
  /// same endpoints.
  static constexpr std::size_t OffersPerPool = 3;

private:
  /// Order of service: rank, arrival, order of adding.
  struct Position {
    unsigned Rank;
    TimePoint Arrived;
    std::uint64_t Serial;
    auto operator<=>(const Position &) const = default;
  };

  struct PoolSums {
    QueuedWork Work;
    /// Requests by rank; no entry is zero.
    std::map<unsigned, std::size_t> ByRank;
  };

  std::uint64_t LastSerial_ = 0;
  std::map<Position, HeldRequest> Requests_;
  std::map<std::uint64_t, Position> Positions_;
  std::map<PoolName, PoolSums> Pools_;
};

} // namespace celerybeam

#endif
