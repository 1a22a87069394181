#include "routing/internal/poolview.h"

#include <algorithm>
#include <utility>

#include "framework/stablehash.h"

namespace celerybeam::detail {

namespace {

constexpr Duration AssumedFirstToken = std::chrono::milliseconds(100);

/// Mean of the positive samples; endpoints without a sample do not count.
class SampleMean {
public:
  void add(Duration Sample) {
    if (Sample <= Duration(0))
      return;
    Sum_ += Sample;
    ++Count_;
  }
  Duration value(Duration Default) const {
    return Count_ == 0 ? Default : Sum_ / Count_;
  }

private:
  Duration Sum_{};
  int Count_ = 0;
};

/// Collects the endpoints of one pool and the averages over them.
class ViewBuilder {
public:
  ViewBuilder(Blackboard &Board, const PoolRow &Pool)
      : Board_(Board), Pool_(Pool) {}

  void addEndpoints() {
    auto Ids = Board_.endpointsWithLabel(Pool_.Label);
    for (const EndpointId &Id : *Ids)
      Board_.endpoints().update(
          Id, [&](const EndpointRecord &E) { addEndpoint(E); });
  }

  PoolView build(TimePoint Now, const RouterSettings &Settings) {
    PoolView View;
    View.MadeAt = Now;
    View.AllOnProbation = SameZone_.empty() && OtherZones_.empty();
    if (View.AllOnProbation)
      OtherZones_ = std::move(OnProbation_);
    View.SameZoneCount = SameZone_.size();
    View.Candidates = std::move(SameZone_);
    View.Candidates.insert(View.Candidates.end(),
                           std::make_move_iterator(OtherZones_.begin()),
                           std::make_move_iterator(OtherZones_.end()));
    View.Averages.Load = Slots_ == 0 ? 0 : Requests_ / Slots_;
    View.Averages.FirstToken = FirstToken_.value(AssumedFirstToken);
    View.Averages.TokenGap = TokenGap_.value(Duration(0));
    View.Averages.Service = Service_.value(Settings.AssumedService);
    return View;
  }

private:
  void addEndpoint(const EndpointRecord &E) {
    if (!exclusionReason(E, Pool_, Board_.self().Region).empty())
      return;
    Candidate C{E.Descriptor.Id, stableHash(E.Descriptor.Id.str())};
    if (E.Probation == ProbationState::Ejected) {
      OnProbation_.push_back(std::move(C));
      return;
    }
    Requests_ += requestsAt(E);
    Slots_ += std::max(1U, E.Descriptor.Slots);
    FirstToken_.add(E.Observed.FirstToken);
    TokenGap_.add(E.Observed.TokenGap);
    Service_.add(E.Observed.Service);
    bool IsSameZone = E.Descriptor.Zone == Board_.self().Zone;
    (IsSameZone ? SameZone_ : OtherZones_).push_back(std::move(C));
  }

  Blackboard &Board_;
  const PoolRow &Pool_;
  std::vector<Candidate> SameZone_;
  std::vector<Candidate> OtherZones_;
  std::vector<Candidate> OnProbation_;
  double Requests_ = 0;
  double Slots_ = 0;
  SampleMean FirstToken_;
  SampleMean TokenGap_;
  SampleMean Service_;
};

} // namespace

std::string exclusionReason(const EndpointRecord &Endpoint, const PoolRow &Pool,
                            const RegionId &Region) {
  if (Endpoint.Descriptor.Region != Region)
    return "in another region";
  if (Endpoint.State == EndpointState::Leaving)
    return "leaving";
  if (Endpoint.State == EndpointState::Gone)
    return "gone";
  const auto &Loaded = Endpoint.Loaded;
  if (!Pool.Model.empty() &&
      std::find(Loaded.begin(), Loaded.end(), Pool.Model) == Loaded.end())
    return "has not loaded the pool's model";
  return {};
}

PoolViewPtr makePoolView(Blackboard &Board, const PoolRow &Pool, TimePoint Now,
                         const RouterSettings &Settings) {
  ViewBuilder Builder(Board, Pool);
  Builder.addEndpoints();
  return std::make_shared<const PoolView>(Builder.build(Now, Settings));
}

} // namespace celerybeam::detail
