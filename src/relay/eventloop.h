#ifndef CELERYBEAM_RELAY_EVENTLOOP_H
#define CELERYBEAM_RELAY_EVENTLOOP_H

#include <functional>
#include <memory>

#include "framework/runtime.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace celerybeam {

/// The one thread's loop: all of a host's sockets and timers.
class EventLoop {
public:
  EventLoop();
  ~EventLoop();

  /// Time, randomness and timers for the decisions. Monotonic time counts
  /// while the machine is suspended, too.
  Runtime runtime();

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
