#ifndef CELERYBEAM_RELAY_EVENTLOOP_H
#define CELERYBEAM_RELAY_EVENTLOOP_H

#include <functional>
#include <memory>
#include <utility>

#include "framework/runtime.h"
#include "relay/timerqueue.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace celerybeam {

/// The one thread's loop: all of a host's sockets and timers.
class EventLoop {
public:
  /// On the machine's clock, which counts while the machine is suspended.
  EventLoop();
  /// On a clock that a test drives; the test runs what is due.
  explicit EventLoop(std::function<TimePoint()> Now);
  ~EventLoop();

  /// Time, randomness and timers for the decisions.
  Runtime runtime();

  /// Runs a task once, not earlier than the delay from now and never on the
  /// calling stack. A negative delay counts as none.
  TimerId after(Duration Delay, Task Work);
  TimerQueue &timers();

  /// Runs until stop is called.
  void run();
  void stop();
  /// Calls a function on each SIGTERM or SIGINT, and another on each SIGHUP.
  void onSignals(const std::function<void()> &Stop,
                 const std::function<void()> &Reload);

  boost::asio::io_context &context();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
