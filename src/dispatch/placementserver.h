#ifndef CELERYBEAM_DISPATCH_PLACEMENTSERVER_H
#define CELERYBEAM_DISPATCH_PLACEMENTSERVER_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dispatch/placementtypes.h"
#include "fleet/fleetview.h"

namespace celerybeam {

/// Assigns the requests of all hosts of a region at the endpoints for which
/// this host is the placer: queues those that must wait, and counts each placed
/// request as load until its host reports that it has ended.
///
/// Handles this load pattern: "every host sees only a part of the load". With
/// one load tracker and one queue for an endpoint, a burst that comes in over
/// many hosts is placed as if it came in over one. When a host dies or its
/// messages are lost, its slots are freed because its lists no longer come. Not
/// thread-safe.
class PlacementServer {
public:
  /// Sends a reply to the host that asked. Runs after the state of the
  /// PlacementServer has changed, so that it may call the PlacementServer
  /// again.
  using ReplyHook = std::function<void(const std::string &Ip, PlacementId Id,
                                       const PlacementAnswer &Answer)>;

  /// \param SelfIp  of this host, whose own placements need no lists.
  PlacementServer(Runtime R, FleetView &Fleet, Dispatcher &Decisions,
                  std::string SelfIp, ReplyHook Reply);
  ~PlacementServer();

  /// Handles a host's placement request. Asking again for the same placement
  /// repeats the reply.
  void ask(const std::string &Ip, PlacementId Id, PlacementAsk Ask);
  void reportFirstOutput(PlacementId Id, const FirstOutputReport &Output);
  void end(PlacementId Id, const PlacementEnd &End);
  /// Reconciles the placements that a host has with this placer, or a part of
  /// them, with the host's own list.
  void listed(const std::string &Ip,
              const std::vector<ListedPlacement> &Placements,
              const ListPart &Part = {});

  /// This host shuts down: the queued requests of other hosts have to ask
  /// another placer.
  void handOver();
  /// Frees the slots of hosts that sent no list for a while. Call every
  /// ListInterval.
  void tick();

  /// How often hosts send their lists.
  static constexpr Duration ListInterval = std::chrono::milliseconds(200);
  /// A list may have been sent before a message that overtook it: placements
  /// younger than this are not corrected.
  static constexpr Duration ListGrace = std::chrono::milliseconds(250);
  /// After this time without a list, a host's placements are ended.
  static constexpr Duration ListLife = std::chrono::milliseconds(1500);

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
