#ifndef CELERYBEAM_DISPATCH_PLACEMENTCLIENT_H
#define CELERYBEAM_DISPATCH_PLACEMENTCLIENT_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dispatch/placementdesk.h"
#include "dispatch/placementtypes.h"
#include "fleet/fleetview.h"
#include "fleet/hostregistry.h"

namespace celerybeam {

/// Asks for the places of this host's requests: the placer of the endpoint
/// that suits each, or the own desk.
///
/// A placer that does not answer is left alone for a while and another one is
/// asked; when none answers, the own desk decides with what it knows. So a
/// request waits for a dead placer for a fraction of its time at most. Not
/// thread-safe.
class PlacementClient {
public:
  /// Sends a note to another host; it may be lost.
  using SendHook = std::function<void(const std::string &Ip, PlacementId Id,
                                      const PlacementNote &Note)>;
  /// What became of a request: Hold first if it waits, then one of the others.
  using PlacedHook = std::function<void(PlacementId, const PlacementAnswer &)>;
  /// Hears which hosts are the placers and which of them do not answer; may be
  /// empty.
  using BeliefHook = std::function<void(const BeliefChange &)>;

  PlacementClient(Runtime R, FleetView &Fleet, HostRegistry &Hosts,
                  Dispatcher &Decisions, PlacementDesk &Desk, SendHook Send,
                  BeliefHook Changed = {});
  ~PlacementClient();

  /// Asks where a request goes. Log gains the request's pool and arrival. The
  /// hook may run before this returns.
  PlacementId place(const RequestDescriptor &Request, const FleetRoute &Route,
                    AttemptLog &Log, PlacedHook Placed);

  /// The endpoint has sent its first output.
  void outputCame(PlacementId Id, const OutputCame &Output);
  /// The placement is over, also one that is still asked for.
  void end(PlacementId Id, const PlacementEnd &End);

  /// A placer's word.
  void answered(const std::string &Ip, PlacementId Id,
                const PlacementAnswer &Answer);

  /// Placers that are to get this host's lists, by IP number.
  std::vector<std::string> listTo();
  /// All that this host has with a placer.
  std::vector<ListedPlacement> listFor(const std::string &Ip);
  /// Whether this host places at an endpoint.
  bool owns(const EndpointKey &Endpoint);
  /// How long the region's placers have been the same, as this host sees them.
  Duration settledFor();

  /// A placer that has not answered by then is asked again, and after as long
  /// again another one is: twice the time for which a host's share of its
  /// processor may be used up.
  static constexpr Duration AnswerTimeout = std::chrono::milliseconds(80);
  /// A placer that was silent for this long no longer keeps requests waiting:
  /// two and a half of its messages.
  static constexpr Duration PlacerSilence = std::chrono::milliseconds(500);
  static constexpr Duration CheckInterval = std::chrono::milliseconds(40);
  /// Placers asked for one request before the own desk decides.
  static constexpr unsigned MostPlacers = 3;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
