#ifndef CELERYBEAM_RELAY_TIMER_H
#define CELERYBEAM_RELAY_TIMER_H

#include "relay/eventloop.h"

namespace celerybeam {

/// One timer of an owner that may set it anew. Neither a task of an earlier
/// setting nor any task after cancel or destruction runs, whatever the loop
/// has queued; so a task may use the owner without holding it. The loop must
/// outlive it.
class Timer {
public:
  explicit Timer(EventLoop &Loop) : Loop_(Loop) {}
  ~Timer() { cancel(); }
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;

  /// Replaces what was set.
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
