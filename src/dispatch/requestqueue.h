#ifndef CELERYBEAM_DISPATCH_REQUESTQUEUE_H
#define CELERYBEAM_DISPATCH_REQUESTQUEUE_H

#include <cstdint>
#include <functional>
#include <memory>

#include "blackboard/idtypes.h"
#include "dispatch/fairshare.h"
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
  /// Time for which it takes one slot; not negative.
  Duration Occupancy{};
  /// Whether an endpoint is reserved for it, so that the requests behind it do
  /// not wait for the same slots.
  bool HasReservedEndpoint = false;
  /// Tries to dispatch it. \return whether the request has left the queue.
  std::function<bool()> Offer;
  /// Empty when there is none.
  CustomerId Customer{};
};

/// Identifies a queued request; 0 is none.
struct QueuedRequestId {
  std::uint64_t Value = 0;
};

/// Queue of the requests that wait at their placer: first those that can still
/// be on time, by rank and then by age; after them the others. Where requests
/// have customers, these share each rank, and age orders the requests of one
/// customer.
///
/// Handles this load pattern: "bursts fill the endpoints' own queues". A
/// request that waits at the host can still go to whichever endpoint is free
/// first, be forwarded, be refused, and be overtaken by a more urgent one. A
/// request that is late already does not make all those behind it late. Not
/// thread-safe.
///
/// Offers and predictions take time that grows with the logarithm of the queue
/// and with the number of customers that wait.
class RequestQueue {
public:
  RequestQueue();
  ~RequestQueue();

  QueuedRequestId add(QueuedRequest Request);
  void remove(QueuedRequestId Id);
  /// Updates a queued request on which the decision was made again.
  void update(QueuedRequestId Id, TimePoint OnTimeUntil,
              TimePoint ReevaluateAt);

  /// Offers slots to the first requests of each pool, in the order that they
  /// have when the round begins. An offer may add and remove requests, and
  /// update its own.
  void offer(TimePoint Now);

  /// Whether a request of the pool that is at least as urgent, and not behind a
  /// new one of this customer, waits for the same slots as others.
  bool hasRequestAhead(const PoolName &Pool, unsigned Rank,
                       const CustomerId &Customer = {}) const;
  /// Whether any request of the pool is queued.
  bool hasAny(const PoolName &Pool) const;
  /// Occupancy of the requests that are served before one of this rank and
  /// arrival: all that are at least as urgent and can be on time, and the late
  /// ones that arrived before it.
  QueuedServiceTime serviceTimeAhead(const PoolName &Pool, unsigned Rank,
                                     TimePoint Arrived, TimePoint Now) const;
  /// The same for a request of this customer. Of its rank, only the requests
  /// count that precede it in the order in which customers share. Those that
  /// can be on time and do not precede it count as Late, as they are ahead of
  /// it once it is late.
  QueuedServiceTime serviceTimeAhead(const PoolName &Pool, unsigned Rank,
                                     TimePoint Arrived, TimePoint Now,
                                     const CustomerId &Customer) const;
  /// The least urgent rank that waits for the pool; 0 when none does.
  unsigned leastUrgentRank(const PoolName &Pool) const;
  std::size_t size() const;

  /// Whether customers share the scope.
  bool isShared(const ShareScope &Scope) const;
  /// Charges a request that is dispatched to its customer, whether or not it
  /// was queued.
  void recordDispatch(const ShareScope &Scope, const CustomerId &Customer,
                      Duration Occupancy, TimePoint Now);

  /// Requests of one pool that get an offer per round.
  static constexpr std::size_t OffersPerPool = 3;
  /// The same in a long round. Some long prompts at the head, which each wait
  /// for another endpoint, would keep all others from the endpoints that are
  /// free; a placer has some ten endpoints of a pool. Long rounds are rare, as
  /// offers in vain cost a small host much of its processor time under load.
  static constexpr std::size_t OffersPerLongRound = 16;
  static constexpr Duration LongRoundInterval = std::chrono::milliseconds(40);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
