#ifndef CELERYBEAM_BOOKING_INTERNAL_EFFECTS_H
#define CELERYBEAM_BOOKING_INTERNAL_EFFECTS_H

#include <utility>
#include <vector>

#include "framework/runtime.h"

namespace celerybeam::detail {

/// Collects calls of hooks and completions while the lock is held; they run
/// after the lock is released.
class Effects {
public:
  void add(Task Effect) { Tasks_.push_back(std::move(Effect)); }

  void run() {
    for (Task &Effect : std::exchange(Tasks_, {}))
      Effect();
  }

private:
  std::vector<Task> Tasks_;
};

} // namespace celerybeam::detail

#endif
