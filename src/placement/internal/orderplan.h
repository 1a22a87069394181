#ifndef CELERYBEAM_PLACEMENT_INTERNAL_ORDERPLAN_H
#define CELERYBEAM_PLACEMENT_INTERNAL_ORDERPLAN_H

#include <vector>

#include "blackboard/blackboard.h"
#include "messages/peer.pb.h"
#include "placement/placementcontroller.h"

namespace celerybeam::detail {

/// An order that is to be recorded and then sent.
struct PlannedOrder {
  EndpointId Endpoint;
  Address Where;
  ModelName Model;
};

/// The record with finished and expired orders taken out.
messages::PlacementRecord openOrders(const Blackboard &Board,
                                     const messages::PlacementRecord &Record,
                                     UnixMillis Now);

/// Orders that the tables call for and the limits allow. While the lease of
/// a predecessor may still run, only engines that verify the fencing number
/// are ordered.
std::vector<PlannedOrder> planOrders(const Blackboard &Board,
                                     const messages::PlacementRecord &Open,
                                     bool PredecessorMayRun);

} // namespace celerybeam::detail

#endif
