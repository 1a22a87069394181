#ifndef CELERYBEAM_APP_DAEMON_H
#define CELERYBEAM_APP_DAEMON_H

#include <cstddef>
#include <memory>

#include "framework/error.h"
#include "settings/daemonsettings.h"

namespace celerybeam {

/// Runs the process of one entry host: the core with its servers, clients and
/// threads.
class Daemon {
public:
  explicit Daemon(DaemonSettings Settings);
  /// Stops immediately and aborts the requests in flight.
  ~Daemon();

  /// Listens and starts the core. Fails with InvalidSettings; the message
  /// names the setting.
  Result<void> start();

  /// Shuts down gracefully: finishes the requests in flight within the grace
  /// period of the settings. Blocks. \returns the number of aborted requests.
  std::size_t drain();

  /// Ends a running drain immediately.
  void abortDrain();

  /// Blocks until an operator requests a drain, abortDrain is called or the
  /// limit has passed. \returns whether an operator requested a drain.
  bool waitForDrainRequest(std::chrono::milliseconds Limit);

  std::uint16_t callerPort() const;
  std::uint16_t operatorPort() const;
  std::uint16_t peerPort() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
