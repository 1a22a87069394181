#ifndef CELERYBEAM_DISPATCH_LONGPROMPTSCORER_H
#define CELERYBEAM_DISPATCH_LONGPROMPTSCORER_H

#include <cstdint>
#include <vector>

#include "fleet/fleettypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Weights that keep long prompts away from other streams.
struct LongPromptSettings {
  /// Share of a region's engines that prompts of ordinary length avoid.
  double Share = 0.34;
  /// Score of such an engine for a prompt of ordinary length.
  Duration Avoidance = std::chrono::milliseconds(50);
  /// A prefill that takes this share of the longest tolerable pause starts to
  /// disturb the streams at an engine; one that takes the full pause disturbs
  /// each of them.
  double DisturbanceStart = 0.45;
  /// Score of each stream that is disturbed for certain.
  Duration PerStream = std::chrono::milliseconds(120);
};

/// Scores engines so that few streams share one with a very long prompt.
///
/// Handles this load pattern: "one prompt in ten is so long that its prefill
/// alone makes every stream at that engine pause for too long". All hosts agree
/// without messages on the engines that are preferred for long prompts, by the
/// hash of the endpoints.
class LongPromptScorer {
public:
  explicit LongPromptScorer(LongPromptSettings Settings = {})
      : Settings_(Settings) {}

  /// Probability that a prefill of this length disturbs streams, in [0, 1].
  double disturbance(Duration PrefillTime, Duration PauseLimit) const;

  /// Score to add for placing a prompt. \param PrefillTime  of the engine,
  /// including what waits there. \param Streams  in flight there.
  Duration score(const FleetEndpoint &Endpoint,
                 const std::vector<const FleetEndpoint *> &Region,
                 Duration PrefillTime, Duration PauseLimit,
                 std::uint32_t Streams) const;

private:
  bool
  isPreferredForLong(const FleetEndpoint &Endpoint,
                     const std::vector<const FleetEndpoint *> &Region) const;

  LongPromptSettings Settings_;
};

} // namespace celerybeam

#endif
