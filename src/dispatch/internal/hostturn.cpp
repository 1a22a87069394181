#include "dispatch/hostturn.h"

#include <algorithm>
#include <array>

#include "framework/stablehash.h"

namespace celerybeam {

namespace {

std::uint64_t rankOf(const HostId &Host, const EndpointKey &Endpoint,
                     std::uint64_t Epoch) {
  return stableHash(Host.str(), stableHash(Endpoint.Value, Epoch));
}

} // namespace

Duration HostTurn::delay(const HostId &Self, const std::vector<HostId> &Others,
                         const EndpointKey &Endpoint, TimePoint Now) {
  auto Number = static_cast<std::uint64_t>(Now.time_since_epoch().count() /
                                           Epoch.count());
  std::uint64_t Own = rankOf(Self, Endpoint, Number);
  auto Ahead =
      std::count_if(Others.begin(), Others.end(), [&](const HostId &Host) {
        return rankOf(Host, Endpoint, Number) > Own;
      });
  return Step * Ahead;
}

} // namespace celerybeam
