#include "placement/internal/orderplan.h"

#include <algorithm>
#include <set>

namespace celerybeam::detail {

namespace {

/// An order is dropped when the engine has not reported the model as loaded
/// within this time.
constexpr UnixMillis OrderTimeout = std::chrono::minutes(5);

bool hasLoaded(const EndpointRecord &R, const ModelName &Model) {
  return std::find(R.Loaded.begin(), R.Loaded.end(), Model) != R.Loaded.end();
}

bool isUsable(const EndpointRecord &R, const RegionId &Region) {
  return R.Descriptor.Region == Region && R.State == EndpointState::Live;
}

} // namespace

messages::PlacementRecord openOrders(const Blackboard &Board,
                                     const messages::PlacementRecord &Record,
                                     UnixMillis Now) {
  messages::PlacementRecord Open;
  for (const messages::PlacementOrder &Order : Record.orders()) {
    std::optional<EndpointRecord> R =
        Board.endpoints().find(EndpointId(Order.endpoint()));
    UnixMillis StartedAt(
        static_cast<UnixMillis::rep>(Order.started_at_unix_ms()));
    bool Finished = R && hasLoaded(*R, ModelName(Order.model()));
    if (!Finished && Now - StartedAt < OrderTimeout)
      *Open.add_orders() = Order;
  }
  return Open;
}

std::vector<PlannedOrder> planOrders(const Blackboard &Board,
                                     const messages::PlacementRecord &Open,
                                     bool PredecessorLeaseMayBeValid) {
  std::set<EndpointId> BusyEngines;
  for (const messages::PlacementOrder &Order : Open.orders())
    BusyEngines.insert(EndpointId(Order.endpoint()));
  std::vector<PlannedOrder> Plan;
  TablesSnapshot Tables = Board.tables();
  for (const PoolRow &Pool : Tables->Pools) {
    if (Pool.Kind != PoolKind::Engine || Pool.Model.empty())
      continue;
    if (PredecessorLeaseMayBeValid && Pool.Checks != RunnerCheck::Fencing)
      continue;
    for (const EndpointId &Id : *Board.endpointsWithLabel(Pool.Label)) {
      if (BusyEngines.size() >= PlacementController::MaxLoads)
        return Plan;
      std::optional<EndpointRecord> R = Board.endpoints().find(Id);
      if (!R || !isUsable(*R, Board.self().Region) || hasLoaded(*R, Pool.Model))
        continue;
      if (BusyEngines.insert(Id).second)
        Plan.push_back({Id, R->Descriptor.Where, Pool.Model});
    }
  }
  return Plan;
}

} // namespace celerybeam::detail
