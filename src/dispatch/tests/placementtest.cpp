#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>

#include "dispatch/placementclient.h"
#include "dispatch/placementmap.h"
#include "dispatch/tests/dispatchfixture.h"

using namespace celerybeam;
using namespace std::chrono_literals;

namespace {

constexpr Duration Hop = 1ms;

/// A host with its own view of the fleet, PlacementServer and client.
struct Host {
  Host(testing::VirtualTime &Time, const HostState &Self,
       PlacementClient::SendHook Send, PlacementServer::ReplyHook Answer)
      : View(Time.runtime(), {}), Hosts(Time.runtime(), Self),
        Decisions(Time.runtime(), View, Hosts, {}),
        LocalPlacer(Time.runtime(), View, Decisions, Self.Ip,
                    std::move(Answer)),
        Placement(Time.runtime(), View, Hosts, Decisions, LocalPlacer,
                  std::move(Send)) {
    Decisions.setOwnership(
        [this](const EndpointKey &Key) { return Placement.owns(Key); },
        [this] { return Placement.placersStableFor(); });
  }

  FleetView View;
  HostRegistry Hosts;
  Dispatcher Decisions;
  PlacementServer LocalPlacer;
  PlacementClient Placement;
};

/// Hosts of one region whose messages take a while and may be lost.
struct Region {
  explicit Region(unsigned Count) {
    for (unsigned I = 0; I < Count; ++I)
      addHost(I);
    for (Duration Past{}; Past < 1s; Past += 200ms)
      exchangeHeartbeats();
  }

  static std::string ipOf(unsigned I) { return "10.0.0." + std::to_string(I); }

  HostState stateOf(unsigned I) const {
    HostState H = testing::DispatchFixture::self();
    H.Id = HostId("k" + std::to_string(I));
    H.Ip = ipOf(I);
    H.Leaving = Leaving.contains(I);
    return H;
  }

  void addHost(unsigned I) {
    std::string Ip = ipOf(I);
    All[Ip] = std::make_unique<Host>(
        Time, stateOf(I),
        [this, Ip](const std::string &To, PlacementId Id,
                   const PlacementNote &Note) { deliver(Ip, To, Id, Note); },
        [this, Ip](const std::string &To, PlacementId Id,
                   const PlacementAnswer &Answer) {
          if (To == Ip)
            return All.at(Ip)->Placement.answered(Ip, Id, Answer);
          deliver(Ip, To, Id, Answer);
        });
    All[Ip]->View.adoptTables(*Fixture.View.tables());
  }

  void deliver(const std::string &From, const std::string &To, PlacementId Id,
               const PlacementNote &Note) {
    ++Notes;
    if (Dead.contains(From) || Time.random() % 100 < LossPercent)
      return;
    Time.after(Hop, [=, this] {
      if (Dead.contains(To))
        return;
      Host &There = *All.at(To);
      if (const auto *Ask = std::get_if<PlacementAsk>(&Note))
        There.LocalPlacer.ask(From, Id, *Ask);
      else if (const auto *Answer = std::get_if<PlacementAnswer>(&Note))
        There.Placement.answered(From, Id, *Answer);
      else if (const auto *Output = std::get_if<FirstOutputReport>(&Note))
        There.LocalPlacer.reportFirstOutput(Id, *Output);
      else
        There.LocalPlacer.end(Id, std::get<PlacementEnd>(Note));
    });
  }

  /// One round of heartbeats and lists, and the time until the next.
  void exchangeHeartbeats() {
    for (const auto &[From, Sender] : All) {
      if (Dead.contains(From))
        continue;
      for (const auto &[To, Receiver] : All)
        if (To != From && !Dead.contains(To))
          Receiver->Hosts.received(Sender->Hosts.self());
      for (const std::string &To : Sender->Placement.listRecipients())
        if (!Dead.contains(To))
          All.at(To)->LocalPlacer.listed(From, Sender->Placement.listFor(To));
      Sender->LocalPlacer.tick();
    }
    Time.runFor(PlacementServer::ListInterval);
  }

  void addEndpoint(const std::string &Id, const char *Pool = "engines") {
    FleetEndpoint E = Fixture.addEndpoint(Id, Pool);
    for (const auto &[Ip, H] : All)
      H->View.putEndpoint(E);
  }

  struct Outcome {
    std::optional<PlacementId> Id;
    std::vector<PlacementAnswer> Answers;
    bool served() const {
      return !Answers.empty() &&
             std::holds_alternative<ServeAt>(*Answers.back().Decision);
    }
    EndpointKey endpoint() const {
      return std::get<ServeAt>(*Answers.back().Decision).Endpoint.Key;
    }
  };

  std::shared_ptr<Outcome> place(unsigned At, const RequestDescriptor &Request,
                                 const FleetRoute &Route) {
    auto Result = std::make_shared<Outcome>();
    AttemptLog Log;
    Host &H = *All.at(ipOf(At));
    Result->Id = H.Placement.place(Request, Route, Log,
                                   [Result](PlacementId, const auto &Answer) {
                                     Result->Answers.push_back(Answer);
                                   });
    return Result;
  }

  unsigned placer() {
    return static_cast<unsigned>(
        std::stoul(All.begin()
                       ->second->Hosts.delegates(RegionId("kigali"))
                       .Placers.front()
                       .Id.str()
                       .substr(1)));
  }
  /// A host that is not the placer.
  unsigned other(unsigned Skip = 0) {
    unsigned I = 0;
    while (I == placer() || Skip-- > 0)
      ++I;
    return I;
  }

  std::uint32_t inFlight(unsigned At, const EndpointKey &Key) {
    return All.at(ipOf(At))->Decisions.loads().at(Key).InFlight;
  }

  testing::DispatchFixture Fixture;
  testing::VirtualTime &Time = Fixture.Time;
  std::set<unsigned> Leaving;
  std::set<std::string> Dead;
  unsigned LossPercent = 0;
  unsigned Notes = 0;
  std::map<std::string, std::unique_ptr<Host>> All;
};

const FleetRoute Quotes =
    testing::DispatchFixture::route(RepeatKind::Stream, 1);
const FleetRoute Bookings =
    testing::DispatchFixture::route(RepeatKind::AtMostOnce);

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementTests)

// The placer's tables are older than those of the host that asks.
BOOST_AUTO_TEST_CASE(placerWithoutTheNewPoolDoesNotRefuseItsRequests) {
  Region R(3);
  FleetRoute Route = Bookings;
  Route.Pools = {{PoolName("new"), 1}};
  FleetTables Tables = *R.Fixture.View.tables();
  ++Tables.Version;
  Tables.Pools[PoolName("new")].Name = PoolName("new");
  for (const auto &[Ip, H] : R.All)
    if (Ip != Region::ipOf(R.placer()))
      H->View.adoptTables(Tables);
  R.addEndpoint("n", "new");
  auto Placed = R.place(R.other(), R.Fixture.request(0), Route);
  R.Time.runFor(500ms);
  BOOST_TEST(Placed->served());
}

// A burst that comes in over all hosts at once is placed as over one: two plain
// endpoints with two slots each take four.
BOOST_AUTO_TEST_CASE(burstOverManyHostsFillsEachSlotOnce) {
  Region R(5);
  R.addEndpoint("a", "plain");
  R.addEndpoint("b", "plain");
  std::vector<std::shared_ptr<Region::Outcome>> All;
  for (unsigned I = 0; I < 10; ++I)
    All.push_back(R.place(I % 5, R.Fixture.request(0), Bookings));
  R.Time.runFor(20ms);
  auto Served = std::count_if(All.begin(), All.end(),
                              [](const auto &O) { return O->served(); });
  BOOST_TEST(Served == 4);
}

BOOST_AUTO_TEST_CASE(freedSlotGoesToTheNextRequest) {
  Region R(5);
  R.addEndpoint("a", "plain");
  unsigned At = R.other();
  auto First = R.place(At, R.Fixture.request(0), Bookings);
  R.place(At, R.Fixture.request(0), Bookings);
  auto Waits = R.place(R.other(1), R.Fixture.request(0), Bookings);
  R.Time.runFor(20ms);
  BOOST_TEST(First->served());
  BOOST_TEST(!Waits->served());
  R.All.at(R.ipOf(At))->Placement.end(*First->Id, {AttemptOutcome::Answered});
  R.Time.runFor(20ms);
  BOOST_TEST(Waits->served());
}

// Equal prefixes come in over different hosts and go to one engine.
BOOST_AUTO_TEST_CASE(sharedPrefixesOfManyHostsGoToOneEngine) {
  Region R(12);
  for (const char *Id : {"a", "b", "c", "d", "e", "f"})
    R.addEndpoint(Id);
  std::set<EndpointKey> Used;
  for (unsigned I = 0; I < 8; ++I) {
    auto O = R.place(I, R.Fixture.request(9000, 42), Quotes);
    R.Time.runFor(20ms);
    BOOST_REQUIRE(O->served());
    Used.insert(O->endpoint());
    R.All.at(R.ipOf(I))->Placement.end(*O->Id, {AttemptOutcome::Answered});
    R.Time.runFor(500ms);
    R.exchangeHeartbeats();
  }
  BOOST_TEST(Used.size() == 1U);
}

BOOST_AUTO_TEST_CASE(deadPlacerIsReplacedWithinItsTimeout) {
  Region R(5);
  R.addEndpoint("a");
  unsigned At = R.other();
  R.Dead.insert(R.ipOf(R.placer()));
  auto O = R.place(At, R.Fixture.request(1000), Quotes);
  R.Time.runFor(2 * PlacementClient::ReplyTimeout +
                2 * PlacementClient::CheckInterval + 10ms);
  BOOST_TEST(O->served());
}

// No other host is reachable: the host's own PlacementServer decides.
BOOST_AUTO_TEST_CASE(partitionedHostPlacesItself) {
  Region R(5);
  R.addEndpoint("a");
  unsigned At = R.other();
  for (unsigned I = 0; I < 5; ++I)
    if (I != At)
      R.Dead.insert(R.ipOf(I));
  auto O = R.place(At, R.Fixture.request(1000), Quotes);
  R.Time.runFor(1s);
  BOOST_TEST(O->served());
}

// The placer dies while a request is queued there.
BOOST_AUTO_TEST_CASE(queuedRequestSurvivesItsPlacer) {
  Region R(5);
  R.addEndpoint("a");
  unsigned At = R.other();
  auto Long = R.place(At, R.Fixture.request(20000), Quotes);
  R.Time.runFor(5ms);
  auto Waits = R.place(At, R.Fixture.request(6000, 9), Quotes);
  R.Time.runFor(20ms);
  BOOST_REQUIRE(Long->served());
  BOOST_REQUIRE(!Waits->served());
  R.Dead.insert(R.ipOf(R.placer()));
  for (int I = 0; I < 4; ++I)
    R.exchangeHeartbeats();
  BOOST_TEST(Waits->served());
}

// The new placer adopts the running placements from the lists.
BOOST_AUTO_TEST_CASE(newPlacerLearnsPlacementsFromLists) {
  Region R(5);
  R.addEndpoint("a", "plain");
  unsigned At = R.other();
  auto One = R.place(At, R.Fixture.request(0), Bookings);
  auto Two = R.place(At, R.Fixture.request(0), Bookings);
  R.Time.runFor(20ms);
  BOOST_REQUIRE(One->served());
  EndpointKey Key = One->endpoint();
  R.Dead.insert(R.ipOf(R.placer()));
  for (int I = 0; I < 10; ++I)
    R.exchangeHeartbeats();
  unsigned New = R.other();
  for (unsigned I = 0; I < 5; ++I)
    if (!R.Dead.contains(R.ipOf(I)) && R.All.at(R.ipOf(I))->Placement.owns(Key))
      New = I;
  BOOST_TEST(R.inFlight(New, Key) == 2U);
  auto Third = R.place(At, R.Fixture.request(0), Bookings);
  R.Time.runFor(20ms);
  BOOST_TEST(!Third->served());
}

BOOST_AUTO_TEST_CASE(slotsOfADeadHostAreFreed) {
  Region R(5);
  R.addEndpoint("a", "plain");
  unsigned At = R.other();
  auto One = R.place(At, R.Fixture.request(0), Bookings);
  R.Time.runFor(20ms);
  EndpointKey Key = One->endpoint();
  unsigned Placer = R.placer();
  BOOST_TEST(R.inFlight(Placer, Key) == 1U);
  R.Dead.insert(R.ipOf(At));
  for (int I = 0; I < 10; ++I)
    R.exchangeHeartbeats();
  BOOST_TEST(R.inFlight(Placer, Key) == 0U);
}

BOOST_AUTO_TEST_CASE(leavingPlacerHandsOverQueuedRequests) {
  Region R(5);
  R.addEndpoint("a", "plain");
  unsigned At = R.other();
  auto One = R.place(At, R.Fixture.request(0), Bookings);
  R.place(At, R.Fixture.request(0), Bookings);
  auto Waits = R.place(At, R.Fixture.request(0), Bookings);
  R.Time.runFor(20ms);
  BOOST_REQUIRE(!Waits->served());
  unsigned Placer = R.placer();
  Host &Old = *R.All.at(R.ipOf(Placer));
  HostState Self = Old.Hosts.self();
  Self.Leaving = true;
  Old.Hosts.setSelf(Self);
  for (const auto &[Ip, H] : R.All)
    if (Ip != Self.Ip)
      H->Hosts.received(Self);
  Old.LocalPlacer.handOver();
  for (int I = 0; I < 3; ++I)
    R.exchangeHeartbeats();
  R.All.at(R.ipOf(At))->Placement.end(*One->Id, {AttemptOutcome::Answered});
  R.Time.runFor(20ms);
  BOOST_TEST(Waits->served());
}

BOOST_AUTO_TEST_CASE(endpointThatOnlyTheHostKnowsToBeLeavingIsNotUsed) {
  Region R(5);
  R.addEndpoint("a");
  R.addEndpoint("b");
  unsigned At = R.other();
  for (int I = 0; I < 10; ++I) {
    R.All.at(R.ipOf(At))->View.noteMoved(EndpointId("a"));
    auto O = R.place(At, R.Fixture.request(6000, R.Time.random()), Quotes);
    R.Time.runFor(500ms);
    BOOST_REQUIRE(O->served());
    BOOST_TEST((O->endpoint() == endpointKeyOf(EndpointId("b"), 1)));
    R.All.at(R.ipOf(At))->Placement.end(*O->Id, {AttemptOutcome::Answered});
    R.exchangeHeartbeats();
  }
}

// Messages are lost in both directions: every request is placed, and when all
// have ended, no slot stays taken.
BOOST_AUTO_TEST_CASE(lostMessagesLeakNoSlots) {
  for (unsigned Loss : {5U, 30U}) {
    Region R(5);
    R.addEndpoint("a", "plain");
    R.addEndpoint("b", "plain");
    R.LossPercent = Loss;
    std::vector<std::pair<unsigned, std::shared_ptr<Region::Outcome>>> All;
    for (unsigned Round = 0; Round < 40; ++Round) {
      unsigned At = Round % 5;
      All.emplace_back(At, R.place(At, R.Fixture.request(0), Bookings));
      R.Time.runFor(100ms);
      if (Round % 2 == 0)
        R.exchangeHeartbeats();
      for (auto &[Where, O] : All)
        if (O->served())
          R.All.at(R.ipOf(Where))
              ->Placement.end(*O->Id, {AttemptOutcome::Answered});
    }
    for (int I = 0; I < 20; ++I) {
      R.exchangeHeartbeats();
      for (auto &[Where, O] : All)
        if (O->served())
          R.All.at(R.ipOf(Where))
              ->Placement.end(*O->Id, {AttemptOutcome::Answered});
    }
    for (auto &[Where, O] : All)
      BOOST_TEST(O->served());
    for (const char *Id : {"a", "b"})
      for (unsigned I = 0; I < 5; ++I)
        BOOST_TEST(R.inFlight(I, endpointKeyOf(EndpointId(Id), 1)) == 0U);
  }
}

// All hosts are killed and start together, and endpoints come back cold with
// them: each host sees no other one at first.
BOOST_AUTO_TEST_CASE(hostsThatStartTogetherDoNotOverloadAColdEndpoint) {
  Region R(7);
  R.Time.runFor(4s);
  FleetEndpoint Cold = R.Fixture.addEndpoint("a", "engines", 60s);
  for (const auto &[Ip, H] : R.All)
    H->View.putEndpoint(Cold);
  auto Ask = [&](unsigned At) {
    auto O = R.place(At, R.Fixture.request(1000), Quotes);
    R.Time.runFor(10ms);
    bool Served = O->served();
    R.All.at(R.ipOf(At))
        ->Placement.end(
            *O->Id,
            {Served ? std::optional(AttemptOutcome::Answered) : std::nullopt});
    return Served ? 1 : 0;
  };
  int Served = 0;
  for (unsigned I = 0; I < 100; ++I)
    Served += Ask(I % 7);
  // Two a second, half as many more, and three.
  BOOST_TEST(Served <= 6);
  // They receive each other's messages, and one of them uses the endpoint's
  // allowance.
  for (Duration Past{}; Past < ColdStartLimiter::SettleTime; Past += 200ms)
    R.exchangeHeartbeats();
  Served = 0;
  for (unsigned I = 0; I < 20; ++I) {
    Served += Ask(I % 7);
    R.exchangeHeartbeats();
  }
  BOOST_TEST(Served >= 3);
}

// Guards against messages that grow with the square of the hosts: a request
// costs the messages of its own host, however many hosts there are.
BOOST_AUTO_TEST_CASE(messagesPerRequestDoNotGrowWithTheHosts) {
  for (unsigned Hosts : {5U, 60U}) {
    Region R(Hosts);
    R.addEndpoint("a");
    auto O = R.place(R.other(), R.Fixture.request(1000), Quotes);
    R.Time.runFor(20ms);
    BOOST_REQUIRE(O->served());
    R.All.at(R.ipOf(R.other()))
        ->Placement.end(*O->Id, {AttemptOutcome::Answered});
    BOOST_TEST(R.Notes <= 4U);
  }
}

// One host learns that an endpoint leaves. The placer may choose it for another
// host while the report is on its way, but not after that.
BOOST_AUTO_TEST_CASE(placerHonoursAnEndpointReport) {
  Region R(5);
  R.addEndpoint("a");
  R.addEndpoint("b");
  Host &Placer = *R.All.at(R.ipOf(R.placer()));
  EndpointKey A = endpointKeyOf(EndpointId("a"), 1);
  auto PlaceAtOther = [&] {
    auto O =
        R.place(R.other(1), R.Fixture.request(6000, R.Time.random()), Quotes);
    R.Time.runFor(500ms);
    BOOST_REQUIRE(O->served());
    R.All.at(R.ipOf(R.other(1)))
        ->Placement.end(*O->Id, {AttemptOutcome::Answered});
    R.exchangeHeartbeats();
    return O->endpoint();
  };
  EndpointReport Word{A, true, {}, R.ipOf(R.other())};
  R.All.at(R.ipOf(R.other()))->View.applyReport(Word);
  PlaceAtOther();
  Placer.View.applyReport(Word);
  for (int I = 0; I < 10; ++I)
    BOOST_TEST((PlaceAtOther() != A));
}

// All endpoints back off: a request that can wait for the end of it does.
BOOST_AUTO_TEST_CASE(requestWaitsForTheEndOfABackOff) {
  Region R(5);
  R.addEndpoint("a", "plain");
  Host &Placer = *R.All.at(R.ipOf(R.placer()));
  Placer.View.applyReport(
      {endpointKeyOf(EndpointId("a"), 1), false, 300ms, "x"});
  auto O = R.place(R.other(), R.Fixture.request(0), Bookings);
  R.Time.runFor(290ms);
  BOOST_TEST(!O->served());
  R.Time.runFor(20ms);
  BOOST_TEST(O->served());
}

// Guards against hedges that wait at placers of an earlier version, which do
// not know OnlyFree.
BOOST_AUTO_TEST_CASE(onlyFreeIsRefusedWhenAPlacerQueuesIt) {
  Region R(5);
  R.addEndpoint("a", "plain");
  R.exchangeHeartbeats();
  RequestDescriptor Request = R.Fixture.request(0);
  Request.OnlyFree = true;
  auto O = R.place(R.other(), Request, Bookings);
  R.All.at(Region::ipOf(R.other()))
      ->Placement.answered(Region::ipOf(R.placer()), *O->Id, {Enqueue(), {}});
  BOOST_REQUIRE(O->Answers.size() == 1U);
  const auto *Refused = std::get_if<Refusal>(&*O->Answers.back().Decision);
  BOOST_REQUIRE(Refused != nullptr);
  BOOST_TEST(Refused->Reason == NoFreeSlotRefusal);
  R.Time.runFor(20ms);
  BOOST_TEST(O->Answers.size() == 1U);
  Host &Placer = *R.All.at(Region::ipOf(R.placer()));
  EndpointKey Key = endpointKeyOf(EndpointId("a"), 1);
  BOOST_TEST(Placer.Decisions.loads().at(Key).InFlight == 0U);
}

BOOST_AUTO_TEST_CASE(onlyTheEndpointsOfALostPlacerMove) {
  std::vector<HostState> Placers;
  for (unsigned I = 0; I < 4; ++I) {
    HostState H;
    H.Ip = Region::ipOf(I);
    Placers.push_back(H);
  }
  PlacementMap Map;
  Map.setPlacers(Placers);
  std::map<std::uint64_t, std::string> Before;
  for (std::uint64_t E = 1; E <= 200; ++E)
    Before[E] = Map.ownerOf({E})->Ip;
  std::string Lost = Placers.back().Ip;
  Placers.pop_back();
  Map.setPlacers(Placers);
  for (const auto &[E, Ip] : Before)
    if (Ip != Lost)
      BOOST_TEST(Map.ownerOf({E})->Ip == Ip);
}

BOOST_AUTO_TEST_SUITE_END()
