#include "routing/internal/poolview.h"

#include <algorithm>
#include <utility>

#include "framework/stablehash.h"

namespace celerybeam::detail {

namespace {

constexpr Duration AssumedFirstToken = std::chrono::milliseconds(100);

/// Average of the samples that endpoints have.
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

class ViewBuilder {
public:
  ViewBuilder(Blackboard &Board, const PoolRow &Pool)
      : Board_(Board), Pool_(Pool) {}

  void visitAll() {
    auto Ids = Board_.endpointsWithLabel(Pool_.Label);
    for (const EndpointId &Id : *Ids)
      Board_.endpoints().update(Id, [&](const EndpointRecord &E) { visit(E); });
  }

  PoolView finish(TimePoint Now, const RouterSettings &Settings) {
    PoolView View;
    View.MadeAt = Now;
    View.AllOnProbation = Own_.empty() && Others_.empty();
    if (View.AllOnProbation)
      Others_ = std::move(OnProbation_);
    View.OwnZone = Own_.size();
    View.Candidates = std::move(Own_);
    View.Candidates.insert(View.Candidates.end(),
                           std::make_move_iterator(Others_.begin()),
                           std::make_move_iterator(Others_.end()));
    View.Averages.Load = Slots_ == 0 ? 0 : Requests_ / Slots_;
    View.Averages.FirstToken = FirstToken_.value(AssumedFirstToken);
    View.Averages.TokenGap = TokenGap_.value(Duration(0));
    View.Averages.Service = Service_.value(Settings.AssumedService);
    return View;
  }

private:
  void visit(const EndpointRecord &E) {
    if (!exclusionOf(E, Pool_, Board_.self().Region).empty())
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
    bool IsOwn = E.Descriptor.Zone == Board_.self().Zone;
    (IsOwn ? Own_ : Others_).push_back(std::move(C));
  }

  Blackboard &Board_;
  const PoolRow &Pool_;
  std::vector<Candidate> Own_;
  std::vector<Candidate> Others_;
  std::vector<Candidate> OnProbation_;
  double Requests_ = 0;
  double Slots_ = 0;
  SampleMean FirstToken_;
  SampleMean TokenGap_;
  SampleMean Service_;
};

} // namespace

std::string exclusionOf(const EndpointRecord &Endpoint, const PoolRow &Pool,
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
  Builder.visitAll();
  return std::make_shared<const PoolView>(Builder.finish(Now, Settings));
}

} // namespace celerybeam::detail
