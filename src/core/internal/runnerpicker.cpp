#include "core/internal/runnerpicker.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace celerybeam::detail {

namespace {

struct Candidate {
  EndpointDescriptor Descriptor;
  std::uint32_t Load = 0;
};

std::optional<Candidate> candidateOf(const Blackboard &Board,
                                     const EndpointId &Id) {
  std::optional<EndpointRecord> Record = Board.endpoints().find(Id);
  if (!Record || Record->State != EndpointState::Live ||
      Record->Probation == ProbationState::Ejected ||
      Record->Descriptor.Region != Board.self().Region)
    return std::nullopt;
  std::uint32_t Load = Record->Report.Running + Record->Report.Waiting +
                       Record->Observed.ShortInFlight;
  return Candidate{Record->Descriptor, Load};
}

} // namespace

RunnerPicker makeRunnerPicker(const Blackboard &Board, Runtime R) {
  return [&Board, R = std::move(R)](const PoolName &PoolId,
                                    const std::vector<EndpointId> &Excluded)
             -> std::optional<EndpointDescriptor> {
    TablesSnapshot T = Board.tables();
    const PoolRow *Pool = T->findPool(PoolId);
    if (!Pool)
      return std::nullopt;
    std::vector<Candidate> Candidates;
    for (const EndpointId &Id : *Board.endpointsWithLabel(Pool->Label)) {
      if (std::find(Excluded.begin(), Excluded.end(), Id) != Excluded.end())
        continue;
      if (std::optional<Candidate> C = candidateOf(Board, Id))
        Candidates.push_back(std::move(*C));
    }
    if (Candidates.empty())
      return std::nullopt;
    const Candidate &First = Candidates[R.Random() % Candidates.size()];
    const Candidate &Second = Candidates[R.Random() % Candidates.size()];
    return First.Load <= Second.Load ? First.Descriptor : Second.Descriptor;
  };
}

} // namespace celerybeam::detail
