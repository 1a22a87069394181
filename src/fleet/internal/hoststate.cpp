#include "fleet/hoststate.h"

#include <algorithm>

#include "framework/stablehash.h"

namespace celerybeam {

RegionDelegates chooseDelegates(std::vector<HostState> Region) {
  std::erase_if(Region,
                [](const HostState &H) { return !H.Ready || H.Leaving; });
  std::sort(Region.begin(), Region.end(),
            [](const HostState &A, const HostState &B) {
              if (A.MilliCores != B.MilliCores)
                return A.MilliCores > B.MilliCores;
              return stableHash(A.Ip) > stableHash(B.Ip);
            });
  std::size_t Count = Region.size();
  std::size_t Placers = (Count + HostsPerPlacer - 1) / HostsPerPlacer;
  std::size_t Aggregators =
      Count <= SmallRegion ? Count : Placers + SpareAggregators;
  RegionDelegates Chosen;
  Chosen.Placers.assign(Region.begin(),
                        Region.begin() + static_cast<std::ptrdiff_t>(Placers));
  Chosen.Aggregators.assign(Region.begin(),
                            Region.begin() + static_cast<std::ptrdiff_t>(
                                                 std::min(Count, Aggregators)));
  return Chosen;
}

} // namespace celerybeam
