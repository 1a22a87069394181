#include "dispatch/longlane.h"

#include <algorithm>
#include <cmath>

namespace celerybeam {

double LongLane::disturbance(Duration Reading, Duration PauseLimit) const {
  if (PauseLimit <= Duration::zero())
    return 0;
  double Share = static_cast<double>(Reading.count()) /
                 static_cast<double>(PauseLimit.count());
  return std::clamp((Share - Settings_.DisturbsFrom) /
                        (1 - Settings_.DisturbsFrom),
                    0.0, 1.0);
}

bool LongLane::isInLane(
    const FleetEndpoint &Endpoint,
    const std::vector<const FleetEndpoint *> &Region) const {
  auto Ahead = std::count_if(Region.begin(), Region.end(),
                             [&](const FleetEndpoint *Other) {
                               return Other->Key.Value > Endpoint.Key.Value;
                             });
  auto Size = std::lround(static_cast<double>(Region.size()) * Settings_.Share);
  return Ahead < Size;
}

Duration LongLane::score(const FleetEndpoint &Endpoint,
                         const std::vector<const FleetEndpoint *> &Region,
                         Duration Reading, Duration PauseLimit,
                         std::uint32_t Streams) const {
  double Disturbs = disturbance(Reading, PauseLimit);
  if (Disturbs > 0)
    return Duration(static_cast<Duration::rep>(
        Disturbs * Streams * static_cast<double>(Settings_.PerStream.count())));
  return isInLane(Endpoint, Region) ? Settings_.Avoidance : Duration::zero();
}

} // namespace celerybeam
