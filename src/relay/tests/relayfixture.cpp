#include "relay/tests/relayfixture.h"

#include <algorithm>
#include <random>
#include <utility>

#include <boost/test/unit_test.hpp>

#include "framework/stablehash.h"

namespace celerybeam::testing {

namespace {

/// Requests that an endpoint serves at the same time.
constexpr std::uint32_t Slots = 8;

FleetRoute route(const std::string &Name, RepeatKind Kind,
                 const std::string &Pool) {
  FleetRoute R;
  R.Name = RouteName(Name);
  R.Host = "x.example";
  R.PathPrefix = "/" + Name + "/";
  R.Kind = Kind;
  R.Timeout = std::chrono::seconds(10);
  R.LatencyTarget = std::chrono::seconds(5);
  R.EventGapTarget = std::chrono::seconds(1);
  R.Rank = 1;
  R.MaxEndpoints = mayRepeat(Kind) ? 2 : 1;
  R.Pools = {{PoolName(Pool), 1}};
  return R;
}

/// The parts of a prompt, given by their names.
std::vector<PromptPart> partsOf(std::string_view Names) {
  constexpr std::uint32_t Tokens = 100;
  std::vector<PromptPart> Parts;
  while (!Names.empty()) {
    std::size_t End = std::min(Names.find(','), Names.size());
    Parts.push_back({stableHash(Names.substr(0, End)), Tokens});
    Names.remove_prefix(std::min(End + 1, Names.size()));
  }
  return Parts;
}

/// Replaces the random numbers by those of a fixed seed.
Runtime seeded(Runtime R) {
  R.Random = [Numbers = std::make_shared<std::mt19937_64>(1)] {
    return (*Numbers)();
  };
  return R;
}

} // namespace

RelayFixture::RelayFixture(const std::function<TimePoint()> &Now)
    : Loop(Now ? EventLoop(Now) : EventLoop()),
      Time(Now ? seeded(Loop.runtime()) : Loop.runtime()), Hosts(Time, self()),
      Decisions(Time, Fleet, Hosts, {100, std::chrono::seconds(10), 0}),
      LocalPlacer(Time, Fleet, Decisions, self().Ip,
                  [this](const std::string &Ip, PlacementId Id,
                         const PlacementAnswer &Answer) {
                    Placement.answered(Ip, Id, Answer);
                  }),
      Placement(Time, Fleet, Hosts, Decisions, LocalPlacer, {}),
      Context(makeContext()),
      Front(Loop, [this](HttpServerRequest Request, auto Answer) {
        relayRequest(Context, std::move(Request), std::move(Answer), false);
      }) {
  Fleet.adoptTables(tables());
  BOOST_REQUIRE(Front.listen(Address("127.0.0.1:0")));
}

HostState RelayFixture::self() {
  HostState H;
  H.Id = HostId("k1");
  H.Ip = "127.0.0.1";
  H.Region = RegionId("kigali");
  H.Ready = true;
  return H;
}

FleetTables RelayFixture::tables() {
  FleetTables T;
  T.Version = 1;
  for (const char *Name : {"plain", "engines"}) {
    FleetPool Pool;
    Pool.Name = PoolName(Name);
    Pool.HealthPath = "/healthz";
    T.Pools[Pool.Name] = Pool;
  }
  T.Pools[PoolName("engines")].Engine = EngineSettings{64, 450000, 0};
  T.Routes = {route("book", RepeatKind::AtMostOnce, "plain"),
              route("look", RepeatKind::Idempotent, "plain"),
              route("draft", RepeatKind::Stream, "engines"),
              route("ask", RepeatKind::ResumableStream, "engines")};
  return T;
}

RelayContext RelayFixture::makeContext() {
  WireNames Names;
  Names.RequestId = "Request-Id";
  Names.Signature = "Signature";
  Names.NotExecuted = "Not-Executed";
  Names.ExpectedEndpoint = "Expected-Endpoint";
  Names.TimeLeft = "Time-Left";
  Names.Priority = "Priority";
  Names.LastEventId = "Last-Event-Id";
  Names.Load = "Load";
  Names.Key = "Key";
  Names.Customer = "Customer";
  Names.Reserved = {"Priority", "Reserve"};
  RelayHooks Hooks;
  Hooks.Decode = [this](const HttpServerRequest &R) {
    RequestDescriptor D;
    D.Id = RequestId(
        std::string(findField(R.Head.Fields, "Request-Id").value_or("")));
    D.Host = std::string(findField(R.Head.Fields, "Host").value_or(""));
    D.Target = R.Head.Target;
    D.Fingerprint = stableHash(D.Id.str());
    if (auto Key = findField(R.Head.Fields, "Key"))
      D.Key = digestOfKey(*Key);
    D.Parts = partsOf(findField(R.Head.Fields, "Parts").value_or(""));
    D.Levels = prefixLevelsOf(D.Model, D.Parts);
    D.Deadline = Time.Now() + std::chrono::seconds(10);
    return Result<RequestDescriptor>(D);
  };
  Hooks.DecodeLoad = [](std::string_view) {
    return std::optional<ReportedLoad>();
  };
  Hooks.DecodeAvailability = [](const HttpResponseHead &Head) {
    ReportedAvailability Availability;
    Availability.Leaving = findField(Head.Fields, "Leaving").has_value();
    if (findField(Head.Fields, "Rest"))
      Availability.BackOffFor = std::chrono::seconds(30);
    return Availability;
  };
  Hooks.EndpointReported = [this](const EndpointReport &Report) {
    Fleet.applyReport(Report);
  };
  Hooks.HasFleetState = [this] { return Fleet.tables() != nullptr; };
  Hooks.TablesCurrent = [this](TimePoint) { return TablesCurrent; };
  Hooks.Done = [this](const RequestRecord &R) { Done.push_back(R); };
  return {Time, Fleet, Hosts, Decisions, Placement, Caller, Names, Hooks, "1"};
}

RawServer &RelayFixture::addEndpoint(const std::string &Id,
                                     const std::string &Pool,
                                     RawServer::Script Script) {
  Servers_.push_back(std::make_unique<RawServer>(Loop, std::move(Script)));
  addEndpointAt(Id, Pool, Servers_.back()->address());
  return *Servers_.back();
}

void RelayFixture::addEndpointAt(const std::string &Id, const std::string &Pool,
                                 const std::string &Where) {
  FleetEndpoint E;
  E.Id = EndpointId(Id);
  E.Key = endpointKeyOf(E.Id, 1);
  E.Pool = PoolName(Pool);
  E.Where = Address(Where);
  E.Region = RegionId("kigali");
  E.Slots = Slots;
  Fleet.putEndpoint(E);
}

RawServer &RelayFixture::addOtherHost(const std::string &Pool,
                                      RawServer::Script Script,
                                      bool LoadKnown) {
  constexpr const char *Ip = "127.0.0.7";
  Servers_.push_back(std::make_unique<RawServer>(Loop, std::move(Script), Ip));
  const std::string Where = Servers_.back()->address();
  Context.HostPort = Where.substr(Where.find(':') + 1);
  HostState H;
  H.Id = HostId("m1");
  H.Ip = Ip;
  H.Region = RegionId("musanze");
  H.Ready = true;
  Hosts.received(H);
  if (!LoadKnown)
    return *Servers_.back();
  constexpr unsigned Free = 6;
  Decisions.regions().received(
      H.Region, H.Id,
      {poolHash(PoolName(Pool)), Duration::zero(), Free, Free, Free});
  return *Servers_.back();
}

std::string RelayFixture::field(const std::string &Head,
                                const std::string &Name) {
  auto At = Head.find("\r\n" + Name + ": ");
  if (At == std::string::npos)
    return {};
  At += Name.size() + 4;
  return Head.substr(At, Head.find("\r\n", At) - At);
}

RawServer::Answer RelayFixture::ran(const std::string &Request,
                                    const std::string &Body) {
  return {"HTTP/1.1 200 OK\r\nRequest-Id: " + field(Request, "Request-Id") +
              "\r\nSignature: s\r\nContent-Length: " +
              std::to_string(Body.size()) + "\r\n\r\n" + Body,
          false, false};
}

std::string RelayFixture::streamHead(const std::string &Request) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + field(Request, "Request-Id") +
         "\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string RelayFixture::event(unsigned Id) {
  return renderChunk("id: " + std::to_string(Id) + "\ndata: t\n\n");
}

std::string RelayFixture::request(const std::string &Route,
                                  const std::string &Extra,
                                  const std::string &Body) {
  return "POST /" + Route + "/a HTTP/1.1\r\nHost: x.example\r\nRequest-Id: q" +
         std::to_string(++Requests_) + "\r\n" + Extra +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string RelayFixture::ask(const std::string &Request) {
  RawCaller C(Loop, Front.address().str(), {});
  C.upload(Request);
  runUntil(Loop, [&] {
    auto End = C.received().find("\r\n\r\n");
    if (C.closed())
      return true;
    if (End == std::string::npos)
      return false;
    std::string Length = field(C.received(), "Content-Length");
    if (!Length.empty())
      return C.received().size() >= End + 4 + std::stoul(Length);
    return C.received().ends_with(LastChunk);
  });
  C.close();
  return C.received();
}

void VirtualTimeRelay::runUntilHolds(const std::function<bool()> &Holds) {
  runUntil(Loop, [&] {
    Loop.timers().runDue(Now);
    return Holds();
  });
}

void VirtualTimeRelay::runReady() {
  // What loopback delivers meanwhile is ready, too.
  constexpr int Rounds = 50;
  Loop.timers().runDue(Now);
  for (int Round = 0; Round < Rounds; ++Round)
    Loop.context().poll();
}

void VirtualTimeRelay::runUntilIdle() {
  constexpr std::chrono::microseconds Quiet(400);
  Loop.timers().runDue(Now);
  while (Loop.context().run_one_for(Quiet) > 0)
    Loop.timers().runDue(Now);
}

void VirtualTimeRelay::takeSlots(const std::string &Id) {
  for (std::uint32_t Slot = 0; Slot < Slots; ++Slot)
    TakenSlots_.push_back(
        Decisions.loads().recordStart(endpointKeyOf(EndpointId(Id), 1), {}));
}

void VirtualTimeRelay::freeSlots() {
  for (DispatchId Id : std::exchange(TakenSlots_, {}))
    Decisions.loads().recordEnd(Id);
}

} // namespace celerybeam::testing
