#ifndef CELERYBEAM_RECOVERY_POISONREGISTRY_H
#define CELERYBEAM_RECOVERY_POISONREGISTRY_H

#include <cstdint>
#include <memory>
#include <string_view>

#include "blackboard/blackboard.h"
#include "framework/error.h"
#include "framework/runtime.h"
#include "messages/peerhooks.h"

namespace celerybeam {

/// Hash of customer, model and body; the same on every host.
using Fingerprint = std::uint64_t;

Fingerprint fingerprintOf(const CustomerId &Customer, const ModelName &Model,
                          std::string_view Body);

/// Refuses requests under which endpoints crashed, on every host of the
/// region, also when their callers send them again.
///
/// While a request that has crashed one endpoint runs again, no second copy
/// of it may start: at most MaxEndpoints endpoints are lost to it.
///
/// Reads: peers of own region. Writes: nothing on the blackboard.
/// Wakes: attempts' ends and messages. Thread-safe.
class PoisonRegistry {
public:
  PoisonRegistry(Blackboard &Board, Runtime R, PeerHooks Peers);
  ~PoisonRegistry();

  static constexpr unsigned MaxEndpoints = 2;

  /// Asks to start an attempt. Fails with PoisonRequest when the request
  /// crashed MaxEndpoints endpoints, or crashed one and either another copy
  /// of it runs or the entry host that saw the crash is another one that
  /// serves (RetryAfter set in these cases).
  Result<void> begin(Fingerprint Print);

  /// The attempt ended without a crash of its endpoint.
  void ended(Fingerprint Print);

  /// The attempt gave a whole answer: the request does not crash endpoints,
  /// and earlier crashes under it count no longer, in the whole region. Called
  /// in place of ended.
  void succeeded(Fingerprint Print);

  /// The endpoint crashed under the attempt; tells the region.
  void crashed(Fingerprint Print, const EndpointId &Endpoint);

  /// Takes PoisonReport; ignores other bodies.
  void handle(const messages::Envelope &Message);

  /// Forgets entries older than Retention.
  void tick();
  static constexpr Duration Retention = std::chrono::minutes(30);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
