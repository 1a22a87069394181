#include "fleet/entrydirectory.h"

#include <algorithm>

namespace celerybeam {

namespace {

/// With fewer recent requests of a name it is unknown which routes they use.
constexpr double MinCountedRequests = 1;

} // namespace

EntryDirectory::EntryDirectory(Runtime R, const HostRegistry &Hosts,
                               const FleetView &Fleet)
    : Runtime_(std::move(R)), Hosts_(Hosts), Fleet_(Fleet), Traffic_(Runtime_),
      StartedAt_(Runtime_.Now()) {}

EntryDirectory::Demand EntryDirectory::demandOf(std::string_view Name) const {
  Demand Found;
  double Sum = 0;
  for (const FleetRoute &Route : Fleet_.tables()->Routes) {
    if (Route.Host != Name)
      continue;
    double Weight = Traffic_.weight(Route.Name);
    Sum += Weight;
    Found.Routes.emplace_back(&Route, Weight);
  }
  Found.Counted = Sum >= MinCountedRequests;
  if (!Found.Counted)
    for (auto &[Route, Weight] : Found.Routes)
      Weight = 1;
  return Found;
}

double EntryDirectory::strayShare(const Demand &Of, const RegionId &Region) {
  double Sum = 0;
  double Stray = 0;
  for (const auto &[Route, Weight] : Of.Routes) {
    Sum += Weight;
    Stray += Route->Homes.allows(Region) ? 0 : Weight;
  }
  return Sum > 0 ? Stray / Sum : 0;
}

bool EntryDirectory::mayLeadTo(const Demand &Of, double StrayShare) const {
  if (Of.Counted)
    return StrayShare <= MaxStrayShare;
  // After LearningTime the name's requests are too rare to tell its routes
  // apart. Its callers must not stay without an answer for as long as their
  // region has no hosts.
  bool Rare = Runtime_.Now() - StartedAt_ >= LearningTime;
  return Rare ? StrayShare < 1 : StrayShare == 0;
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
  std::vector<std::pair<double, RegionId>> ByShare;
  for (const RegionId &Region : Regions)
    ByShare.emplace_back(strayShare(Of, Region), Region);
  std::stable_sort(
      ByShare.begin(), ByShare.end(),
      [](const auto &A, const auto &B) { return A.first < B.first; });
  for (const auto &[Share, Region] : ByShare) {
    if (!mayLeadTo(Of, Share))
      return {{}, {}, Share, "no_home_has_hosts"};
    auto Ips = Hosts_.entriesIn(Region);
    if (!Ips.empty())
      return {std::move(Ips), Region, Share, "another_region"};
  }
  return {{}, {}, 0, "no_hosts"};
}

} // namespace celerybeam
