#ifndef CELERYBEAM_FRAMEWORK_STRAND_H
#define CELERYBEAM_FRAMEWORK_STRAND_H

#include <deque>
#include <mutex>
#include <utility>

#include "framework/runtime.h"

namespace celerybeam {

/// Runs tasks one at a time in the order in which they are posted, on the
/// threads that post them. No lock is held while a task runs.
///
/// A task posted from within a task runs after it, not inside it. The owner
/// must keep the strand alive while tasks run.
class Strand {
public:
  void post(Task Work) {
    {
      std::lock_guard Lock(Mutex_);
      Queue_.push_back(std::move(Work));
      if (Running_)
        return;
      Running_ = true;
    }
    drain();
  }

private:
  void drain() {
    while (true) {
      Task Next;
      {
        std::lock_guard Lock(Mutex_);
        if (Queue_.empty()) {
          Running_ = false;
          return;
        }
        Next = std::move(Queue_.front());
        Queue_.pop_front();
      }
      Next();
    }
  }

  std::mutex Mutex_;
  std::deque<Task> Queue_;
  bool Running_ = false;
};

} // namespace celerybeam

#endif
