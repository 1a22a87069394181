#include "dispatch/longpromptscorer.h"

#include <algorithm>
#include <cmath>

namespace celerybeam {

double LongPromptScorer::disturbance(Duration PrefillTime,
                                     Duration PauseLimit) const {
  if (PauseLimit <= Duration::zero())
    return 0;
  double Share = static_cast<double>(PrefillTime.count()) /
                 static_cast<double>(PauseLimit.count());
  return std::clamp((Share - Settings_.DisturbanceStart) /
                        (1 - Settings_.DisturbanceStart),
                    0.0, 1.0);
}

bool LongPromptScorer::isPreferredForLong(
    const FleetEndpoint &Endpoint,
    const std::vector<const FleetEndpoint *> &Region) const {
  auto Ahead = std::count_if(Region.begin(), Region.end(),
                             [&](const FleetEndpoint *Other) {
                               return Other->Key.Value > Endpoint.Key.Value;
                             });
  auto Size = std::lround(static_cast<double>(Region.size()) * Settings_.Share);
  return Ahead < Size;
}

Duration
LongPromptScorer::score(const FleetEndpoint &Endpoint,
                        const std::vector<const FleetEndpoint *> &Region,
                        Duration PrefillTime, Duration PauseLimit,
                        std::uint32_t Streams) const {
  double Disturbance = disturbance(PrefillTime, PauseLimit);
  if (Disturbance > 0)
    return Duration(static_cast<Duration::rep>(
        Disturbance * Streams *
        static_cast<double>(Settings_.PerStream.count())));
  return isPreferredForLong(Endpoint, Region) ? Settings_.Avoidance
                                              : Duration::zero();
}

} // namespace celerybeam
