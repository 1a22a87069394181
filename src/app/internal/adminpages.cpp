#include "app/internal/adminpages.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "app/version.h"
#include "requests/prompt.h"

namespace celerybeam {

namespace {

using Json = nlohmann::json;

constexpr Duration ReachableAge = std::chrono::seconds(15);
constexpr std::uint32_t ExplainMaxTokens = 256;

std::int64_t millis(Duration D) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(D).count();
}

const char *nameOf(PeerState State) {
  switch (State) {
  case PeerState::Alive:
    return "alive";
  case PeerState::Suspect:
    return "suspect";
  case PeerState::Dead:
    return "dead";
  case PeerState::Leaving:
    return "leaving";
  }
  return "dead";
}

const char *nameOf(EndpointState State) {
  switch (State) {
  case EndpointState::Live:
    return "live";
  case EndpointState::Leaving:
    return "leaving";
  case EndpointState::Gone:
    return "gone";
  }
  return "gone";
}

const char *nameOf(ProbationState State) {
  switch (State) {
  case ProbationState::Clear:
    return "clear";
  case ProbationState::Ejected:
    return "ejected";
  case ProbationState::Returning:
    return "returning";
  }
  return "clear";
}

const char *nameOf(PoolKind Kind) {
  switch (Kind) {
  case PoolKind::Engine:
    return "engine";
  case PoolKind::Runner:
    return "runner";
  case PoolKind::Service:
    return "service";
  }
  return "service";
}

const char *nameOf(ResidenceRule Rule) {
  switch (Rule) {
  case ResidenceRule::None:
    return "none";
  case ResidenceRule::Region:
    return "region";
  case ResidenceRule::Caller:
    return "caller";
  }
  return "none";
}

// Describes this host as a peer record, so that it is listed with its peers.
PeerRecord selfRecord(const Blackboard &Board, TimePoint Now) {
  const HostIdentity &Self = Board.self();
  PeerRecord Record;
  Record.Id = Self.Id;
  Record.CallerAddress = Self.CallerAddress;
  Record.PeerAddress = Self.PeerAddress;
  Record.Region = Self.Region;
  Record.Zone = Self.Zone;
  Record.State = Board.leaving() ? PeerState::Leaving : PeerState::Alive;
  Record.Number = Self.Number;
  Record.InForce = Board.tables()->Number;
  Record.LastHeard = Now;
  return Record;
}

std::vector<PeerRecord> allHosts(EntryHost &Host, TimePoint Now) {
  std::vector<PeerRecord> Hosts{selfRecord(Host.board(), Now)};
  Host.board().peers().forEach([&](const HostId &Id, const PeerRecord &Peer) {
    if (Id != Host.board().self().Id)
      Hosts.push_back(Peer);
  });
  std::sort(Hosts.begin(), Hosts.end(), [](const auto &A, const auto &B) {
    return std::tie(A.Region, A.Zone, A.Id) < std::tie(B.Region, B.Zone, B.Id);
  });
  return Hosts;
}

Json regionsOf(const std::vector<PeerRecord> &Hosts) {
  std::map<RegionId, std::vector<const PeerRecord *>> ByRegion;
  for (const PeerRecord &Peer : Hosts)
    ByRegion[Peer.Region].push_back(&Peer);
  Json Regions = Json::array();
  for (const auto &[Region, Members] : ByRegion) {
    std::vector<Revision> InForce;
    std::size_t Alive = 0;
    for (const PeerRecord *Peer : Members) {
      if (Peer->State == PeerState::Dead)
        continue;
      Alive += Peer->State == PeerState::Alive ? 1 : 0;
      InForce.push_back(Peer->InForce);
    }
    std::sort(InForce.begin(), InForce.end());
    Revision Lowest = InForce.empty() ? 0 : InForce.front();
    Revision Highest = InForce.empty() ? 0 : InForce.back();
    Regions.push_back({{"region", Region.str()},
                       {"hosts", Members.size()},
                       {"hosts_alive", Alive},
                       {"revision_lowest", Lowest},
                       {"revision_highest", Highest},
                       {"hosts_at_highest",
                        std::count(InForce.begin(), InForce.end(), Highest)}});
  }
  return Regions;
}

std::string notReadyReason(EntryHost &Host) {
  if (Host.ready())
    return "";
  if (Host.board().leaving())
    return "this host is leaving";
  return "no tables are in force yet: neither the platform's store nor a peer "
         "has given any";
}

Json endpointJson(const EndpointRecord &E, TimePoint Now) {
  Json Loaded = Json::array();
  for (const ModelName &Model : E.Loaded)
    Loaded.push_back(Model.str());
  bool Reported = E.Report.MeasuredAt != TimePoint();
  return {{"endpoint", E.Descriptor.Id.str()},
          {"address", E.Descriptor.Where.str()},
          {"region", E.Descriptor.Region.str()},
          {"zone", E.Descriptor.Zone.str()},
          {"kind", nameOf(E.Descriptor.Kind)},
          {"label", E.Descriptor.Label},
          {"state", nameOf(E.State)},
          {"probation", nameOf(E.Probation)},
          {"slots", E.Descriptor.Slots},
          {"running", E.Report.Running},
          {"waiting", E.Report.Waiting},
          {"in_flight", E.Observed.ShortInFlight + E.Observed.LongInFlight},
          {"report_age_ms",
           Reported ? Json(millis(Now - E.Report.MeasuredAt)) : Json(nullptr)},
          {"first_token_ms", millis(E.Observed.FirstToken)},
          {"token_gap_ms", millis(E.Observed.TokenGap)},
          {"service_ms", millis(E.Observed.Service)},
          {"failures", E.Observed.ConsecutiveFailures},
          {"loaded", std::move(Loaded)}};
}

struct RegionPool {
  PoolLoad Load;
  unsigned Endpoints = 0;
  unsigned Ejected = 0;
};

using RegionPools = std::map<std::pair<PoolName, RegionId>, RegionPool>;

void addEndpoints(const Blackboard &Board, const PoolRow &Pool,
                  RegionPools &Pools) {
  for (const EndpointId &Id : *Board.endpointsWithLabel(Pool.Label)) {
    std::optional<EndpointRecord> E = Board.endpoints().find(Id);
    if (!E || E->State != EndpointState::Live)
      continue;
    RegionPool &P = Pools[{Pool.Name, E->Descriptor.Region}];
    ++P.Endpoints;
    P.Ejected += E->Probation == ProbationState::Ejected ? 1 : 0;
    if (E->Descriptor.Region != Board.self().Region)
      continue;
    P.Load.Slots += E->Descriptor.Slots;
    P.Load.Busy += std::min(E->Report.Running, E->Descriptor.Slots);
  }
}

Json candidateJson(const CandidateView &View) {
  return {{"endpoint", View.Endpoint.str()},
          {"score", static_cast<double>(View.Score.count()) / 1e6},
          {"predicted_wait_ms", millis(View.Score)},
          {"excluded", View.Exclusion}};
}

void addDecision(const std::vector<CandidateView> &Views, Json &Page) {
  auto Chosen = std::find_if(Views.begin(), Views.end(),
                             [](const CandidateView &V) { return V.Chosen; });
  bool Found = Chosen != Views.end();
  Page["decision"] = Found ? "endpoint" : "refuse";
  Page["chosen"] = Found ? Chosen->Endpoint.str() : "";
  Page["reason"] =
      Found ? "the lowest score of the endpoints that can serve"
            : "no endpoint of this region can serve; see each one's exclusion";
  Page["candidates"] = Json::array();
  for (const CandidateView &View : Views)
    Page["candidates"].push_back(candidateJson(View));
}

// The other regions, each with the lowest wait that its hosts report for the
// pool.
Json regionsFor(const Blackboard &Board, const RouteQuery &Query) {
  std::map<RegionId, Duration> LowestWait;
  Board.peers().forEach([&](const HostId &, const PeerRecord &Peer) {
    auto Load = Peer.Pools.find(Query.Pool);
    bool IsCandidate = Peer.Region != Board.self().Region &&
                       Peer.State == PeerState::Alive &&
                       Load != Peer.Pools.end();
    if (!IsCandidate)
      return;
    auto [It, IsNew] = LowestWait.emplace(Peer.Region, Load->second.Wait);
    It->second = std::min(It->second, Load->second.Wait);
  });
  Json Regions = Json::array();
  for (const auto &[Region, Wait] : LowestWait)
    Regions.push_back(
        {{"region", Region.str()},
         {"predicted_ms", millis(Wait)},
         {"excluded", Query.MayLeaveRegion
                          ? ""
                          : "the route's requests may not leave the region"}});
  return Regions;
}

} // namespace

AdminPages::AdminPages(EntryHost &Host, Runtime R, AdminPageInputs Inputs)
    : Host_(Host), Time_(std::move(R)), Inputs_(std::move(Inputs)) {}

std::string AdminPages::status() const {
  TimePoint Now = Time_.Now();
  const HostIdentity &Self = Host_.board().self();
  Duration Age = Inputs_.LastPlatformResponseAge();
  Json Page = {{"host", Self.Id.str()},
               {"region", Self.Region.str()},
               {"zone", Self.Zone.str()},
               {"version", Version},
               {"uptime_ms", millis(Now - Inputs_.StartedAt)},
               {"ready", Host_.ready()},
               {"leaving", Host_.board().leaving()},
               {"not_ready_reason", notReadyReason(Host_)},
               {"revision", Host_.board().tables()->Number},
               {"store",
                {{"reachable", Age < ReachableAge},
                 {"last_answer_age_ms", millis(Age)},
                 {"calls", Inputs_.PlatformCalls()}}},
               {"requests",
                {{"in_flight", Host_.requests().inFlight()},
                 {"served", Inputs_.Served()},
                 {"refused", Inputs_.Refused()}}},
               {"regions", regionsOf(allHosts(Host_, Now))}};
  return Page.dump();
}

std::string AdminPages::entries() const {
  TimePoint Now = Time_.Now();
  Json Entries = Json::array();
  for (const PeerRecord &Peer : allHosts(Host_, Now))
    Entries.push_back({{"host", Peer.Id.str()},
                       {"caller_address", Peer.CallerAddress.str()},
                       {"peer_address", Peer.PeerAddress.str()},
                       {"region", Peer.Region.str()},
                       {"zone", Peer.Zone.str()},
                       {"state", nameOf(Peer.State)},
                       {"revision", Peer.InForce},
                       {"last_heard_age_ms", millis(Now - Peer.LastHeard)}});
  return Json{{"entries", std::move(Entries)}}.dump();
}

std::string AdminPages::endpoints() const {
  TimePoint Now = Time_.Now();
  std::map<EndpointId, Json> Sorted;
  Host_.board().endpoints().forEach(
      [&](const EndpointId &Id, const EndpointRecord &E) {
        Sorted.emplace(Id, endpointJson(E, Now));
      });
  Json Endpoints = Json::array();
  for (auto &[Id, E] : Sorted)
    Endpoints.push_back(std::move(E));
  return Json{{"endpoints", std::move(Endpoints)}}.dump();
}

std::string AdminPages::pools() const {
  const Blackboard &Board = Host_.board();
  TablesSnapshot T = Board.tables();
  RegionPools Pools;
  for (const PoolRow &Pool : T->Pools)
    addEndpoints(Board, Pool, Pools);
  Board.peers().forEach([&](const HostId &, const PeerRecord &Peer) {
    if (Peer.Region == Board.self().Region || Peer.State != PeerState::Alive)
      return;
    for (const auto &[Name, Load] : Peer.Pools)
      Pools[{Name, Peer.Region}].Load = Load;
  });
  Json Rows = Json::array();
  for (const auto &[Key, P] : Pools) {
    bool IsLocal = Key.second == Board.self().Region;
    Rows.push_back(
        {{"pool", Key.first.str()},
         {"region", Key.second.str()},
         {"slots", P.Load.Slots},
         {"busy", P.Load.Busy},
         {"wait_ms",
          millis(IsLocal ? Host_.admission().poolStats(Key.first).OldestWait
                         : P.Load.Wait)},
         {"requests_per_second",
          IsLocal ? Inputs_.RequestsPerSecond(Key.first) : 0.0},
         {"share_away", IsLocal ? Inputs_.ForwardedShare(Key.first) : 0.0},
         {"endpoints", P.Endpoints},
         {"ejected", P.Ejected}});
  }
  return Json{{"pools", std::move(Rows)}}.dump();
}

std::string AdminPages::drainStarted() const {
  return Json{{"leaving", true}, {"in_flight", Host_.requests().inFlight()}}
      .dump();
}

Result<std::string> AdminPages::explain(const ExplainQuestion &Question) const {
  TablesSnapshot T = Host_.board().tables();
  const RouteRow *Route = Question.Route.empty()
                              ? T->findRouteOfModel(Question.Model)
                              : T->findRoute(Question.Route);
  if (!Route)
    return makeError(ErrorKind::UnknownRoute,
                     "no such route; give route= or model= as in routes.toml");
  RouteQuery Query;
  Query.Route = Route->Name;
  Query.Pool = Route->Pool;
  Query.Customer = Question.Customer;
  if (!Route->Models.empty())
    Query.Model =
        Question.Model.empty() ? Route->Models.front() : Question.Model;
  Prompt P = promptOfText(Query.Model, Question.Prompt, ExplainMaxTokens);
  Query.Prefix = P.Prefix;
  Query.PromptTokens = P.PromptTokens;
  Query.MaxTokens = P.MaxTokens;
  Query.Class = estimateClass(P);
  if (!Question.Class.empty())
    Query.Class =
        Question.Class == "long" ? RequestClass::Long : RequestClass::Short;
  Query.Deadline = Time_.Now() + Route->DefaultDeadline;
  Query.MayLeaveRegion =
      Route->MayLeaveRegion && Route->Residence == ResidenceRule::None;

  Json Page = {{"route", Route->Name.str()},
               {"pool", Route->Pool.str()},
               {"class", Query.Class == RequestClass::Short ? "short" : "long"},
               {"region", Host_.board().self().Region.str()},
               {"residence", nameOf(Route->Residence)},
               {"revision", T->Number}};
  addDecision(Host_.router().explain(Query), Page);
  Page["regions"] = regionsFor(Host_.board(), Query);
  return Page.dump();
}

} // namespace celerybeam
