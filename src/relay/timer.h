#ifndef CELERYBEAM_RELAY_TIMER_H
#define CELERYBEAM_RELAY_TIMER_H

#include "relay/eventloop.h"

namespace celerybeam {

/// A restartable timer, held as a member by the object that its tasks use.
/// After set(), cancel() or destruction no earlier task runs, even if it is
/// already due in the loop, so tasks may use the owner without extending its
/// lifetime. The loop must outlive the timer.
class Timer {
public:
  explicit Timer(EventLoop &Loop) : Loop_(Loop) {}
  ~Timer() { cancel(); }
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;

  /// Starts the timer, replacing a previous task.
  void set(Duration Delay, Task Work) {
    cancel();
    Id_ = Loop_.after(Delay, std::move(Work));
  }
  void cancel() { Loop_.timers().cancel(std::exchange(Id_, TimerId())); }

private:
  EventLoop &Loop_;
  TimerId Id_;
};

} // namespace celerybeam

#endif
