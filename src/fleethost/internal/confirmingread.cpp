#include "fleethost/internal/confirmingread.h"

#include <algorithm>
#include <map>
#include <utility>

namespace celerybeam::detail {

namespace {

/// Stands for the store among the addresses of hosts.
const std::string TheStore;

} // namespace

/// One read, until a source has answered.
struct ConfirmingRead::Round {
  TimePoint Begun{};
  /// Sources in the order in which they are asked, and how many were.
  std::vector<std::string> Sources;
  std::size_t Asked = 0;
  std::size_t Failed = 0;
  /// Empty once the read has ended.
  ReadBarrier::Done Done;
};

class ConfirmingRead::Impl : public std::enable_shared_from_this<Impl> {
public:
  using RoundPtr = std::shared_ptr<Round>;

  Impl(Runtime R, const SourceRanking &Sources, StoreMirror &Operator, Hooks H)
      : Runtime_(std::move(R)), Sources_(Sources), Operator_(Operator),
        Hooks_(std::move(H)) {}

  void read(ReadBarrier::Done Done) {
    auto This = std::make_shared<Round>();
    This->Begun = Runtime_.Now();
    This->Sources = order();
    This->Done = std::move(Done);
    askNext(This);
  }

private:
  std::vector<std::string> order() const {
    RankedSources Hosts = Sources_.confirmers({});
    Hosts.Near.resize(std::min(Hosts.Near.size(), HostsOfRegion));
    Hosts.Far.resize(std::min<std::size_t>(Hosts.Far.size(), 1));
    std::stable_partition(
        Hosts.Near.begin(), Hosts.Near.end(),
        [this](const std::string &Ip) { return !hasFailed(Ip); });
    bool ReadsItself = !Operator_.isFollowing() || Hosts.Near.empty();
    std::vector<std::string> Order = std::move(Hosts.Near);
    Order.insert(Order.end(), Hosts.Far.begin(), Hosts.Far.end());
    if (ReadsItself)
      Order.insert(hasFailed(TheStore) ? Order.end() : Order.begin(), TheStore);
    return Order;
  }

  void askNext(const RoundPtr &Of) {
    if (!Of->Done || Of->Asked == Of->Sources.size())
      return;
    const std::string &Source = Of->Sources[Of->Asked++];
    auto Weak = weak_from_this();
    Runtime_.After(SourceWait, [Weak, Of, Asked = Of->Asked] {
      auto Self = Weak.lock();
      if (Self && Of->Asked == Asked)
        Self->askNext(Of);
    });
    if (Source == TheStore)
      return Hooks_.ReadStore([Weak, Of](const Result<void> &Got) {
        if (auto Self = Weak.lock())
          Self->answered(Of, TheStore, Got);
      });
    Hooks_.ReadByHost(Source, Operator_.revision(),
                      [Weak, Of, Source](const Result<StoreSnapshot> &Got) {
                        if (auto Self = Weak.lock())
                          Self->answered(Of, Source,
                                         Self->apply(Of->Begun, Got));
                      });
  }

  /// Applies what a host has handed over after a read of the store that began
  /// later than this one.
  Result<void> apply(TimePoint Begun, const Result<StoreSnapshot> &Got) {
    if (!Got)
      return tl::unexpected(Got.error());
    Operator_.applyFromPeer(*Got);
    if (Operator_.revision() < Got->AsOf)
      return makeError(ErrorKind::Internal,
                       "The changes of another host do not apply here; "
                       "another one is asked.");
    Hooks_.Confirmed(Begun);
    return {};
  }

  void answered(const RoundPtr &Of, const std::string &Source,
                const Result<void> &Got) {
    remember(Source, Got);
    if (Hooks_.Report)
      Hooks_.Report(Source, Got);
    if (!Of->Done)
      return;
    Of->Failed += Got ? 0 : 1;
    if (Got || Of->Failed == Of->Sources.size())
      return std::exchange(Of->Done, {})(Got);
    if (Of->Failed == Of->Asked)
      askNext(Of);
  }

  bool hasFailed(const std::string &Source) const {
    auto Found = FailedAt_.find(Source);
    return Found != FailedAt_.end() &&
           Runtime_.Now() - Found->second < FailureMemory;
  }

  void remember(const std::string &Source, const Result<void> &Got) {
    TimePoint Now = Runtime_.Now();
    std::erase_if(FailedAt_, [Now](const auto &Entry) {
      return Now - Entry.second >= FailureMemory;
    });
    if (Got)
      FailedAt_.erase(Source);
    else
      FailedAt_[Source] = Now;
  }

  Runtime Runtime_;
  const SourceRanking &Sources_;
  StoreMirror &Operator_;
  Hooks Hooks_;
  /// Latest failures of sources without a later success. They are not those of
  /// the ranking: a host that cannot read the store still hands over its copy.
  std::map<std::string, TimePoint> FailedAt_;
};

ConfirmingRead::ConfirmingRead(Runtime R, const SourceRanking &Sources,
                               StoreMirror &Operator, Hooks H)
    : Impl_(std::make_shared<Impl>(std::move(R), Sources, Operator,
                                   std::move(H))) {}
ConfirmingRead::~ConfirmingRead() = default;

void ConfirmingRead::read(ReadBarrier::Done Done) {
  Impl_->read(std::move(Done));
}

} // namespace celerybeam::detail
