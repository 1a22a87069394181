#ifndef CELERYBEAM_RELAY_TIMERQUEUE_H
#define CELERYBEAM_RELAY_TIMERQUEUE_H

#include <compare>
#include <cstdint>
#include <map>
#include <optional>

#include "framework/runtime.h"

namespace celerybeam {

/// Identifies a timer of a queue. The default value identifies none.
struct TimerId {
  TimePoint At{};
  std::uint64_t Serial = 0;

  auto operator<=>(const TimerId &) const = default;
};

/// The pending timers of an event loop.
///
/// Handles this load pattern: "the loop stalled for longer than a time-out".
/// Data that arrived and timers that became due during the stall are handled in
/// the same turn, and a timer that is cancelled because of the data must not
/// run. Therefore each timer is looked up when it runs, and no handler is
/// queued in advance. Does no I/O and reads no clock. Not thread-safe.
class TimerQueue {
public:
  TimerId add(TimePoint At, Task Work);
  /// Has no effect when the timer has run or was cancelled.
  void cancel(const TimerId &Id);
  /// The time of the next timer; unset when there is none.
  std::optional<TimePoint> next() const;
  /// Runs the timers that are due at the given time, earliest first. Timers
  /// that they add wait for the next call, so that socket handlers run in
  /// between.
  void runDue(TimePoint Now);
  /// Drops all timers.
  void clear();

private:
  std::uint64_t LastSerial_ = 0;
  std::map<TimerId, Task> Tasks_;
};

} // namespace celerybeam

#endif
