#include "fleet/homeregions.h"

namespace celerybeam {

std::string HomeRegions::text() const {
  if (!Restricted_)
    return "any";
  std::string Text;
  for (const RegionId &Region : Regions_)
    Text += (Text.empty() ? "" : " ") + Region.str();
  return Text;
}

} // namespace celerybeam
