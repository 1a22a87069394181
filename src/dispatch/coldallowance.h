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
/// for a moment only when hosts disagree on who is there. Not thread-safe.
class ColdAllowance {
public:
  explicit ColdAllowance(Runtime R) : Runtime_(std::move(R)) {}

  /// Whether one request may be sent to the endpoint now; counts it if so.
  bool take(const EndpointKey &Endpoint, double RequestsPerSecond);
  /// The same without counting.
  bool wouldTake(const EndpointKey &Endpoint, double RequestsPerSecond);

private:
  Runtime Runtime_;
  /// When the next request may be sent.
  std::unordered_map<EndpointKey, TimePoint> Next_;
};

} // namespace celerybeam

#endif
