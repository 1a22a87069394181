#ifndef CELERYBEAM_DISPATCH_HOLDQUEUE_H
#define CELERYBEAM_DISPATCH_HOLDQUEUE_H

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "blackboard/idtypes.h"
#include "dispatch/queueforecast.h"
#include "framework/runtime.h"

namespace celerybeam {

/// A request that waits for a place at an endpoint.
struct HeldRequest {
  PoolName Pool;
  unsigned Rank = 0;
  TimePoint Arrived{};
  /// Until then it stands among those that can be on time.
  TimePoint OnTimeUntil{};
  /// From then on it is offered to whatever stands ahead of it, so that it is
  /// decided on anew.
  TimePoint DecideAgainAt{};
  /// Time that it takes of one place.
  Duration Work{};
  /// Whether an endpoint is kept free for it, so that those behind it do not
  /// wait for the same places.
  bool KeepsEndpoint = false;
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
  /// A request that goes on waiting was decided on anew.
  void update(HoldId Id, TimePoint OnTimeUntil, TimePoint DecideAgainAt);

  /// Offers to the first requests of each pool, in order. An offer may add
  /// and remove requests.
  void offer(TimePoint Now);

  /// Whether a request of the pool that is at least as urgent waits for the
  /// same places as others.
  bool hasAhead(const PoolName &Pool, unsigned Rank) const;
  /// What is served before a request of this rank and arrival: all of its rank
  /// or a more urgent one that can be on time, and of those that are late the
  /// ones that came before it.
  WorkAhead ahead(const PoolName &Pool, unsigned Rank, TimePoint Arrived,
                  TimePoint Now) const;
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

  /// Requests by rank; no entry is zero.
  using RankCounts = std::map<unsigned, std::size_t>;

  std::uint64_t LastSerial_ = 0;
  std::map<Position, HeldRequest> Requests_;
  std::map<std::uint64_t, Position> Positions_;
  std::map<PoolName, RankCounts> Pools_;
};

} // namespace celerybeam

#endif
