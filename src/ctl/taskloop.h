#ifndef CELERYBEAM_CTL_TASKLOOP_H
#define CELERYBEAM_CTL_TASKLOOP_H

#include <functional>
#include <map>
#include <optional>

#include "framework/runtime.h"
#include "framework/storehooks.h"

namespace celerybeam::ctl {

/// Runs the tasks of one command on the calling thread, so that hooks never
/// complete on their caller's stack.
class TaskLoop {
public:
  void after(Duration Delay, Task T);

  /// Returns the machine's clocks and random numbers, with tasks run by this
  /// loop.
  Runtime runtime();

  /// Starts a call and runs tasks until it completes.
  template <typename T>
  Result<T> await(const std::function<void(Completion<T>)> &Start) {
    std::optional<Result<T>> Outcome;
    Start([&](Result<T> R) { Outcome.emplace(std::move(R)); });
    while (!Outcome && runNext()) {
    }
    if (!Outcome)
      return makeError(ErrorKind::Internal, "The call never completed.");
    return std::move(*Outcome);
  }

private:
  /// Waits for the next task and runs it; false when there is none.
  bool runNext();

  std::multimap<std::chrono::steady_clock::time_point, Task> Tasks_;
};

} // namespace celerybeam::ctl

#endif
