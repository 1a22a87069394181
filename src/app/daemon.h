#ifndef CELERYBEAM_APP_DAEMON_H
#define CELERYBEAM_APP_DAEMON_H

#include <cstddef>
#include <memory>

#include "framework/error.h"
#include "settings/daemonsettings.h"

namespace celerybeam {

/// One entry host's process: the core with its servers, clients and threads.
class Daemon {
public:
  explicit Daemon(DaemonSettings Settings);
  /// Stops at once; requests in flight are cut off.
  ~Daemon();

  /// Listens and starts the core. Fails with InvalidSettings; the message
  /// names the setting.
  Result<void> start();

  /// Leaves gracefully: finishes what is in flight within the settings' grace
  /// period. Blocks. \returns the number of requests that were cut off.
  std::size_t drain();

  /// Ends a drain that is under way at once.
  void hurry();

  /// Blocks until an operator asks for a drain, or until hurry.
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
