#ifndef CELERYBEAM_DISPATCH_PLACEMENTDESK_H
#define CELERYBEAM_DISPATCH_PLACEMENTDESK_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dispatch/placementtypes.h"
#include "fleet/fleetview.h"

namespace celerybeam {

/// Places the requests of all hosts of a region at the endpoints that this
/// host places at: keeps those that must wait, in one queue, and books each
/// that goes until its host says that it has ended.
///
/// Answers to "every host sees only a part of the load": with one book and one
/// queue for an endpoint, a burst that comes in over many hosts is placed as if
/// it came in over one. A host that dies, or whose messages are lost, frees
/// its places by the lists that it no longer sends. Not thread-safe.
class PlacementDesk {
public:
  /// Tells the host that asked. Runs after the desk's own state has changed,
  /// so that it may call the desk again.
  using AnswerHook = std::function<void(const std::string &Ip, PlacementId Id,
                                        const PlacementAnswer &Answer)>;

  /// \param SelfIp  of this host, whose own placements need no lists.
  PlacementDesk(Runtime R, FleetView &Fleet, Dispatcher &Decisions,
                std::string SelfIp, AnswerHook Answer);
  ~PlacementDesk();

  /// A host asks. Asking again for the same placement repeats the answer.
  void ask(const std::string &Ip, PlacementId Id, PlacementAsk Ask);
  void outputCame(PlacementId Id, const OutputCame &Output);
  void end(PlacementId Id, const PlacementEnd &End);
  /// All that a host has with this placer, as it sees it, or a part of that.
  void listed(const std::string &Ip,
              const std::vector<ListedPlacement> &Placements,
              const ListPart &Part = {});

  /// This host leaves: those that wait here for other hosts ask elsewhere.
  void handOver();
  /// Frees the places of hosts that sent no list for a while. Call every
  /// ListInterval.
  void tick();

  /// How often hosts send their lists.
  static constexpr Duration ListInterval = std::chrono::milliseconds(200);
  /// A list may have been sent before a message that overtook it: what is
  /// younger than this is not corrected.
  static constexpr Duration ListGrace = std::chrono::milliseconds(250);
  /// Without a list for this long, a host's placements are over.
  static constexpr Duration ListLife = std::chrono::milliseconds(1500);

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
