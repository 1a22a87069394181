#include "fleet/homeregions.h"

#include <algorithm>
#include <iterator>

namespace celerybeam {

HomeRegions HomeRegions::both(const HomeRegions &Other) const {
  if (!Restricted_)
    return Other;
  if (!Other.Restricted_)
    return *this;
  std::set<RegionId> Common;
  std::set_intersection(Regions_.begin(), Regions_.end(),
                        Other.Regions_.begin(), Other.Regions_.end(),
                        std::inserter(Common, Common.end()));
  return only(std::move(Common));
}

std::string HomeRegions::text() const {
  if (!Restricted_)
    return "any";
  std::string Text;
  for (const RegionId &Region : Regions_)
    Text += (Text.empty() ? "" : " ") + Region.str();
  return Text;
}

} // namespace celerybeam
