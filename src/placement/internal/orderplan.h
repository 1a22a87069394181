#ifndef CELERYBEAM_PLACEMENT_INTERNAL_ORDERPLAN_H
#define CELERYBEAM_PLACEMENT_INTERNAL_ORDERPLAN_H

#include <vector>

#include "blackboard/blackboard.h"
#include "messages/peer.pb.h"
#include "placement/placementcontroller.h"

namespace celerybeam::detail {

/// An order that is first written to the region's record and then sent.
struct PlannedOrder {
  EndpointId Endpoint;
  Address Where;
  ModelName Model;
};

/// Returns the record without the orders that are finished or timed out.
messages::PlacementRecord openOrders(const Blackboard &Board,
                                     const messages::PlacementRecord &Record,
                                     UnixMillis Now);

/// Returns the orders that the tables require and MaxLoads allows. While the
/// predecessor's lease may still be valid, only engines that check the
/// fencing number are included.
std::vector<PlannedOrder> planOrders(const Blackboard &Board,
                                     const messages::PlacementRecord &Open,
                                     bool PredecessorLeaseMayBeValid);

} // namespace celerybeam::detail

#endif
