#include "core/internal/readiness.h"

#include <algorithm>
#include <optional>

namespace celerybeam::detail {

namespace {

bool loadedModelIsKnown(const Blackboard &Board, const PoolRow &Pool) {
  bool HasEngines = false;
  for (const EndpointId &Id : *Board.endpointsWithLabel(Pool.Label)) {
    std::optional<EndpointRecord> E = Board.endpoints().find(Id);
    if (!E || E->State != EndpointState::Live ||
        E->Descriptor.Region != Board.self().Region)
      continue;
    HasEngines = true;
    if (std::find(E->Loaded.begin(), E->Loaded.end(), Pool.Model) !=
        E->Loaded.end())
      return true;
  }
  return !HasEngines;
}

} // namespace

bool loadedModelsAreKnown(const Blackboard &Board) {
  TablesSnapshot T = Board.tables();
  return std::all_of(
      T->Pools.begin(), T->Pools.end(), [&](const PoolRow &Pool) {
        return Pool.Kind != PoolKind::Engine || loadedModelIsKnown(Board, Pool);
      });
}

} // namespace celerybeam::detail
