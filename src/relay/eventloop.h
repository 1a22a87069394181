#ifndef CELERYBEAM_RELAY_EVENTLOOP_H
#define CELERYBEAM_RELAY_EVENTLOOP_H

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "framework/runtime.h"
#include "relay/timerqueue.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace celerybeam {

/// The single-threaded event loop of a host. Runs all of its sockets and
/// timers.
class EventLoop {
public:
  /// Uses the machine's monotonic clock, which also counts the time in which
  /// the machine is suspended.
  EventLoop();
  /// Uses a clock that a test advances. The test runs due timers itself.
  explicit EventLoop(std::function<TimePoint()> Now);
  ~EventLoop();

  /// Clock, random numbers and timers for the components that make decisions.
  Runtime runtime();

  /// Runs a task once, after at least the given delay and never on the calling
  /// stack. A negative delay counts as zero.
  TimerId after(Duration Delay, Task Work);
  TimerQueue &timers();

  /// Runs handlers until stop() is called. An exception ends only the handler
  /// that throws it.
  void run();
  /// Sets the hook that receives the message of each such exception.
  void onException(std::function<void(const std::string &Message)> Report);
  void stop();
  /// Calls Stop on each SIGTERM or SIGINT, and Reload on each SIGHUP.
  void onSignals(const std::function<void()> &Stop,
                 const std::function<void()> &Reload);

  boost::asio::io_context &context();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
