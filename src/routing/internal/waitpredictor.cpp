#include "routing/internal/waitpredictor.h"

#include <algorithm>

namespace celerybeam::detail {

namespace {

constexpr double MaxSlowdown = 10;
/// Weight of this host's requests in flight on top of the report. Other hosts
/// have as many in flight, but these are known late, so balancing this host's
/// own requests balances all. Weight 2 outweighs the error of a late report.
constexpr double OwnRequestWeight = 2;

Duration scaled(Duration D, double Factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(D.count()) * Factor));
}

} // namespace

std::uint32_t requestsAt(const EndpointRecord &Endpoint) {
  const LoadReport &Report = Endpoint.Report;
  const EndpointObservation &Observed = Endpoint.Observed;
  return std::max(Report.Running + Report.Waiting + Observed.SentSinceReport,
                  Observed.ShortInFlight + Observed.LongInFlight);
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
  const EndpointObservation &Observed = Endpoint.Observed;
  double Requests =
      requestsAt(Endpoint) +
      OwnRequestWeight * (Observed.ShortInFlight + Observed.LongInFlight);
  double SlowdownFactor = slowdown(Endpoint, Averages);
  P.Load = Requests / Slots;
  double QueuedAhead = std::max(0., Requests - Slots + 1);
  P.Wait = scaled(Averages.Service, SlowdownFactor * QueuedAhead / Slots);
  P.ExtraLatency = scaled(Averages.FirstToken,
                          SlowdownFactor * (1 + std::min(P.Load, 1.)) - 1);
  return P;
}

} // namespace celerybeam::detail
