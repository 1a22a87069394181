#ifndef CELERYBEAM_ROUTING_INTERNAL_WAITPREDICTOR_H
#define CELERYBEAM_ROUTING_INTERNAL_WAITPREDICTOR_H

#include "blackboard/endpointtypes.h"
#include "framework/runtime.h"

namespace celerybeam::detail {

/// Averages over the endpoints of a pool that can serve; the reference for
/// predictions about a single endpoint.
struct PoolAverages {
  /// Requests at an endpoint, as a share of its slots.
  double Load = 0;
  Duration FirstToken{};
  Duration TokenGap{};
  Duration Service{};
};

/// Predicted load and delays of a new request at an endpoint.
struct Prediction {
  /// Requests at the endpoint, as a share of its slots; above 1 some are
  /// queued.
  double Load = 0;
  /// Time until a slot is free.
  Duration Wait{};
  /// Additional time to the first token because the endpoint is loaded or slow.
  Duration ExtraLatency{};
};

/// Number of requests running or waiting at the endpoint. This is its latest
/// report, which lags, plus the requests that this host sent since; at least
/// the number that this host has in flight there.
std::uint32_t requestsAt(const EndpointRecord &Endpoint);

/// Factor by which the endpoint's recent token rate is slower than the pool's
/// average; at least 1, and 1 without samples.
double slowdown(const EndpointRecord &Endpoint, const PoolAverages &Averages);

/// Predicts load and delays of a new request of any class.
Prediction predict(const EndpointRecord &Endpoint,
                   const PoolAverages &Averages);

} // namespace celerybeam::detail

#endif
