#include "fleet/entrydirectory.h"

#include <algorithm>

namespace celerybeam {

EntryDirectory::EntryDirectory(Runtime R, const HostRegistry &Hosts,
                               const FleetView &Fleet)
    : Runtime_(std::move(R)), Hosts_(Hosts), Fleet_(Fleet), Traffic_(Runtime_),
      StartedAt_(Runtime_.Now()) {}

EntryDirectory::Demand EntryDirectory::demandOf(std::string_view Name) const {
  Demand Found;
  for (const FleetRoute &Route : Fleet_.tables()->Routes) {
    if (Route.Host != Name)
      continue;
    Found.Routes.emplace_back(&Route, Traffic_.weight(Route.Name));
    Found.All += Found.Routes.back().second;
  }
  Found.Counted = Found.All >= MinCountedRequests;
  if (!Found.Counted) {
    for (auto &[Route, Requests] : Found.Routes)
      Requests = 1;
    Found.All = static_cast<double>(Found.Routes.size());
  }
  for (const auto &[Route, Requests] : Found.Routes)
    Found.Restricted += Route->Homes.isRestricted() ? Requests : 0;
  return Found;
}

double EntryDirectory::strayRequests(const Demand &Of, const RegionId &Region) {
  double Stray = 0;
  for (const auto &[Route, Requests] : Of.Routes)
    Stray += Route->Homes.allows(Region) ? 0 : Requests;
  return Stray;
}

bool EntryDirectory::mayLeadAstray(const Demand &Of, double Stray,
                                   bool RegionLost) {
  if (RegionLost)
    return Stray < Of.All;
  if (!Of.Counted)
    return Stray == 0;
  bool Few = Stray < MinCountedRequests && Stray <= MaxStrayShare * Of.All;
  return Few || Stray <= MaxStrayShare * Of.Restricted;
}

EntryAnswer EntryDirectory::answer(const RegionId &CallerRegion,
                                   std::string_view Name) const {
  EntryAnswer Near{Hosts_.entriesIn(CallerRegion), CallerRegion, 0,
                   "own_region"};
  return Near.Ips.empty() ? answerElsewhere(CallerRegion, Name) : Near;
}

EntryAnswer EntryDirectory::answerElsewhere(const RegionId &CallerRegion,
                                            std::string_view Name) const {
  if (!Fleet_.tables())
    return {{}, {}, 0, "no_tables"};
  if (Runtime_.Now() - StartedAt_ < ListeningTime)
    return {{}, {}, 0, "just_started"};
  Demand Of = demandOf(Name);
  if (Of.Routes.empty())
    return {{}, {}, 0, "unknown_name"};
  std::vector<RegionId> Regions = {Hosts_.self().Region};
  for (const RegionId &Region : Hosts_.otherRegions())
    Regions.push_back(Region);
  std::erase(Regions, CallerRegion);
  std::vector<std::pair<double, RegionId>> ByStray;
  ByStray.reserve(Regions.size());
  for (const RegionId &Region : Regions)
    ByStray.emplace_back(strayRequests(Of, Region), Region);
  std::stable_sort(
      ByStray.begin(), ByStray.end(),
      [](const auto &A, const auto &B) { return A.first < B.first; });
  bool Lost = Hosts_.sinceServing(CallerRegion) >= LostAfter;
  for (const auto &[Stray, Region] : ByStray) {
    double Share = Stray > 0 ? Stray / Of.All : 0;
    if (!mayLeadAstray(Of, Stray, Lost))
      return {{}, {}, Share, "no_home_has_hosts"};
    auto Ips = Hosts_.entriesIn(Region);
    if (!Ips.empty())
      return {std::move(Ips), Region, Share,
              Lost ? "region_lost" : "another_region"};
  }
  return {{}, {}, 0, "no_hosts"};
}

} // namespace celerybeam
