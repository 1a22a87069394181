#include "dispatch/tests/retryfleet.h"

#include <algorithm>

namespace celerybeam::testing {

namespace {

constexpr unsigned RequestsPerStep = 4;

const std::set<RegionId> Regions = {RegionId("gaucho"), RegionId("paulista"),
                                    RegionId("platense")};

FleetRoute lookUps() {
  FleetRoute Route;
  Route.Name = RouteName("look");
  Route.Kind = RepeatKind::Idempotent;
  Route.MaxEndpoints = 1000;
  Route.Pools = {{PoolName("plain"), 1}};
  return Route;
}

} // namespace

RetryFleet::Process::Process(const Runtime &R, const HostState &Self)
    : View(R, {}), Hosts(R, Self, Regions), Decisions(R, View, Hosts, Bounds) {
  FleetTables Tables;
  Tables.Version = 1;
  FleetPool Plain;
  Plain.Name = PoolName("plain");
  Tables.Pools[Plain.Name] = Plain;
  View.adoptTables(Tables);
}

void RetryFleet::addHost(const std::string &Region) {
  Host Added;
  Added.State.Id = HostId("h" + std::to_string(Hosts_.size()));
  Added.State.Ip = "10.0.0." + std::to_string(Hosts_.size() + 1);
  Added.State.Region = RegionId(Region);
  Added.State.Ready = true;
  Hosts_.push_back(std::move(Added));
  restart(Hosts_.size() - 1);
}

void RetryFleet::restart(std::size_t Host) {
  HostState &State = Hosts_[Host].State;
  State.StartedAt = Time_.wallNow().count();
  Hosts_[Host].Running = std::make_unique<Process>(Time_.runtime(), State);
}

void RetryFleet::cutRegions(bool Alone) {
  Cut_ = true;
  AloneCut_ = Alone;
}

bool RetryFleet::reaches(const Host &From, const Host &To) const {
  if (&From == &To || AloneCut_)
    return false;
  return !Cut_ || From.State.Region == To.State.Region;
}

void RetryFleet::exchangeStates() {
  for (Host &From : Hosts_) {
    HostRegistry &Sender = From.Running->Hosts;
    Sender.setSelf(Sender.self());
    for (Host &To : Hosts_)
      if (reaches(From, To))
        To.Running->Hosts.received(Sender.self());
  }
}

void RetryFleet::sendRequests(Host &To, bool Failing) {
  static const FleetRoute Route = lookUps();
  for (unsigned I = 0; I < RequestsPerStep; ++I) {
    RequestDescriptor Request;
    Request.Deadline = Time_.now() + std::chrono::seconds(10);
    AttemptLog Log;
    To.Running->Decisions.admit(Request, Route, Log);
    Requests_.push_back(Time_.now());
    while (Failing && To.Running->Decisions.takeRetry(Log.Pool).isAllowed())
      Extra_.push_back(Time_.now());
  }
}

void RetryFleet::runFor(Duration Span, bool Failing) {
  TimePoint End = Time_.now() + Span;
  while (Time_.now() < End) {
    exchangeStates();
    for (Host &Each : Hosts_)
      sendRequests(Each, Failing);
    Time_.runFor(StepTime);
  }
}

std::ptrdiff_t RetryFleet::countWithin(const std::vector<TimePoint> &Times,
                                       TimePoint From) {
  return std::lower_bound(Times.begin(), Times.end(), From + Bounds.Window) -
         std::lower_bound(Times.begin(), Times.end(), From);
}

double RetryFleet::largestExcess() const {
  double Largest = 0;
  for (auto It = Extra_.begin(); It != Extra_.end();
       It = std::upper_bound(It, Extra_.end(), *It)) {
    auto Counted = std::max({countWithin(Requests_, *It),
                             countWithin(Requests_, *It - Bounds.Window / 2),
                             countWithin(Requests_, *It - Bounds.Window)});
    double Allowed = Bounds.Ratio * static_cast<double>(Counted) + Bounds.Slack;
    Largest = std::max(Largest,
                       static_cast<double>(countWithin(Extra_, *It)) - Allowed);
  }
  return Largest;
}

} // namespace celerybeam::testing
