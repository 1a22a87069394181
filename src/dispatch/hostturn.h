#ifndef CELERYBEAM_DISPATCH_HOSTTURN_H
#define CELERYBEAM_DISPATCH_HOSTTURN_H

#include <vector>

#include "blackboard/idtypes.h"
#include "fleet/fleettypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// In which order a region's hosts may send to an endpoint that has become
/// free.
///
/// Answers to "all hosts have work waiting and see the same endpoint become
/// free at the same moment": each host waits for its turn, by a hash that
/// changes with time, and by then has heard who was first. Costs no message.
class HostTurn {
public:
  /// \param Others  the other hosts of the region that are alive.
  static Duration delay(const HostId &Self, const std::vector<HostId> &Others,
                        const EndpointKey &Endpoint, TimePoint Now);

  /// One host's head start on the next: a message within a region takes less.
  static constexpr Duration Step = std::chrono::milliseconds(4);
  /// How long an order holds.
  static constexpr Duration Epoch = std::chrono::milliseconds(500);
};

} // namespace celerybeam

#endif
