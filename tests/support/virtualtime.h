#ifndef CELERYBEAM_TESTS_SUPPORT_VIRTUALTIME_H
#define CELERYBEAM_TESTS_SUPPORT_VIRTUALTIME_H

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

#include "framework/runtime.h"

namespace celerybeam::testing {

/// A scheduler on a virtual clock. Tasks run in the order of their time and,
/// at the same time, in the order in which they were given, so that a run
/// depends on the seed alone. Not thread-safe.
class VirtualTime {
public:
  explicit VirtualTime(std::uint64_t Seed);

  TimePoint now() const { return Now_; }
  UnixMillis wallNow() const;
  std::uint64_t random() { return Random_(); }

  void after(Duration Delay, Task Work);

  /// Runs the next task; false when there is none.
  bool step();
  /// Runs all that falls due within the span; tasks may call it.
  void runFor(Duration Span);
  /// Runs until the predicate holds or the limit has passed; returns whether
  /// it holds.
  bool runUntil(const std::function<bool()> &Holds, Duration Limit);

  /// Hooks on this clock.
  Runtime runtime();

private:
  using TaskKey = std::pair<TimePoint, std::uint64_t>;

  TimePoint Now_{std::chrono::seconds(1000)};
  std::uint64_t Serial_ = 0;
  std::map<TaskKey, Task> Tasks_;
  std::mt19937_64 Random_;
};

} // namespace celerybeam::testing

#endif
