#ifndef CELERYBEAM_DISPATCH_COLDALLOWANCE_H
#define CELERYBEAM_DISPATCH_COLDALLOWANCE_H

#include <unordered_map>

#include "fleet/fleettypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// How often a cold endpoint gets a request.
///
/// Answers to "endpoints come back cold together while work is waiting for
/// them". One host places at an endpoint, so no messages are needed; two do so
/// for a moment only when hosts disagree on who is there. Hosts that have all
/// just started each see themselves alone, so a new placer waits for a while.
/// Not thread-safe.
class ColdAllowance {
public:
  explicit ColdAllowance(Runtime R) : Runtime_(std::move(R)) {}

  /// Whether one request may be sent to the endpoint now; counts it if so.
  bool take(const EndpointKey &Endpoint, double RequestsPerSecond);
  /// The same without counting.
  bool wouldTake(const EndpointKey &Endpoint, double RequestsPerSecond);

  /// A placer hands nothing out for this long after the region's placers have
  /// changed: hosts that have just started greet those they were told of within
  /// a second, and the placer before may have used the same second's allowance.
  static constexpr Duration SettleTime = std::chrono::milliseconds(1500);

private:
  Runtime Runtime_;
  /// When the next request may be sent.
  std::unordered_map<EndpointKey, TimePoint> Next_;
};

} // namespace celerybeam

#endif
