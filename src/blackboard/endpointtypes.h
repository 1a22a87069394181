#ifndef CELERYBEAM_BLACKBOARD_ENDPOINTTYPES_H
#define CELERYBEAM_BLACKBOARD_ENDPOINTTYPES_H

#include <cstdint>
#include <string>
#include <vector>

#include "blackboard/idtypes.h"
#include "blackboard/tabletypes.h"
#include "framework/runtime.h"

namespace celerybeam {

enum class EndpointState { Live, Leaving, Gone };

/// An endpoint as the platform's list describes it.
struct EndpointDescriptor {
  EndpointId Id;
  Address Where;
  RegionId Region;
  ZoneId Zone;
  PoolKind Kind = PoolKind::Engine;
  /// The endpoint belongs to the pools with the same label.
  std::string Label;
  /// Number of requests that the endpoint runs at the same time.
  std::uint32_t Slots = 1;
};

/// The load that an endpoint reported in a response header or on its load
/// page.
struct LoadReport {
  /// When this host received it, less the lag that the report states.
  TimePoint MeasuredAt{};
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  /// Share of the KV cache in use, in [0, 1].
  double CacheUse = 0;
};

/// What this host measured on its own requests at an endpoint.
struct EndpointObservation {
  std::uint32_t ShortInFlight = 0;
  std::uint32_t LongInFlight = 0;
  /// Dispatches since the load report was measured.
  std::uint32_t SentSinceReport = 0;
  /// Moving averages; zero until the first sample.
  Duration FirstToken{};
  Duration TokenGap{};
  Duration Service{};
  /// When a token last arrived for any request, or the first request was sent
  /// after a time without any in flight.
  TimePoint LastProgress{};
  std::uint32_t ConsecutiveFailures = 0;
};

/// Whether an endpoint gets ordinary traffic.
enum class ProbationState {
  Clear,
  /// Receives probes only.
  Ejected,
  /// Receives a small share of traffic that grows with each success.
  Returning,
};

/// All that a host knows about an endpoint.
struct EndpointRecord {
  EndpointDescriptor Descriptor;
  EndpointState State = EndpointState::Live;
  LoadReport Report;
  EndpointObservation Observed;
  ProbationState Probation = ProbationState::Clear;
  /// Share of ordinary traffic while returning, in (0, 1].
  double ReturnShare = 1;
  /// Models that the endpoint has loaded.
  std::vector<ModelName> Loaded;
};

} // namespace celerybeam

#endif
