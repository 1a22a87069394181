#ifndef CELERYBEAM_DISPATCH_QUEUEWAITESTIMATOR_H
#define CELERYBEAM_DISPATCH_QUEUEWAITESTIMATOR_H

#include <unordered_map>

#include "blackboard/idtypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Occupancy that is queued ahead of a request, in time of one slot.
struct QueuedServiceTime {
  Duration OnTime{};
  Duration Late{};
};

/// Estimates how long a request waits in the queue of a pool.
///
/// Handles this load pattern: "a burst leaves a backlog". Endpoints work it off
/// while new requests come in. The share of their time that is left for it is
/// learned from the occupancy that arrives, and how far they fall short of
/// their full speed (streams, pauses between prompts, dissimilar prompts) from
/// the time that single requests have waited. Not thread-safe.
class QueueWaitEstimator {
public:
  explicit QueueWaitEstimator(Runtime R) : Runtime_(std::move(R)) {}

  /// Records that a request arrived that takes a slot for this long.
  void recordArrival(const PoolName &Pool, Duration Occupancy);
  /// Records the predicted and the actual wait of a request that was sent.
  void recordWait(const PoolName &Pool, Duration Predicted, Duration Took);

  /// Wait among the requests that can be on time. \param Slots  slots of all
  /// endpoints.
  Duration onTimeWait(const PoolName &Pool, const QueuedServiceTime &Ahead,
                      std::size_t Slots) const;
  /// Wait behind those and behind late ones, in the time that new arrivals
  /// leave.
  Duration lateWait(const PoolName &Pool, const QueuedServiceTime &Ahead,
                    std::size_t Slots) const;
  /// Share of the slots' time that arrivals need; above 1 under overload.
  double demand(const PoolName &Pool, std::size_t Slots) const;

  /// Time constant of the demand: as long as several bursts of callers, and
  /// shorter than a caller waits.
  static constexpr Duration DemandMemory = std::chrono::seconds(2);
  /// Late requests are predicted to get at least this share of the time.
  static constexpr double MinLateShare = 0.05;

private:
  struct PoolState {
    /// Ratio of actual to predicted wait.
    double Factor = 1;
    /// Occupancy that arrived recently in microseconds, weighted by age.
    double RecentUs = 0;
    TimePoint At{};
  };

  double factor(const PoolName &Pool) const;

  Runtime Runtime_;
  std::unordered_map<PoolName, PoolState> Pools_;
};

} // namespace celerybeam

#endif
