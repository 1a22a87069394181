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

/// Hash of a request's customer, model and body; the same on every host.
using Fingerprint = std::uint64_t;

Fingerprint fingerprintOf(const CustomerId &Customer, const ModelName &Model,
                          std::string_view Body);

/// Records requests during which endpoints crashed, and refuses them on every
/// host of the region, also when their callers send them again. Asked before
/// each attempt.
///
/// While a request that has crashed one endpoint runs again, no second copy
/// of it may start, so that it crashes at most MaxEndpoints endpoints.
///
/// Reads: peers of own region. Writes: nothing on the blackboard.
/// Wakes: ends of attempts, messages, tick. Thread-safe.
class PoisonRegistry {
public:
  PoisonRegistry(Blackboard &Board, Runtime R, PeerHooks Peers);
  ~PoisonRegistry();

  static constexpr unsigned MaxEndpoints = 2;

  /// Checks whether an attempt may start, and counts it as running. Fails with
  /// PoisonRequest when the request crashed MaxEndpoints endpoints. Fails with
  /// PoisonRequest and RetryAfter when it crashed one endpoint and another copy
  /// of it is running, or another host of the region is the one to run it: the
  /// host that observed the crash, or a substitute while that host is down.
  Result<void> begin(Fingerprint Hash);

  /// Reports that the attempt ended without a crash of its endpoint.
  void ended(Fingerprint Hash);

  /// Reports that the attempt produced a complete response. The request does
  /// not crash endpoints, so its earlier crashes are cleared in the whole
  /// region. Called in place of ended.
  void succeeded(Fingerprint Hash);

  /// Reports that the endpoint crashed during the attempt; notifies the hosts
  /// of the region. Called in place of ended.
  void crashed(Fingerprint Hash, const EndpointId &Endpoint);

  /// Processes a PoisonReport; ignores messages with other bodies.
  void handle(const messages::Envelope &Message);

  /// Removes entries older than Retention and repeats crash reports.
  void tick();
  static constexpr Duration Retention = std::chrono::minutes(30);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
