#ifndef CELERYBEAM_ROUTING_TESTS_ROUTINGFIXTURE_H
#define CELERYBEAM_ROUTING_TESTS_ROUTINGFIXTURE_H

#include <string>

#include "framework/digest.h"
#include "routing/router.h"
#include "support/virtualtime.h"

namespace celerybeam::testing {

/// A Router of an entry host in region kigali with one route and one pool, to
/// which tests add endpoints.
struct RoutingFixture {
  static constexpr std::uint32_t Slots = 4;

  RoutingFixture() : Board(identity()), Routes(Board, Time.runtime()) {
    Route.Name = RouteName("quotes");
    Route.Pool = PoolName("cedar");
    Pool.Name = PoolName("cedar");
    Pool.Label = "cedar";
    Pool.Model = ModelName("cedar-7b@3");
    publish();
  }

  static HostIdentity identity() {
    HostIdentity Self;
    Self.Id = HostId("k1");
    Self.Region = RegionId("kigali");
    Self.Zone = ZoneId("kigali-a");
    return Self;
  }

  /// Publishes Route and Pool as the current tables.
  void publish() {
    auto T = std::make_shared<Tables>();
    T->Number = Board.tables()->Number + 1;
    T->Routes = {Route};
    T->Pools = {Pool};
    Board.adoptTables(T);
  }

  void addEndpoint(const std::string &Name,
                   const std::string &Zone = "kigali-a",
                   const std::string &Region = "kigali") {
    EndpointDescriptor D;
    D.Id = EndpointId(Name);
    D.Label = "cedar";
    D.Region = RegionId(Region);
    D.Zone = ZoneId(Zone);
    D.Slots = Slots;
    Board.upsertEndpoint(D, EndpointState::Live);
    change(Name, [&](EndpointRecord &E) { E.Loaded = {Pool.Model}; });
  }

  template <typename Function>
  void change(const std::string &Name, Function Change) {
    Board.endpoints().update(EndpointId(Name), Change);
  }

  void setLoad(const std::string &Name, std::uint32_t Running,
               std::uint32_t Waiting = 0) {
    change(Name, [&](EndpointRecord &E) {
      E.Report.Running = Running;
      E.Report.Waiting = Waiting;
    });
  }

  void addRemote(const std::string &Host, PoolLoad Load) {
    PeerRecord Peer;
    Peer.Id = HostId(Host);
    Peer.Region = RegionId("huye");
    Peer.State = PeerState::Alive;
    Peer.LastHeard = Time.now();
    Peer.Pools[Pool.Name] = Load;
    Board.peers().set(Peer.Id, Peer);
  }

  RouteQuery query() {
    RouteQuery Q;
    Q.Route = Route.Name;
    Q.Pool = Pool.Name;
    Q.Model = Pool.Model;
    Q.PromptTokens = 100;
    Q.Deadline = Time.now() + std::chrono::seconds(30);
    return Q;
  }

  /// The chosen local endpoint; empty for any other result.
  EndpointId chosen(const RouteQuery &Q) {
    Result<RouteChoice> Choice = Routes.choose(Q);
    if (!Choice || !std::holds_alternative<ServeLocally>(*Choice))
      return EndpointId();
    return std::get<ServeLocally>(*Choice).Endpoint;
  }

  /// Advances time until the cached views of pools expire.
  void letViewsExpire() { Time.runFor(std::chrono::seconds(1)); }

  VirtualTime Time{7};
  RouteRow Route;
  PoolRow Pool;
  Blackboard Board;
  Router Routes;
};

} // namespace celerybeam::testing

#endif
