#ifndef CELERYBEAM_DISPATCH_LONGLANE_H
#define CELERYBEAM_DISPATCH_LONGLANE_H

#include <cstdint>
#include <vector>

#include "fleet/fleettypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Weights that keep long prompts away from other streams.
struct LongLaneSettings {
  /// Share of a region's engines that prompts of ordinary length avoid.
  double Share = 0.34;
  /// Score of such an engine for a prompt of ordinary length.
  Duration Avoidance = std::chrono::milliseconds(50);
  /// Reading times from this share of the longest tolerable pause on disturb
  /// the streams at an engine, and at the full pause each of them.
  double DisturbsFrom = 0.45;
  /// Score of each stream that is disturbed for certain.
  Duration PerStream = std::chrono::milliseconds(120);
};

/// Scores engines so that few streams share one with a very long prompt.
///
/// Answers to "one prompt in ten is so long that reading it alone makes every
/// stream at that engine pause for too long". All hosts agree on the lane
/// without messages, by the hash of the endpoints.
class LongLane {
public:
  explicit LongLane(LongLaneSettings Settings = {}) : Settings_(Settings) {}

  /// How certainly reading for this long disturbs streams, in [0, 1].
  double disturbance(Duration Reading, Duration PauseLimit) const;

  /// Score to add for placing a prompt. \param Reading  time that the engine
  /// reads, including what waits there. \param Streams  in flight there.
  Duration score(const FleetEndpoint &Endpoint,
                 const std::vector<const FleetEndpoint *> &Region,
                 Duration Reading, Duration PauseLimit,
                 std::uint32_t Streams) const;

private:
  bool isInLane(const FleetEndpoint &Endpoint,
                const std::vector<const FleetEndpoint *> &Region) const;

  LongLaneSettings Settings_;
};

} // namespace celerybeam

#endif
