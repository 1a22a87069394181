#include "dispatch/coldallowance.h"

#include "framework/stablehash.h"

namespace celerybeam {

namespace {

constexpr double UsPerSecond = 1e6;

std::uint64_t rankOf(const HostId &Host, const EndpointKey &Endpoint) {
  return stableHash(Host.str(), Endpoint.Value);
}

} // namespace

ColdAllowance::ColdAllowance(Runtime R, HostId Self)
    : Runtime_(std::move(R)), Self_(std::move(Self)) {}

bool ColdAllowance::isSender(const EndpointKey &Endpoint,
                             const std::vector<HostId> &Region) const {
  std::uint64_t Own = rankOf(Self_, Endpoint);
  std::size_t Ahead = 0;
  for (const HostId &Host : Region)
    if (Host != Self_ && rankOf(Host, Endpoint) > Own)
      ++Ahead;
  return Ahead < Senders;
}

bool ColdAllowance::wouldTake(const EndpointKey &Endpoint,
                              double RequestsPerSecond,
                              const std::vector<HostId> &Region) {
  if (RequestsPerSecond <= 0)
    return true;
  if (!isSender(Endpoint, Region))
    return false;
  auto Interval = Duration(static_cast<Duration::rep>(
      UsPerSecond * static_cast<double>(Senders) / RequestsPerSecond));
  // A host that has just learned of the endpoint waits one interval first:
  // it may have sent to it before it was restarted.
  auto [It, New] = Next_.try_emplace(Endpoint, Runtime_.Now() + Interval);
  return !New && It->second <= Runtime_.Now();
}

bool ColdAllowance::take(const EndpointKey &Endpoint, double RequestsPerSecond,
                         const std::vector<HostId> &Region) {
  if (!wouldTake(Endpoint, RequestsPerSecond, Region))
    return false;
  if (RequestsPerSecond > 0)
    Next_[Endpoint] =
        Runtime_.Now() +
        Duration(static_cast<Duration::rep>(
            UsPerSecond * static_cast<double>(Senders) / RequestsPerSecond));
  return true;
}

} // namespace celerybeam
