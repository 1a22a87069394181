#ifndef CELERYBEAM_ROUTING_INTERNAL_WAITPREDICTOR_H
#define CELERYBEAM_ROUTING_INTERNAL_WAITPREDICTOR_H

#include "blackboard/endpointtypes.h"
#include "framework/runtime.h"

namespace celerybeam::detail {

/// Averages over the endpoints of a pool that can serve.
struct PoolAverages {
  /// Requests at an endpoint, as a share of its slots.
  double Load = 0;
  Duration FirstToken{};
  Duration TokenGap{};
  Duration Service{};
};

/// What a new request would find at an endpoint.
struct Prediction {
  /// Requests at the endpoint, as a share of its slots; above 1 some wait.
  double Load = 0;
  /// Time until a slot is free.
  Duration Wait{};
  /// Extra time to the first token, from load and slowness of the endpoint.
  Duration Slowness{};
};

/// Requests that run or wait at the endpoint: its report, which lags, plus
/// what this host sent since; never fewer than this host has there.
std::uint32_t requestsAt(const EndpointRecord &Endpoint);

/// How many times slower than the pool's average the endpoint's tokens are
/// of late; 1 without samples.
double slowdown(const EndpointRecord &Endpoint, const PoolAverages &Averages);

/// Predicts for a new request of any class.
Prediction predict(const EndpointRecord &Endpoint,
                   const PoolAverages &Averages);

} // namespace celerybeam::detail

#endif
