#ifndef CELERYBEAM_FLEET_FLEETVIEW_H
#define CELERYBEAM_FLEET_FLEETVIEW_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fleet/fleettypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Where a belief of this host comes from, for its log lines.
struct BeliefChange {
  std::string What;
  std::string Subject;
  std::string Detail;
};

/// What this host holds to be true of tables, evacuations and endpoints.
///
/// Answers to the load pattern "the store goes away and comes back": tables
/// never go back, endpoints whose entries lapsed during an outage get a grace,
/// and a zone that was evacuated may come back cold. Not thread-safe: one event
/// loop drives it.
class FleetView {
public:
  struct Hooks {
    /// Hears of each change of belief; may be empty.
    std::function<void(const BeliefChange &)> Changed;
    /// An endpoint's start is over: it is gone or has started anew.
    std::function<void(const EndpointKey &)> Ended;
    /// An endpoint may have become cold; it must be asked before it gets
    /// requests.
    std::function<void(const EndpointKey &)> MayBeCold;
  };

  FleetView(Runtime R, Hooks H);
  ~FleetView();

  /// Takes the tables if their version is higher than the one held.
  /// \return whether they were taken.
  bool adoptTables(FleetTables Tables);
  /// The tables in force; null before any are known.
  const FleetTablesPtr &tables() const;

  /// Starts or ends the evacuation of a zone.
  void setEvacuated(const ZoneId &Zone, bool Evacuated);
  bool isEvacuated(const ZoneId &Zone) const;

  /// Takes an entry of the platform's list.
  void putEndpoint(const FleetEndpoint &Endpoint);
  /// The entry is gone. \param Grace  how long it may come back before the
  /// endpoint counts as gone; zero unless the store was away.
  void removeEndpoint(const EndpointId &Id, Duration Grace);
  /// An endpoint said at first hand that it is cold for this long.
  void noteCold(const EndpointId &Id, Duration Remaining);
  /// Another endpoint answered at its address; holds until its entry names
  /// another address or start.
  void noteMoved(const EndpointId &Id);
  /// An endpoint said something of itself, to this host or to another one. That
  /// it leaves holds until it starts anew, whatever its entry says.
  void hear(const EndpointWord &Word);
  /// How much longer the endpoint wants no requests; zero when it takes them.
  Duration restOf(const EndpointKey &Key) const;

  /// Endpoints of a pool in a region that are not leaving, gone or evacuated.
  /// The list holds until the endpoints change.
  const std::vector<const FleetEndpoint *> &
  usable(const PoolName &Pool, const RegionId &Region) const;
  /// Any endpoint that is listed, usable or not; null when unknown.
  const FleetEndpoint *endpoint(const EndpointId &Id) const;
  const FleetEndpoint *endpoint(const EndpointKey &Key) const;
  std::size_t endpointCount() const;

  /// Drops endpoints whose grace has ended. Call every TickInterval.
  void tick();
  static constexpr Duration TickInterval = std::chrono::milliseconds(100);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
