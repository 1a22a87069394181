#ifndef CELERYBEAM_DISPATCH_QUEUEFORECAST_H
#define CELERYBEAM_DISPATCH_QUEUEFORECAST_H

#include <unordered_map>

#include "blackboard/idtypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Work that waits ahead of a request, as time at one place of an endpoint.
struct WorkAhead {
  Duration OnTime{};
  Duration Late{};
};

/// Forecasts how long a request waits in the queue of a pool.
///
/// Answers to "a burst leaves a backlog": endpoints work it off beside what
/// goes on coming in. How much of their time that leaves is learned from the
/// work that arrives, and how far they fall short of their full speed
/// (streams, pauses between prompts, unlike prompts) from what single requests
/// have waited. Not thread-safe.
class QueueForecast {
public:
  explicit QueueForecast(Runtime R) : Runtime_(std::move(R)) {}

  /// A request arrived that takes a place for this long.
  void arrived(const PoolName &Pool, Duration Work);
  /// A request that waited was sent after this time.
  void waited(const PoolName &Pool, Duration Predicted, Duration Took);

  /// Wait among those that can be on time. \param Places  of all endpoints.
  Duration onTimeWait(const PoolName &Pool, const WorkAhead &Ahead,
                      std::size_t Places) const;
  /// Wait behind those and behind late ones, in the time that new arrivals
  /// leave.
  Duration lateWait(const PoolName &Pool, const WorkAhead &Ahead,
                    std::size_t Places) const;
  /// Share of the places' time that arrivals ask for; above 1 under overload.
  double demand(const PoolName &Pool, std::size_t Places) const;

  /// Time constant of the demand: some bursts of callers long, and shorter than
  /// a caller waits.
  static constexpr Duration DemandMemory = std::chrono::seconds(2);
  /// Late requests are not predicted to get less than this share of the time.
  static constexpr double LeastLateShare = 0.05;

private:
  struct PoolState {
    /// Time that waiting takes, over the time that it is predicted to take.
    double Factor = 1;
    /// Work that arrived of late, each weighed by its age.
    double RecentUs = 0;
    TimePoint At{};
  };

  double factor(const PoolName &Pool) const;

  Runtime Runtime_;
  std::unordered_map<PoolName, PoolState> Pools_;
};

} // namespace celerybeam

#endif
