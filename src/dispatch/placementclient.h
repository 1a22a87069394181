#ifndef CELERYBEAM_DISPATCH_PLACEMENTCLIENT_H
#define CELERYBEAM_DISPATCH_PLACEMENTCLIENT_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dispatch/placementserver.h"
#include "dispatch/placementtypes.h"
#include "fleet/fleetview.h"
#include "fleet/hostregistry.h"

namespace celerybeam {

/// Requests placements for the requests of this host. A placer is the host that
/// chooses endpoints on behalf of all hosts of its region; each endpoint has
/// one. The client asks the placer of the endpoint that suits the request,
/// which may be this host's own PlacementServer.
///
/// A placer that does not reply is excluded for a while and another one is
/// asked; when none replies, this host's own PlacementServer decides with what
/// it knows. So a dead placer delays a request by a fraction of its time at
/// most.
/// Not thread-safe.
class PlacementClient {
public:
  /// Sends a message to another host; it may be lost.
  using SendHook = std::function<void(const std::string &Ip, PlacementId Id,
                                      const PlacementNote &Note)>;
  /// Receives the decisions on a request: Enqueue first if it is queued, then
  /// one of the others.
  using PlacedHook = std::function<void(PlacementId, const PlacementAnswer &)>;
  /// Receives changes of the set of placers and of those that do not reply; may
  /// be empty.
  using ChangeHook = std::function<void(const ViewChange &)>;

  PlacementClient(Runtime R, FleetView &Fleet, HostRegistry &Hosts,
                  Dispatcher &Decisions, PlacementServer &LocalPlacer,
                  SendHook Send, ChangeHook Changed = {});
  ~PlacementClient();

  /// Requests a placement. Sets the request's pool and arrival in Log. The hook
  /// may run before this returns.
  PlacementId place(const RequestDescriptor &Request, const FleetRoute &Route,
                    AttemptLog &Log, PlacedHook Placed);

  /// Reports that the endpoint has sent its first output.
  void reportFirstOutput(PlacementId Id, const FirstOutputReport &Output);
  /// Ends the placement, also one that has no reply yet. To be called for each
  /// request that is forwarded to a region of unknown load.
  void end(PlacementId Id, const PlacementEnd &End);

  /// Handles a placer's reply.
  void answered(const std::string &Ip, PlacementId Id,
                const PlacementAnswer &Answer);

  /// IP numbers of the placers that are to get this host's lists.
  std::vector<std::string> listRecipients();
  /// All placements that this host has with a placer.
  std::vector<ListedPlacement> listFor(const std::string &Ip);
  /// Whether this host places at an endpoint.
  bool owns(const EndpointKey &Endpoint);
  /// How long the region's set of placers has been the same, as this host sees
  /// it.
  Duration placersStableFor();

  /// A placer that has not replied by then is asked again, and after as long
  /// again another one is asked. This is twice the longest time for which a
  /// host may stand idle because its share of the processor is used up.
  static constexpr Duration ReplyTimeout = std::chrono::milliseconds(80);
  /// A placer that was silent for this long no longer keeps requests waiting:
  /// two and a half of its message intervals.
  static constexpr Duration PlacerSilence = std::chrono::milliseconds(500);
  static constexpr Duration CheckInterval = std::chrono::milliseconds(40);
  /// Placers asked for one request before this host's own PlacementServer
  /// decides.
  static constexpr unsigned MaxPlacers = 3;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
