#ifndef CELERYBEAM_RELAY_TIMERQUEUE_H
#define CELERYBEAM_RELAY_TIMERQUEUE_H

#include <compare>
#include <cstdint>
#include <map>
#include <optional>

#include "framework/runtime.h"

namespace celerybeam {

/// Names one timer of a queue. The default names none.
struct TimerId {
  TimePoint At{};
  std::uint64_t Serial = 0;

  auto operator<=>(const TimerId &) const = default;
};

/// The timers of one event loop.
///
/// Answers to "the loop stood still for longer than a time-out": what arrived
/// and what fell due meanwhile is handled in the same turn, and a timer that
/// the arrival cancels must not run any more. A timer is looked up at the
/// moment in which it runs; no handler of it is ever queued before. Does no
/// I/O and reads no clock. Not thread-safe.
class TimerQueue {
public:
  TimerId add(TimePoint At, Task Work);
  /// Nothing happens when the timer has run or was cancelled.
  void cancel(const TimerId &Id);
  /// When the next timer falls due; unset when there is none.
  std::optional<TimePoint> next() const;
  /// Runs what is due by then, earliest first. What these add waits for the
  /// next call, so that sockets get their turn in between.
  void runDue(TimePoint Now);
  /// Drops all timers.
  void clear();

private:
  std::uint64_t LastSerial_ = 0;
  std::map<TimerId, Task> Tasks_;
};

} // namespace celerybeam

#endif
