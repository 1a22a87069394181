#ifndef CELERYBEAM_APP_INTERNAL_SYSTEMRUNTIME_H
#define CELERYBEAM_APP_INTERNAL_SYSTEMRUNTIME_H

#include <memory>

#include "framework/runtime.h"

namespace celerybeam {

/// The machine's clocks and randomness, and threads that run delayed tasks.
/// Thread-safe.
class SystemRuntime {
public:
  /// \param Threads  that run tasks; at least 1.
  explicit SystemRuntime(unsigned Threads);
  /// Drops tasks that have not begun and waits for those that have.
  ~SystemRuntime();

  Runtime hooks();

  /// As the destructor; tasks given later are dropped.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
