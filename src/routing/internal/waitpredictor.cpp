#include "routing/internal/waitpredictor.h"

#include <algorithm>

namespace celerybeam::detail {

namespace {

constexpr double MaxSlowdown = 10;
/// Weight of own requests in flight on top of the report. The other hosts'
/// are as many but known late, so evening out the own ones evens out all; two
/// of them outweigh what a late report may be wrong by.
constexpr double OwnWeight = 2;

Duration scaled(Duration D, double Factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(D.count()) * Factor));
}

} // namespace

std::uint32_t requestsAt(const EndpointRecord &Endpoint) {
  const LoadReport &Report = Endpoint.Report;
  const EndpointObservation &Seen = Endpoint.Observed;
  return std::max(Report.Running + Report.Waiting + Seen.SentSinceReport,
                  Seen.ShortInFlight + Seen.LongInFlight);
}

double slowdown(const EndpointRecord &Endpoint, const PoolAverages &Averages) {
  const Duration Gap = Endpoint.Observed.TokenGap;
  if (Gap <= Duration(0) || Averages.TokenGap <= Duration(0))
    return 1;
  return std::clamp(static_cast<double>(Gap.count()) /
                        static_cast<double>(Averages.TokenGap.count()),
                    1., MaxSlowdown);
}

Prediction predict(const EndpointRecord &Endpoint,
                   const PoolAverages &Averages) {
  Prediction P;
  double Slots = std::max(1U, Endpoint.Descriptor.Slots);
  const EndpointObservation &Seen = Endpoint.Observed;
  double Requests = requestsAt(Endpoint) +
                    OwnWeight * (Seen.ShortInFlight + Seen.LongInFlight);
  double Slow = slowdown(Endpoint, Averages);
  P.Load = Requests / Slots;
  double Ahead = std::max(0., Requests - Slots + 1);
  P.Wait = scaled(Averages.Service, Slow * Ahead / Slots);
  P.Slowness =
      scaled(Averages.FirstToken, Slow * (1 + std::min(P.Load, 1.)) - 1);
  return P;
}

} // namespace celerybeam::detail
