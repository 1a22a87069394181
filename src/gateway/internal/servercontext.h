#ifndef CELERYBEAM_GATEWAY_INTERNAL_SERVERCONTEXT_H
#define CELERYBEAM_GATEWAY_INTERNAL_SERVERCONTEXT_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>

#include "gateway/callerhandler.h"
#include "gateway/callerserver.h"

namespace celerybeam {

/// Options, handler and counters shared by all connections of a CallerServer.
/// Thread-safe.
class ServerContext {
public:
  ServerContext(CallerServerOptions O, CallerHandler H)
      : Options(std::move(O)),
        Handler(std::make_shared<const CallerHandler>(std::move(H))) {}

  const CallerServerOptions Options;
  /// Shared with the exchanges, which may outlive the server.
  const std::shared_ptr<const CallerHandler> Handler;

  std::atomic<bool> Stopping = false;
  std::atomic<std::uint64_t> Connections = 0;
  std::atomic<std::uint64_t> ConnectionsRefused = 0;
  std::atomic<std::uint64_t> Requests = 0;
  std::atomic<std::uint64_t> RefusedFromHead = 0;
  std::atomic<std::uint64_t> CallersGone = 0;
  std::atomic<std::uint64_t> TimedOut = 0;

  /// Adds a request in flight; leave removes it.
  void enter() {
    std::lock_guard Lock(Mutex_);
    ++InFlight_;
  }
  void leave() {
    std::lock_guard Lock(Mutex_);
    if (--InFlight_ == 0)
      Idle_.notify_all();
  }
  std::uint64_t inFlight() const {
    std::lock_guard Lock(Mutex_);
    return InFlight_;
  }
  /// Waits until no request is in flight or the time has passed; returns the
  /// number in flight.
  std::uint64_t awaitIdle(std::chrono::milliseconds MaxWait) {
    std::unique_lock Lock(Mutex_);
    Idle_.wait_for(Lock, MaxWait, [this] { return InFlight_ == 0; });
    return InFlight_;
  }

private:
  mutable std::mutex Mutex_;
  std::condition_variable Idle_;
  std::uint64_t InFlight_ = 0;
};

} // namespace celerybeam

#endif
