#ifndef CELERYBEAM_MEMBERSHIP_INTERNAL_STRAGGLERJUDGE_H
#define CELERYBEAM_MEMBERSHIP_INTERNAL_STRAGGLERJUDGE_H

#include <cstdint>
#include <vector>

#include "blackboard/endpointtypes.h"

namespace celerybeam::detail {

/// What one endpoint of a pool looks like at the moment of judgement.
struct EndpointSample {
  EndpointId Id;
  ProbationState Probation = ProbationState::Clear;
  /// Moving averages; zero without a sample.
  Duration FirstToken{};
  Duration TokenGap{};
  /// Since the last byte of any request in flight; zero when idle.
  Duration SinceProgress{};
  /// Whether a request in flight has had its first token.
  bool Streaming = false;
  std::uint32_t ConsecutiveFailures = 0;
};

/// What is normal in a pool: medians over its endpoints, zero when fewer than
/// two have samples.
struct PoolNorm {
  Duration FirstToken{};
  Duration TokenGap{};
};

PoolNorm poolNorm(const std::vector<EndpointSample> &Samples);

/// How far an endpoint is beyond the limits of its pool; at most 1 within
/// them.
double severity(const EndpointSample &Sample, const PoolNorm &Norm);

/// The endpoints to put on probation, worst first, so that no more than the
/// share of the pool is on probation. In a pool of two or more, one endpoint
/// may always be, unless the cap is zero.
std::vector<EndpointId>
pickStragglers(const std::vector<EndpointSample> &Samples, const PoolNorm &Norm,
               double EjectionCap);

} // namespace celerybeam::detail

#endif
