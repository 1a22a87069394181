#ifndef CELERYBEAM_FLEET_FLEETVIEW_H
#define CELERYBEAM_FLEET_FLEETVIEW_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fleet/fleettypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// A change of the fleet view, for the log: the kind of object, its name and
/// what changed.
struct ViewChange {
  std::string What;
  std::string Subject;
  std::string Detail;
};

/// Holds this host's current view of tables, evacuations and endpoints, built
/// from the store, from peers and from what endpoints report.
///
/// Handles this load pattern: "the store goes away and comes back". Tables
/// never go back to an older version, endpoints whose entries lapsed during an
/// outage get a grace period, and the endpoints of an evacuated zone may come
/// back cold. Not thread-safe: one event loop drives it.
class FleetView {
public:
  struct Hooks {
    /// Called for each change of the view; may be empty.
    std::function<void(const ViewChange &)> Changed;
    /// Called when an incarnation of an endpoint has ended: the endpoint is
    /// gone or was restarted.
    std::function<void(const EndpointKey &)> Ended;
    /// Called when an endpoint may have become cold; its health must be checked
    /// before it gets requests.
    std::function<void(const EndpointKey &)> MayBeCold;
    /// Called when other tables are in force; may be empty.
    std::function<void(const FleetTables &)> TablesAdopted = {};
  };

  FleetView(Runtime R, Hooks H);
  ~FleetView();

  /// Puts the tables in force if their version is higher than the current one.
  /// \return whether they are now in force.
  bool adoptTables(FleetTables Tables);
  /// Records whether the newest version of the tables could be read. The tables
  /// in force stay so otherwise.
  void noteReadableTables(bool Readable);
  bool areTablesReadable() const;
  /// The tables in force; null before any are known.
  const FleetTablesPtr &tables() const;

  /// Starts or ends the evacuation of a zone.
  void setEvacuated(const ZoneId &Zone, bool Evacuated);
  bool isEvacuated(const ZoneId &Zone) const;

  /// Adds or updates an endpoint from its entry in the store.
  void putEndpoint(const FleetEndpoint &Endpoint);
  /// Removes an endpoint whose entry was removed. \param Grace  how long the
  /// entry may take to come back before the endpoint counts as gone; zero
  /// unless the store was unreachable.
  void removeEndpoint(const EndpointId &Id, Duration Grace);
  /// Records that an endpoint reported to this host that it stays cold for this
  /// long. Any number is accepted; a time is at least zero and at most
  /// MaxColdTime.
  void noteCold(const EndpointId &Id, std::chrono::milliseconds Remaining);
  static constexpr std::chrono::milliseconds MaxColdTime =
      std::chrono::hours(1);
  /// Records that another endpoint responded at its address. It stays unusable
  /// until its entry names another address or start time.
  void noteMoved(const EndpointId &Id);
  /// Applies an endpoint's report about itself, made to this host or to another
  /// one. A leaving endpoint counts as leaving until it is restarted, whatever
  /// its entry says.
  void applyReport(const EndpointReport &Report);
  /// Remaining back-off that the endpoint asked for; zero when it accepts
  /// requests.
  Duration backOffOf(const EndpointKey &Key) const;

  /// Endpoints of a pool in a region that are not leaving, gone or evacuated.
  /// The returned reference is valid until the endpoints change.
  const std::vector<const FleetEndpoint *> &
  usable(const PoolName &Pool, const RegionId &Region) const;
  /// A listed endpoint, usable or not; null when unknown.
  const FleetEndpoint *endpoint(const EndpointId &Id) const;
  const FleetEndpoint *endpoint(const EndpointKey &Key) const;
  std::size_t endpointCount() const;

  /// Removes endpoints whose grace period has ended. Call every TickInterval.
  void tick();
  static constexpr Duration TickInterval = std::chrono::milliseconds(100);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
