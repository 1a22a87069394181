#ifndef CELERYBEAM_MEMBERSHIP_INTERNAL_STRAGGLERDETECTOR_H
#define CELERYBEAM_MEMBERSHIP_INTERNAL_STRAGGLERDETECTOR_H

#include <cstdint>
#include <vector>

#include "blackboard/endpointtypes.h"

namespace celerybeam::detail {

/// Measurements of one endpoint of a pool, from which its severity is computed.
struct EndpointSample {
  EndpointId Id;
  ProbationState Probation = ProbationState::Clear;
  /// Moving averages; zero while there is no sample.
  Duration FirstToken{};
  Duration TokenGap{};
  /// Time since the last progress of any request in flight; zero when idle.
  Duration SinceProgress{};
  /// Whether a request in flight has received its first token.
  bool Streaming = false;
  std::uint32_t ConsecutiveFailures = 0;
};

/// Reference values of a pool: medians over its endpoints; zero when fewer than
/// two have samples.
struct PoolNorm {
  Duration FirstToken{};
  Duration TokenGap{};
};

PoolNorm poolNorm(const std::vector<EndpointSample> &Samples);

/// Largest ratio of the endpoint's values to the limits of its pool; at most 1
/// while the endpoint is within the limits.
double severity(const EndpointSample &Sample, const PoolNorm &Norm);

/// Returns the endpoints to eject, worst first, so that at most the share
/// EjectionCap of the pool is ejected. In a pool of two or more, one endpoint
/// may always be ejected, unless the cap is zero.
std::vector<EndpointId>
pickStragglers(const std::vector<EndpointSample> &Samples, const PoolNorm &Norm,
               double EjectionCap);

} // namespace celerybeam::detail

#endif
