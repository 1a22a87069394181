#ifndef CELERYBEAM_TESTS_SUPPORT_VIRTUALHOST_H
#define CELERYBEAM_TESTS_SUPPORT_VIRTUALHOST_H

#include <memory>

#include "blackboard/idtypes.h"
#include "support/virtualtime.h"

namespace celerybeam::testing {

/// One life of a process on the virtual clock. What is posted to it waits
/// while it is paused and is dropped once it has crashed. Copies share the
/// state.
class VirtualHost {
public:
  VirtualHost(VirtualTime &Time, HostId Id);

  const HostId &id() const;
  bool running() const;
  bool crashed() const;

  /// Runs a task on this host.
  void post(Duration Delay, Task Work) const;
  /// Runs a task on this host at every interval.
  void every(Duration Interval, Task Work) const;

  void pause() const;
  /// Runs, in order, what came due during the pause.
  void resume() const;
  void crash() const;

  /// Hooks that run tasks on this host.
  Runtime runtime() const;

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace celerybeam::testing

#endif
