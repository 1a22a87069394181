#ifndef CELERYBEAM_DISPATCH_TESTS_DISPATCHFIXTURE_H
#define CELERYBEAM_DISPATCH_TESTS_DISPATCHFIXTURE_H

#include <string>

#include "dispatch/dispatcher.h"
#include "support/virtualtime.h"

namespace celerybeam::testing {

/// One host of kigali with engines, a plain service and a neighbour region.
struct DispatchFixture {
  DispatchFixture() {
    FleetTables T;
    T.Version = 1;
    FleetPool Engines;
    Engines.Name = PoolName("engines");
    Engines.ColdSpan = std::chrono::seconds(3);
    Engines.ColdRequestsPerSecond = 2;
    Engines.Engine = EngineSettings{64, 450000, 0.005, 8};
    T.Pools[Engines.Name] = Engines;
    FleetPool Plain;
    Plain.Name = PoolName("plain");
    T.Pools[Plain.Name] = Plain;
    View.adoptTables(T);
  }

  static HostState self() {
    HostState H;
    H.Id = HostId("k1");
    H.Ip = "10.0.0.1";
    H.Region = RegionId("kigali");
    H.Ready = true;
    return H;
  }

  /// A message of the neighbour's host without the load of its region.
  HostState reportNeighbourHost() {
    HostState H;
    H.Id = HostId("m1");
    H.Ip = "10.1.0.1";
    H.Region = RegionId("musanze");
    H.Ready = true;
    Hosts.received(H);
    return H;
  }

  void reportNeighbour(Duration Wait) {
    HostState H = reportNeighbourHost();
    Decisions.regions().received(H.Region, H.Id,
                                 {poolHash(PoolName("engines")), Wait, 6, 6,
                                  Wait > Duration::zero() ? 0U : 6U});
  }

  FleetEndpoint addEndpoint(const std::string &Id, const char *Pool = "engines",
                            Duration ColdFor = {}) {
    FleetEndpoint E;
    E.Id = EndpointId(Id);
    E.Key = endpointKeyOf(E.Id, 1);
    E.Pool = PoolName(Pool);
    E.Where = Address("10.0.1.1:80");
    E.Zone = ZoneId("kigali-a");
    E.Region = RegionId("kigali");
    E.Slots = E.Pool.str() == "plain" ? 2 : 64;
    E.ColdUntil = Time.now() + ColdFor;
    View.putEndpoint(E);
    return E;
  }

  static FleetRoute route(RepeatKind Kind, unsigned Rank = 1) {
    FleetRoute R;
    R.Name = RouteName("r");
    R.Kind = Kind;
    R.Rank = Rank;
    R.Timeout = std::chrono::seconds(12);
    R.LatencyTarget = std::chrono::milliseconds(1200);
    R.EventGapTarget = std::chrono::milliseconds(600);
    R.MaxEndpoints = mayRepeat(Kind) ? 2 : 1;
    R.Pools = {{PoolName(isStream(Kind) ? "engines" : "plain"), 1}};
    return R;
  }

  RequestDescriptor request(std::uint32_t Tokens, std::uint64_t Prefix = 7) {
    RequestDescriptor R;
    R.Id = RequestId("q" + std::to_string(++Requests));
    R.Deadline = Time.now() + std::chrono::seconds(12);
    R.PromptTokens = Tokens;
    R.MaxOutputTokens = 100;
    R.Fingerprint = Requests;
    if (Tokens > 5000)
      R.Parts = {{Prefix, 5000}, {Requests, Tokens - 5000}};
    R.Levels = prefixLevelsOf(R.Model, R.Parts);
    return R;
  }

  /// Chooses and, if an endpoint of this region serves it, begins the attempt.
  DispatchDecision send(const RequestDescriptor &R, const FleetRoute &Route) {
    AttemptLog Log;
    DispatchDecision D = Decisions.choose(R, Route, Log);
    if (auto *Local = std::get_if<ServeAt>(&D))
      LastDispatch = Decisions.begin(R, Route, *Local, Log);
    return D;
  }

  VirtualTime Time{1};
  FleetView View{Time.runtime(), {}};
  HostRegistry Hosts{Time.runtime(), self()};
  Dispatcher Decisions{Time.runtime(), View, Hosts, {}};
  std::uint64_t Requests = 0;
  DispatchId LastDispatch;
};

} // namespace celerybeam::testing

#endif
