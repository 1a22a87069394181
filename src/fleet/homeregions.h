#ifndef CELERYBEAM_FLEET_HOMEREGIONS_H
#define CELERYBEAM_FLEET_HOMEREGIONS_H

#include <set>
#include <string>
#include <utility>

#include "blackboard/idtypes.h"

namespace celerybeam {

/// The regions that may handle a request: all, unless it is restricted to some.
/// A restriction to no region allows none.
class HomeRegions {
public:
  /// All regions.
  HomeRegions() = default;

  static HomeRegions only(std::set<RegionId> Regions) {
    HomeRegions Homes;
    Homes.Restricted_ = true;
    Homes.Regions_ = std::move(Regions);
    return Homes;
  }

  bool isRestricted() const { return Restricted_; }
  bool allows(const RegionId &Region) const {
    return !Restricted_ || Regions_.contains(Region);
  }
  /// The regions that both allow.
  HomeRegions both(const HomeRegions &Other) const;
  /// The regions of a restriction; empty when there is none.
  const std::set<RegionId> &regions() const { return Regions_; }

  /// The regions separated by blanks, for logs; "any" without a restriction.
  std::string text() const;

  bool operator==(const HomeRegions &) const = default;

private:
  bool Restricted_ = false;
  std::set<RegionId> Regions_;
};

} // namespace celerybeam

#endif
