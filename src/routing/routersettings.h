#ifndef CELERYBEAM_ROUTING_ROUTERSETTINGS_H
#define CELERYBEAM_ROUTING_ROUTERSETTINGS_H

#include "framework/runtime.h"

namespace celerybeam {

/// Assumptions of the router about links and engines, and limits of its
/// decisions.
struct RouterSettings {
  /// One-way latency to another availability zone of the region.
  Duration ZoneHop = std::chrono::microseconds(1500);
  /// One-way latency to another region.
  Duration RegionHop = std::chrono::milliseconds(55);
  /// Bytes per second that all hosts of this region together may send over one
  /// link to another region, divided equally among the hosts alive. The default
  /// is half of 140 Mbit/s.
  double LinkBytesPerSecond = 140e6 / 8 / 2;
  /// Prefill time of an engine per prompt token that is not in its cache.
  Duration PrefillPerToken = std::chrono::microseconds(200);
  /// Service time assumed for an endpoint until one has been observed.
  Duration AssumedService = std::chrono::seconds(2);
  /// Number of endpoints sampled at random for one decision.
  unsigned RandomChoices = 4;
  /// Maximum age of the cached view of a pool that a decision samples from. The
  /// sampled endpoints themselves are read from the blackboard.
  Duration MaxViewAge = std::chrono::milliseconds(100);
};

} // namespace celerybeam

#endif
