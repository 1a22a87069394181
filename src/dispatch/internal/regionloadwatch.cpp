#include "dispatch/regionloadwatch.h"

namespace celerybeam {

std::vector<RegionLoadChange>
RegionLoadWatch::update(const std::set<RegionId> &Needed) {
  TimePoint Now = Runtime_.Now();
  std::erase_if(States_, [&](const auto &Entry) {
    return !Needed.contains(Entry.first);
  });
  std::vector<RegionLoadChange> Changes;
  for (const RegionId &Region : Needed) {
    State &S = States_.try_emplace(Region, State{Now, false, {}}).first->second;
    auto Age = Loads_.age(Region);
    if (Loads_.isKnown(Region)) {
      if (S.UnknownSince)
        Changes.push_back({Region, true, true, Now - *S.UnknownSince});
      S.WasKnown = true;
      S.UnknownSince.reset();
      continue;
    }
    if (S.UnknownSince || (!S.WasKnown && Now - S.NeededSince < FirstReport))
      continue;
    Changes.push_back(
        {Region, false, Age.has_value(), Age.value_or(Now - S.NeededSince)});
    S.UnknownSince = Now;
  }
  return Changes;
}

bool RegionLoadWatch::isUnknown(const RegionId &Region) const {
  auto Found = States_.find(Region);
  return Found != States_.end() && Found->second.UnknownSince.has_value();
}

} // namespace celerybeam
