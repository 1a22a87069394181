#ifndef CELERYBEAM_GATEWAY_INTERNAL_CONNECTIONWATCH_H
#define CELERYBEAM_GATEWAY_INTERNAL_CONNECTIONWATCH_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "framework/error.h"
#include "gateway/internal/callerconnection.h"

namespace celerybeam {

/// Watches the sockets of all connections on a thread of its own.
///
/// The event loop ignores suspended connections, so this thread notifies them
/// when the caller closes. It also drives the timers of connections and drains
/// the sockets of refused requests. Thread-safe.
class ConnectionWatch {
public:
  explicit ConnectionWatch(std::chrono::milliseconds LingerTimeout);
  /// Stops the thread.
  ~ConnectionWatch();

  /// Starts the thread. Fails with Internal.
  Result<void> start();

  void add(const std::shared_ptr<CallerConnection> &Connection);

  /// Must be called just before the socket is closed.
  void remove(const std::shared_ptr<CallerConnection> &Connection);

  /// The current number of connections, and of those from one IP address.
  std::size_t size() const;
  std::size_t countOf(const std::string &Ip) const;

  void forEach(const std::function<void(CallerConnection &)> &Visit) const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
