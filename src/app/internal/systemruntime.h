#ifndef CELERYBEAM_APP_INTERNAL_SYSTEMRUNTIME_H
#define CELERYBEAM_APP_INTERNAL_SYSTEMRUNTIME_H

#include <memory>

#include "framework/runtime.h"

namespace celerybeam {

/// Provides the machine's clocks and random numbers, and threads that run
/// delayed tasks. Thread-safe.
class SystemRuntime {
public:
  /// \param Threads  number of threads that run tasks; at least 1.
  explicit SystemRuntime(unsigned Threads);
  /// Drops tasks that have not started and waits for running ones.
  ~SystemRuntime();

  Runtime hooks();

  /// Does what the destructor does; tasks added later are dropped.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
