#ifndef CELERYBEAM_CONFIGURATION_TESTS_VIRTUALTIME_H
#define CELERYBEAM_CONFIGURATION_TESTS_VIRTUALTIME_H

#include <algorithm>
#include <map>
#include <utility>

#include "framework/runtime.h"

namespace celerybeam::tests {

/// A clock that moves only when told, with the tasks that wait for it.
class VirtualTime {
public:
  TimePoint now() const { return Now_; }

  void after(Duration Delay, Task T) {
    Tasks_.emplace(Now_ + Delay, std::move(T));
  }

  /// Runs all tasks that fall due within the time given; tasks may call it.
  void run(Duration For) {
    TimePoint End = Now_ + For;
    while (!Tasks_.empty() && Tasks_.begin()->first <= End) {
      auto Node = Tasks_.extract(Tasks_.begin());
      Now_ = std::max(Now_, Node.key());
      Node.mapped()();
    }
    Now_ = std::max(Now_, End);
  }

  Runtime runtime(std::uint64_t Seed) {
    Runtime R;
    R.Now = [this] { return Now_; };
    R.WallNow = [this] {
      return std::chrono::duration_cast<UnixMillis>(Now_.time_since_epoch());
    };
    R.Random = [State = Seed]() mutable {
      State = State * 6364136223846793005ULL + 1442695040888963407ULL;
      return State >> 16U;
    };
    R.After = [this](Duration D, Task T) { after(D, std::move(T)); };
    return R;
  }

private:
  TimePoint Now_{};
  std::multimap<TimePoint, Task> Tasks_;
};

} // namespace celerybeam::tests

#endif
