#ifndef CELERYBEAM_FRAMEWORK_RUNTIME_H
#define CELERYBEAM_FRAMEWORK_RUNTIME_H

#include <chrono>
#include <cstdint>
#include <functional>

namespace celerybeam {

using Duration = std::chrono::microseconds;

/// A monotonic clock that is read only through Runtime::Now, so that tests
/// can control it. It never reads the machine's clock itself.
struct DrivenClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<DrivenClock, Duration>;
  static constexpr bool is_steady = true; // NOLINT: name of the standard
};

using TimePoint = DrivenClock::time_point;

/// Milliseconds since the Unix epoch, as in a UUIDv7.
using UnixMillis = std::chrono::milliseconds;

using Task = std::function<void()>;

/// Clock, random numbers and timers for the modules that do no I/O. All hooks
/// are thread-safe.
struct Runtime {
  /// Monotonic time.
  std::function<TimePoint()> Now;
  /// Wall time; may jump.
  std::function<UnixMillis()> WallNow;
  /// Uniform 64-bit random numbers.
  std::function<std::uint64_t()> Random;
  /// Runs a task once after at least the delay, never on the calling stack.
  std::function<void(Duration, Task)> After;
};

} // namespace celerybeam

#endif
