#include "blackboard/blackboard.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <unordered_map>
#include <utility>

namespace celerybeam {

namespace {

using EndpointIds = std::vector<EndpointId>;
using EndpointIdsPtr = std::shared_ptr<const EndpointIds>;

EndpointIdsPtr withId(const EndpointIdsPtr &Old, const EndpointId &Id) {
  EndpointIds Ids = Old ? *Old : EndpointIds();
  auto It = std::lower_bound(Ids.begin(), Ids.end(), Id);
  if (It == Ids.end() || *It != Id)
    Ids.insert(It, Id);
  return std::make_shared<const EndpointIds>(std::move(Ids));
}

EndpointIdsPtr withoutId(const EndpointIdsPtr &Old, const EndpointId &Id) {
  EndpointIds Ids = Old ? *Old : EndpointIds();
  std::erase(Ids, Id);
  return std::make_shared<const EndpointIds>(std::move(Ids));
}

} // namespace

class Blackboard::Impl {
public:
  explicit Impl(HostIdentity Self) : Self_(std::move(Self)) {}

  void indexEndpoint(const EndpointId &Id, const std::string &Label) {
    std::unique_lock Lock(IndexMutex_);
    auto &Ids = Index_[Label];
    Ids = withId(Ids, Id);
  }

  void unindexEndpoint(const EndpointId &Id, const std::string &Label) {
    std::unique_lock Lock(IndexMutex_);
    auto &Ids = Index_[Label];
    Ids = withoutId(Ids, Id);
  }

  HostIdentity Self_;
  std::atomic<bool> Leaving_{false};
  mutable std::shared_mutex TablesMutex_;
  TablesSnapshot Tables_ = std::make_shared<const Tables>();
  Endpoints Endpoints_;
  Peers Peers_;
  mutable std::shared_mutex IndexMutex_;
  std::unordered_map<std::string, EndpointIdsPtr> Index_;
};

Blackboard::Blackboard(HostIdentity Self)
    : Impl_(std::make_unique<Impl>(std::move(Self))) {}
Blackboard::~Blackboard() = default;

const HostIdentity &Blackboard::self() const { return Impl_->Self_; }

TablesSnapshot Blackboard::tables() const {
  std::shared_lock Lock(Impl_->TablesMutex_);
  return Impl_->Tables_;
}

bool Blackboard::adoptTables(TablesSnapshot Next) {
  std::unique_lock Lock(Impl_->TablesMutex_);
  if (Next->Number <= Impl_->Tables_->Number)
    return false;
  Impl_->Tables_ = std::move(Next);
  return true;
}

bool Blackboard::leaving() const { return Impl_->Leaving_.load(); }
void Blackboard::setLeaving() { Impl_->Leaving_.store(true); }

Blackboard::Endpoints &Blackboard::endpoints() { return Impl_->Endpoints_; }
const Blackboard::Endpoints &Blackboard::endpoints() const {
  return Impl_->Endpoints_;
}
Blackboard::Peers &Blackboard::peers() { return Impl_->Peers_; }
const Blackboard::Peers &Blackboard::peers() const { return Impl_->Peers_; }

EndpointIdsPtr Blackboard::endpointsWithLabel(const std::string &Label) const {
  std::shared_lock Lock(Impl_->IndexMutex_);
  auto It = Impl_->Index_.find(Label);
  if (It == Impl_->Index_.end())
    return std::make_shared<const EndpointIds>();
  return It->second;
}

void Blackboard::upsertEndpoint(const EndpointDescriptor &Descriptor,
                                EndpointState State) {
  std::string OldLabel;
  bool IsNew = Impl_->Endpoints_.upsert(Descriptor.Id, [&](EndpointRecord &R) {
    bool Fresh = R.Descriptor.Id.empty();
    OldLabel = R.Descriptor.Label;
    R.Descriptor = Descriptor;
    R.State = State;
    return Fresh;
  });
  if (!IsNew && OldLabel == Descriptor.Label)
    return;
  if (!IsNew)
    Impl_->unindexEndpoint(Descriptor.Id, OldLabel);
  Impl_->indexEndpoint(Descriptor.Id, Descriptor.Label);
}

void Blackboard::removeEndpoint(const EndpointId &Id) {
  std::optional<EndpointRecord> Old = Impl_->Endpoints_.take(Id);
  if (Old)
    Impl_->unindexEndpoint(Id, Old->Descriptor.Label);
}

const RouteRow *Tables::findRoute(const RouteName &Name) const {
  auto It = std::find_if(Routes.begin(), Routes.end(),
                         [&](const RouteRow &R) { return R.Name == Name; });
  return It == Routes.end() ? nullptr : &*It;
}

const PoolRow *Tables::findPool(const PoolName &Name) const {
  auto It = std::find_if(Pools.begin(), Pools.end(),
                         [&](const PoolRow &P) { return P.Name == Name; });
  return It == Pools.end() ? nullptr : &*It;
}

const RouteRow *Tables::findRouteOfModel(const ModelName &Model) const {
  auto Serves = [&](const RouteRow &R) {
    return std::find(R.Models.begin(), R.Models.end(), Model) != R.Models.end();
  };
  auto It = std::find_if(Routes.begin(), Routes.end(), Serves);
  return It == Routes.end() ? nullptr : &*It;
}

} // namespace celerybeam
