#include "membership/internal/poolloads.h"

#include <algorithm>
#include <optional>

namespace celerybeam::detail {

namespace {

struct EndpointLoad {
  std::uint32_t Slots = 0;
  std::uint32_t Taken = 0;
  Duration Service{};
};

std::optional<EndpointLoad> loadOf(const Blackboard &Board,
                                   const EndpointId &Id) {
  std::optional<EndpointRecord> R = Board.endpoints().find(Id);
  if (!R || R->Descriptor.Region != Board.self().Region)
    return std::nullopt;
  if (R->State != EndpointState::Live ||
      R->Probation == ProbationState::Ejected)
    return std::nullopt;
  const EndpointObservation &O = R->Observed;
  std::uint32_t Reported =
      R->Report.Running + R->Report.Waiting + O.SentSinceReport;
  return EndpointLoad{R->Descriptor.Slots,
                      std::max(Reported, O.ShortInFlight + O.LongInFlight),
                      O.Service};
}

/// Mean predicted wait of a new request over the endpoints of a pool.
Duration meanWait(const std::vector<EndpointLoad> &Loads) {
  Duration Sum{};
  for (const EndpointLoad &L : Loads) {
    std::uint32_t Ahead = L.Taken - std::min(L.Taken, L.Slots);
    Sum += L.Service * Ahead / std::max(L.Slots, 1U);
  }
  return Loads.empty() ? Sum : Sum / static_cast<long>(Loads.size());
}

} // namespace

std::vector<messages::PoolLoad> ownPoolLoads(const Blackboard &Board) {
  std::vector<messages::PoolLoad> All;
  TablesSnapshot Tables = Board.tables();
  for (const PoolRow &Pool : Tables->Pools) {
    std::vector<EndpointLoad> Loads;
    for (const EndpointId &Id : *Board.endpointsWithLabel(Pool.Label))
      if (std::optional<EndpointLoad> L = loadOf(Board, Id))
        Loads.push_back(*L);
    if (Loads.empty())
      continue;
    messages::PoolLoad Summary;
    Summary.set_pool(Pool.Name.str());
    std::uint32_t Slots = 0;
    std::uint32_t Busy = 0;
    for (const EndpointLoad &L : Loads) {
      Slots += L.Slots;
      Busy += std::min(L.Taken, L.Slots);
    }
    Summary.set_slots(Slots);
    Summary.set_busy(Busy);
    auto Wait =
        std::chrono::duration_cast<std::chrono::milliseconds>(meanWait(Loads));
    Summary.set_wait_ms(static_cast<std::uint32_t>(Wait.count()));
    All.push_back(std::move(Summary));
  }
  return All;
}

} // namespace celerybeam::detail
