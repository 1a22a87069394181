#include "dispatch/coldstartlimiter.h"

namespace celerybeam {

namespace {

Duration intervalOf(double RequestsPerSecond) {
  constexpr double UsPerSecond = 1e6;
  return Duration(static_cast<Duration::rep>(UsPerSecond / RequestsPerSecond));
}

} // namespace

bool ColdStartLimiter::canTake(const EndpointKey &Endpoint,
                               double RequestsPerSecond) {
  if (RequestsPerSecond <= 0)
    return true;
  // A host that has just learned of the endpoint waits one interval first: it,
  // or the previous placer, may have just sent to it.
  auto [It, New] = Next_.try_emplace(
      Endpoint, Runtime_.Now() + intervalOf(RequestsPerSecond));
  return !New && It->second <= Runtime_.Now();
}

bool ColdStartLimiter::take(const EndpointKey &Endpoint,
                            double RequestsPerSecond) {
  if (!canTake(Endpoint, RequestsPerSecond))
    return false;
  if (RequestsPerSecond > 0)
    Next_[Endpoint] = Runtime_.Now() + intervalOf(RequestsPerSecond);
  return true;
}

} // namespace celerybeam
