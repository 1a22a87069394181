#include "fleet/fleetview.h"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace celerybeam {

namespace {

/// An endpoint that has an entry in the store, or had one until recently.
struct ListedEndpoint {
  FleetEndpoint Endpoint;
  /// When the endpoint counts as gone unless its entry has come back.
  std::optional<TimePoint> GoneAt;
  bool Moved = false;
};

/// What an endpoint has reported about itself.
struct ReportedState {
  bool Leaving = false;
  TimePoint BackOffUntil{};
  TimePoint ReceivedAt{};
};

/// Reports of an endpoint that is no longer listed are kept for this long,
/// since its entry may come back after an outage of the store.
constexpr Duration ReportRetention = std::chrono::minutes(1);

/// Routes that are listed with their home regions in one log line, which has to
/// stay readable for configurations with many routes.
constexpr std::size_t MaxLoggedRoutes = 40;

/// The restricted routes with their home regions, for the log, which shows with
/// them whether a request ran outside its home regions. Empty when there are no
/// such routes.
std::string homesText(const FleetTables &Tables) {
  std::string Text;
  std::size_t Restricted = 0;
  for (const FleetRoute &Route : Tables.Routes) {
    if (!Route.Homes.isRestricted() || ++Restricted > MaxLoggedRoutes)
      continue;
    std::string Regions = Route.Homes.text();
    Text += (Text.empty() ? "" : "; ") + Route.Name.str() + ": " +
            (Regions.empty() ? "none" : Regions);
  }
  if (Restricted > MaxLoggedRoutes)
    Text += "; " + std::to_string(Restricted - MaxLoggedRoutes) + " more";
  return Text;
}

std::string millisecondsText(Duration D) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(D).count());
}

} // namespace

class FleetView::Impl {
public:
  Impl(Runtime R, Hooks H) : Runtime_(std::move(R)), Hooks_(std::move(H)) {}

  void changed(std::string What, std::string Subject, std::string Detail) {
    if (Hooks_.Changed)
      Hooks_.Changed({std::move(What), std::move(Subject), std::move(Detail)});
  }

  void ended(const EndpointKey &Key) {
    if (Hooks_.Ended)
      Hooks_.Ended(Key);
  }

  /// Drops the lists that are derived from the endpoints.
  void endpointsChanged() {
    Usable_.clear();
    ByKey_.clear();
  }

  std::vector<const FleetEndpoint *> usable(const PoolName &Pool,
                                            const RegionId &Region) const {
    std::vector<const FleetEndpoint *> Found;
    for (const auto &[Id, Entry] : Endpoints_) {
      const FleetEndpoint &E = Entry.Endpoint;
      if (E.Pool == Pool && E.Region == Region && !E.Leaving &&
          !reportedLeaving(E.Key) && !Entry.Moved &&
          !Evacuated_.contains(E.Zone))
        Found.push_back(&E);
    }
    return Found;
  }

  bool reportedLeaving(const EndpointKey &Key) const {
    auto Found = Reports_.find(Key);
    return Found != Reports_.end() && Found->second.Leaving;
  }

  void dropOldReports() {
    TimePoint Now = Runtime_.Now();
    std::erase_if(Reports_, [&](const auto &E) {
      return Now - E.second.ReceivedAt > ReportRetention && !isListed(E.first);
    });
  }

  bool isListed(const EndpointKey &Key) const {
    return std::any_of(
        Endpoints_.begin(), Endpoints_.end(),
        [&](const auto &E) { return E.second.Endpoint.Key == Key; });
  }

  /// Has the endpoints of a zone checked after its evacuation: they may come
  /// back cold before their entries show it.
  void checkZoneForCold(const ZoneId &Zone) {
    for (const auto &[Id, Entry] : Endpoints_)
      if (Entry.Endpoint.Zone == Zone && Hooks_.MayBeCold)
        Hooks_.MayBeCold(Entry.Endpoint.Key);
  }

  Runtime Runtime_;
  Hooks Hooks_;
  FleetTablesPtr Tables_;
  bool TablesReadable_ = true;
  std::set<ZoneId> Evacuated_;
  std::map<EndpointId, ListedEndpoint> Endpoints_;
  std::unordered_map<EndpointKey, ReportedState> Reports_;
  std::map<std::pair<PoolName, RegionId>, std::vector<const FleetEndpoint *>>
      Usable_;
  std::unordered_map<EndpointKey, const FleetEndpoint *> ByKey_;
};

FleetView::FleetView(Runtime R, Hooks H)
    : Impl_(std::make_unique<Impl>(std::move(R), std::move(H))) {}
FleetView::~FleetView() = default;

bool FleetView::adoptTables(FleetTables Tables) {
  if (Impl_->Tables_ && Tables.Version <= Impl_->Tables_->Version)
    return false;
  Impl_->Tables_ = std::make_shared<const FleetTables>(std::move(Tables));
  const FleetTables &Adopted = *Impl_->Tables_;
  std::string Detail = "routes=" + std::to_string(Adopted.Routes.size());
  if (Adopted.Customers)
    Detail += " customers=" + std::to_string(Adopted.Customers->size());
  if (std::string Homes = homesText(Adopted); !Homes.empty())
    Detail += " homes=[" + Homes + "]";
  Impl_->changed("tables", std::to_string(Adopted.Version), Detail);
  if (Impl_->Hooks_.TablesAdopted)
    Impl_->Hooks_.TablesAdopted(Adopted);
  return true;
}

void FleetView::noteReadableTables(bool Readable) {
  Impl_->TablesReadable_ = Readable;
}

bool FleetView::areTablesReadable() const { return Impl_->TablesReadable_; }

const FleetTablesPtr &FleetView::tables() const { return Impl_->Tables_; }

void FleetView::setEvacuated(const ZoneId &Zone, bool Evacuated) {
  bool WasEvacuated = Impl_->Evacuated_.contains(Zone);
  if (WasEvacuated == Evacuated)
    return;
  Impl_->changed("evacuation", Zone.str(), Evacuated ? "begins" : "ends");
  Impl_->endpointsChanged();
  if (Evacuated) {
    Impl_->Evacuated_.insert(Zone);
    return;
  }
  Impl_->Evacuated_.erase(Zone);
  Impl_->checkZoneForCold(Zone);
}

bool FleetView::isEvacuated(const ZoneId &Zone) const {
  return Impl_->Evacuated_.contains(Zone);
}

void FleetView::putEndpoint(const FleetEndpoint &Endpoint) {
  auto [It, New] = Impl_->Endpoints_.try_emplace(Endpoint.Id);
  ListedEndpoint &Entry = It->second;
  bool Restarted = !New && Entry.Endpoint.Key != Endpoint.Key;
  if (New || Restarted || Entry.Endpoint.Leaving != Endpoint.Leaving)
    Impl_->changed("endpoint", Endpoint.Id.str(),
                   std::string(New         ? "listed"
                               : Restarted ? "restarted"
                                           : "changed") +
                       (Endpoint.Leaving ? " leaving" : "") + " at " +
                       Endpoint.Where.str());
  if (Restarted)
    Impl_->ended(Entry.Endpoint.Key);
  if (New || Restarted) {
    Entry = {};
  } else {
    Entry.GoneAt.reset();
    Entry.Moved = Entry.Moved && Entry.Endpoint.Where == Endpoint.Where;
  }
  Entry.Endpoint = Endpoint;
  Impl_->endpointsChanged();
}

void FleetView::removeEndpoint(const EndpointId &Id, Duration Grace) {
  auto Found = Impl_->Endpoints_.find(Id);
  if (Found == Impl_->Endpoints_.end())
    return;
  if (Grace > Duration::zero()) {
    Found->second.GoneAt = Impl_->Runtime_.Now() + Grace;
    Impl_->changed("endpoint", Id.str(), "missing after an outage");
    return;
  }
  Impl_->ended(Found->second.Endpoint.Key);
  Impl_->Endpoints_.erase(Found);
  Impl_->endpointsChanged();
  Impl_->changed("endpoint", Id.str(), "gone");
}

void FleetView::noteCold(const EndpointId &Id,
                         std::chrono::milliseconds Remaining) {
  auto Found = Impl_->Endpoints_.find(Id);
  if (Found != Impl_->Endpoints_.end())
    Found->second.Endpoint.ColdUntil =
        Impl_->Runtime_.Now() +
        std::clamp(Remaining, std::chrono::milliseconds::zero(), MaxColdTime);
}

void FleetView::noteMoved(const EndpointId &Id) {
  auto Found = Impl_->Endpoints_.find(Id);
  if (Found == Impl_->Endpoints_.end() || Found->second.Moved)
    return;
  Found->second.Moved = true;
  Impl_->endpointsChanged();
  Impl_->changed("endpoint", Id.str(), "left its address");
}

void FleetView::applyReport(const EndpointReport &Report) {
  const FleetEndpoint *Known = endpoint(Report.Key);
  std::string Name =
      Known != nullptr ? Known->Id.str() : std::to_string(Report.Key.Value);
  ReportedState &S = Impl_->Reports_[Report.Key];
  S.ReceivedAt = Impl_->Runtime_.Now();
  if (Report.Leaving && !S.Leaving) {
    S.Leaving = true;
    Impl_->changed("endpoint", Name,
                   "reports that it is leaving, received by " +
                       Report.ReceivedBy);
    Impl_->endpointsChanged();
  }
  TimePoint Until = S.ReceivedAt + Report.BackOffFor;
  if (Report.BackOffFor > Duration::zero() && Until > S.BackOffUntil) {
    S.BackOffUntil = Until;
    Impl_->changed("endpoint", Name,
                   "backs off for " + millisecondsText(Report.BackOffFor) +
                       " ms, received by " + Report.ReceivedBy);
  }
}

Duration FleetView::backOffOf(const EndpointKey &Key) const {
  auto Found = Impl_->Reports_.find(Key);
  if (Found == Impl_->Reports_.end())
    return Duration::zero();
  return std::max(Duration::zero(),
                  Found->second.BackOffUntil - Impl_->Runtime_.Now());
}

const std::vector<const FleetEndpoint *> &
FleetView::usable(const PoolName &Pool, const RegionId &Region) const {
  auto [It, New] = Impl_->Usable_.try_emplace({Pool, Region});
  if (New)
    It->second = Impl_->usable(Pool, Region);
  return It->second;
}

const FleetEndpoint *FleetView::endpoint(const EndpointId &Id) const {
  auto Found = Impl_->Endpoints_.find(Id);
  return Found == Impl_->Endpoints_.end() ? nullptr : &Found->second.Endpoint;
}

const FleetEndpoint *FleetView::endpoint(const EndpointKey &Key) const {
  auto &ByKey = Impl_->ByKey_;
  if (ByKey.empty())
    for (const auto &[Id, Entry] : Impl_->Endpoints_)
      ByKey[Entry.Endpoint.Key] = &Entry.Endpoint;
  auto Found = ByKey.find(Key);
  return Found == ByKey.end() ? nullptr : Found->second;
}

std::size_t FleetView::endpointCount() const {
  return Impl_->Endpoints_.size();
}

void FleetView::tick() {
  TimePoint Now = Impl_->Runtime_.Now();
  Impl_->dropOldReports();
  for (auto It = Impl_->Endpoints_.begin(); It != Impl_->Endpoints_.end();) {
    if (!It->second.GoneAt || *It->second.GoneAt > Now) {
      ++It;
      continue;
    }
    Impl_->changed("endpoint", It->first.str(), "gone");
    Impl_->ended(It->second.Endpoint.Key);
    It = Impl_->Endpoints_.erase(It);
    Impl_->endpointsChanged();
  }
}

} // namespace celerybeam
