#include "fleet/fleettypes.h"

#include <algorithm>

#include "framework/stablehash.h"

namespace celerybeam {

const FleetRoute *FleetTables::find(std::string_view Host,
                                    std::string_view Path) const {
  Path = Path.substr(0, Path.find('?'));
  const FleetRoute *Best = nullptr;
  for (const FleetRoute &Route : Routes) {
    if (Route.Host != Host || !Path.starts_with(Route.PathPrefix))
      continue;
    if (Best == nullptr || Route.PathPrefix.size() > Best->PathPrefix.size())
      Best = &Route;
  }
  return Best;
}

const FleetRoute *FleetTables::route(const RouteName &Name) const {
  auto Found =
      std::find_if(Routes.begin(), Routes.end(),
                   [&](const FleetRoute &Route) { return Route.Name == Name; });
  return Found == Routes.end() ? nullptr : &*Found;
}

const FleetPool *FleetTables::pool(const PoolName &Name) const {
  auto Found = Pools.find(Name);
  return Found == Pools.end() ? nullptr : &Found->second;
}

EndpointKey endpointKeyOf(const EndpointId &Id, std::int64_t StartedAt) {
  return {stableHash(Id.str(), static_cast<std::uint64_t>(StartedAt))};
}

} // namespace celerybeam
