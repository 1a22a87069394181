#ifndef CELERYBEAM_DISPATCH_COLDSTARTLIMITER_H
#define CELERYBEAM_DISPATCH_COLDSTARTLIMITER_H

#include <unordered_map>

#include "fleet/fleettypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Limits the rate of requests to endpoints that are cold.
///
/// Handles this load pattern: "endpoints come back cold together while requests
/// are waiting for them". One host places all requests at an endpoint, so the
/// limit needs no messages; two hosts do so briefly when hosts disagree on
/// which of them are there. Hosts that have all just started see no other host
/// at first, so a new placer waits for a while. Not thread-safe.
class ColdStartLimiter {
public:
  explicit ColdStartLimiter(Runtime R) : Runtime_(std::move(R)) {}

  /// Whether one request may be sent to the endpoint now; counts it if so.
  bool take(const EndpointKey &Endpoint, double RequestsPerSecond);
  /// The same check without counting.
  bool canTake(const EndpointKey &Endpoint, double RequestsPerSecond);

  /// A placer sends nothing to cold endpoints for this long after the region's
  /// set of placers has changed. Hosts that have just started contact the hosts
  /// that they know of within a second, and the previous placer may have used
  /// the same second's allowance.
  static constexpr Duration SettleTime = std::chrono::milliseconds(1500);

private:
  Runtime Runtime_;
  /// Earliest time of the next request.
  std::unordered_map<EndpointKey, TimePoint> Next_;
};

} // namespace celerybeam

#endif
