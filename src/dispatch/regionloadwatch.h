#ifndef CELERYBEAM_DISPATCH_REGIONLOADWATCH_H
#define CELERYBEAM_DISPATCH_REGIONLOADWATCH_H

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "dispatch/regionloadtracker.h"

namespace celerybeam {

/// A region whose load is no longer known, or is known again.
struct RegionLoadChange {
  RegionId Region;
  bool Known = false;
  /// Whether the region has ever reported its load to this host.
  bool EverReported = false;
  /// Age of the latest report; without any, the time for which this host has
  /// needed one. When it is known again: the time for which it was not.
  Duration Age{};
};

/// Notices when the load of a region that this host needs is not known for
/// longer than RegionLoadTracker::MaxAge. Not thread-safe.
class RegionLoadWatch {
public:
  RegionLoadWatch(Runtime R, const RegionLoadTracker &Loads)
      : Runtime_(std::move(R)), Loads_(Loads) {}

  /// \param Needed  regions whose load this host needs now. One that is no
  /// longer among them is forgotten. \return the changes since the last call.
  std::vector<RegionLoadChange> update(const std::set<RegionId> &Needed);

  /// Whether the load of a needed region was not known at the last update.
  bool isUnknown(const RegionId &Region) const;

  /// Time in which a host that has begun to need a region's load is sent it:
  /// three intervals of the reports between regions.
  static constexpr Duration FirstReport = std::chrono::milliseconds(1500);

private:
  struct State {
    TimePoint NeededSince{};
    bool WasKnown = false;
    /// Unset while the load is known, or may still arrive.
    std::optional<TimePoint> UnknownSince;
  };

  Runtime Runtime_;
  const RegionLoadTracker &Loads_;
  std::map<RegionId, State> States_;
};

} // namespace celerybeam

#endif
