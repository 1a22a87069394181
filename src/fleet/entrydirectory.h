#ifndef CELERYBEAM_FLEET_ENTRYDIRECTORY_H
#define CELERYBEAM_FLEET_ENTRYDIRECTORY_H

#include <string>
#include <string_view>
#include <vector>

#include "fleet/fleetview.h"
#include "fleet/hostregistry.h"
#include "fleet/routetraffic.h"

namespace celerybeam {

/// The entry hosts that a caller should use, and what decided it.
struct EntryAnswer {
  /// IP addresses; empty when no host can be named now.
  std::vector<std::string> Ips;
  /// The region of the named hosts.
  RegionId Region;
  /// Share of the name's requests for which that region is no home.
  double StrayShare = 0;
  /// Short code of the reason, for the log.
  std::string Why;
};

/// Decides which entry hosts callers use: ready hosts of their own region or,
/// when it has none, of another region that is a home of their requests.
///
/// Handles this load pattern: "all hosts of a region are restarted, and its
/// callers go elsewhere". Callers ask by host name, which has routes with
/// different homes; the requests that each route gets decide which homes count.
/// What is not known leads nobody to another region: a caller without an answer
/// keeps the hosts that it knows and asks again. Only for a lost region it is
/// enough that another one may handle some of its callers' requests. Not
/// thread-safe.
class EntryDirectory {
public:
  EntryDirectory(Runtime R, const HostRegistry &Hosts, const FleetView &Fleet);

  /// Counts a request that a caller sent to this host.
  void record(const RouteName &Route) { Traffic_.record(Route); }

  /// Hosts for the callers of a region that send requests to a host name.
  EntryAnswer answer(const RegionId &CallerRegion, std::string_view Name) const;

  /// Largest share of a name's requests with homes that may be led to a region
  /// that is none of these.
  static constexpr double MaxStrayShare = 0.05;
  /// Fewer recent requests cannot show such a share.
  static constexpr double MinCountedRequests = 1 / MaxStrayShare;
  /// A host that has just started does not know yet that a region has no hosts.
  static constexpr Duration ListeningTime = HostRegistry::ReportedSilence;
  /// A region that has had no hosts for this long is not just restarting.
  static constexpr Duration LostAfter = std::chrono::seconds(15);

private:
  /// How the requests to a host name divide over its routes.
  struct Demand {
    std::vector<std::pair<const FleetRoute *, double>> Routes;
    /// Requests on all routes, and on those with homes.
    double All = 0;
    double Restricted = 0;
    /// Whether enough requests were counted; otherwise each route counts as
    /// one.
    bool Counted = false;
  };

  Demand demandOf(std::string_view Name) const;
  /// Requests for which the region is no home.
  static double strayRequests(const Demand &Of, const RegionId &Region);
  static bool mayLeadAstray(const Demand &Of, double Stray, bool RegionLost);
  EntryAnswer answerElsewhere(const RegionId &CallerRegion,
                              std::string_view Name) const;

  Runtime Runtime_;
  const HostRegistry &Hosts_;
  const FleetView &Fleet_;
  RouteTraffic Traffic_;
  TimePoint StartedAt_;
};

} // namespace celerybeam

#endif
