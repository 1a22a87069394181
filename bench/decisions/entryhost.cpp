#include "decisions/entryhost.h"

#include <algorithm>
#include <utility>

namespace celerybeam::bench {

namespace {

const ModelName Model("cedar-7b@3");
const std::string Label = "cedar";
/// How old the load is that an engine states.
constexpr Duration ReportLag = std::chrono::milliseconds(500);

EndpointHooks loadHooks(testing::VirtualTime &Time,
                        const std::vector<Engine *> &Engines) {
  EndpointHooks Hooks;
  Hooks.FetchLoad = [&Time, Engines](const EndpointId &Id, const Address &,
                                     const auto &Done) {
    auto It = std::find_if(Engines.begin(), Engines.end(),
                           [&](const Engine *E) { return E->id() == Id; });
    if (It == Engines.end())
      return;
    LoadPage Answer{(*It)->reportedLoad(ReportLag), false, {Model}};
    Time.after(std::chrono::milliseconds(1), [Done, Answer] { Done(Answer); });
  };
  return Hooks;
}

TablesSnapshot benchTables(const UserProfile &User) {
  auto T = std::make_shared<Tables>();
  T->Number = 1;
  RouteRow Route;
  Route.Name = RouteName("quotes");
  Route.Pool = PoolName("cedar");
  Route.Models = {Model};
  Route.MayLeaveRegion = true;
  Route.Hedge = true;
  Route.Weights.ForwardMargin = User.ForwardMargin;
  Route.Weights.ForwardShareCap = User.ForwardShareCap;
  PoolRow Pool;
  Pool.Name = Route.Pool;
  Pool.Label = Label;
  Pool.Model = Model;
  T->Routes = {Route};
  T->Pools = {Pool};
  return T;
}

RouterSettings routerSettings(const UserProfile &User) {
  RouterSettings Settings;
  Settings.ZoneHop = User.ZoneHop;
  Settings.RegionHop = User.RegionHop;
  Settings.LinkBytesPerSecond = User.LinkBytesPerSecond;
  return Settings;
}

} // namespace

const RouteRow &benchRoute(const Tables &T) { return T.Routes.front(); }
const PoolRow &benchPool(const Tables &T) { return T.Pools.front(); }

UserProfile umusozi() {
  return {"umusozi",
          std::chrono::microseconds(1500),
          std::chrono::milliseconds(55),
          std::chrono::milliseconds(3),
          2e9 / 8 / 2,
          1.5,
          0.2};
}

UserProfile karaganda() {
  return {"karaganda",
          std::chrono::microseconds(500),
          std::chrono::milliseconds(55),
          std::chrono::milliseconds(1),
          140e6 / 8 / 2,
          2.5,
          0.1};
}

BenchHost::BenchHost(testing::VirtualTime &Time, HostIdentity Self,
                     const UserProfile &User, Policy Rule,
                     const std::vector<Engine *> &RegionEngines)
    : Board(std::move(Self)),
      Monitor(Board, Time.runtime(), loadHooks(Time, RegionEngines)),
      Admission(Board, Time.runtime(),
                {[](const HostId &, const messages::Envelope &) {}}),
      Routes(Board, Time.runtime(), routerSettings(User)),
      Simple(Rule, RegionEngines), Engines(RegionEngines), Time_(Time) {
  Board.adoptTables(benchTables(User));
  for (const Engine *E : Engines) {
    EndpointDescriptor D;
    D.Id = E->id();
    D.Label = Label;
    D.Region = Board.self().Region;
    D.Zone = Board.self().Zone;
    D.Slots = Engine::Slots;
    Board.upsertEndpoint(D, EndpointState::Live);
    Board.endpoints().update(D.Id,
                             [](EndpointRecord &R) { R.Loaded = {Model}; });
  }
}

void BenchHost::start() {
  every(EndpointMonitor::TickInterval, [this] { Monitor.tick(); });
  every(AdmissionController::TickInterval, [this] { Admission.tick(); });
  every(Router::TickInterval, [this] { Routes.tick(); });
}

void BenchHost::every(Duration Interval, const std::function<void()> &Work) {
  Time_.after(Interval, [this, Interval, Work] {
    Work();
    every(Interval, Work);
  });
}

void BenchHost::heardLoad(const Engine &From) {
  Monitor.reported(From.id(), {From.reportedLoad(ReportLag), false, {Model}});
}

} // namespace celerybeam::bench
