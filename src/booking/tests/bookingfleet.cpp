#include "bookingfleet.h"

#include <algorithm>
#include <utility>

#include "framework/stablehash.h"

namespace celerybeam::testing {

using namespace std::chrono_literals;

namespace {

constexpr Duration DeathDetectionDelay = 5s;
constexpr Duration RestartDelay = 12s;
constexpr Duration ExecutionTime = 20ms;

TablesSnapshot makeTables(RunnerCheck Checks) {
  auto T = std::make_shared<Tables>();
  T->Number = 1;
  RouteRow Route;
  Route.Name = RouteName("slots");
  Route.Pool = PoolName("crew");
  Route.Repeatable = false;
  T->Routes = {Route};
  PoolRow Pool;
  Pool.Name = PoolName("crew");
  Pool.Label = "crew";
  Pool.Kind = PoolKind::Runner;
  Pool.Checks = Checks;
  T->Pools = {Pool};
  return T;
}

EndpointDescriptor makeRunner(int I) {
  EndpointDescriptor D;
  D.Id = EndpointId("b" + std::to_string(I));
  D.Where = Address("127.0.0.1:" + std::to_string(I));
  D.Region = RegionId("r");
  D.Kind = PoolKind::Runner;
  D.Label = "crew";
  return D;
}

std::optional<EndpointDescriptor>
pickRunner(const PoolName &, const std::vector<EndpointId> &Excluded) {
  for (int I : {1, 2}) {
    EndpointDescriptor D = makeRunner(I);
    if (std::find(Excluded.begin(), Excluded.end(), D.Id) == Excluded.end())
      return D;
  }
  return std::nullopt;
}

} // namespace

struct BookingFleet::Instance {
  Instance(BookingFleet &Fleet, const HostIdentity &Self)
      : Host(Fleet.Time, Self.Id), Board(Self),
        Controller(Board, Host.runtime(), Fleet.Store.hooks(Host),
                   Fleet.Network.hooks(Host), Fleet.runners(Host), pickRunner) {
  }

  VirtualHost Host;
  Blackboard Board;
  BookingController Controller;
};

BookingFleet::BookingFleet(std::uint64_t Seed, RunnerCheck Checks, int Hosts)
    : Time(Seed), Network(Time), Store(Time), Checks_(Checks),
      Tables_(makeTables(Checks)) {
  Network.Connected = [this](const HostId &One, const HostId &Other) {
    return Isolated_.count(One) == 0 && Isolated_.count(Other) == 0;
  };
  for (int I = 0; I < Hosts; ++I)
    start(hostName(I), 1);
  for (const auto &[Name, Inst] : Instances_)
    setPeerState(Name, PeerState::Alive);
}

BookingFleet::~BookingFleet() {
  for (const auto &[Name, Inst] : Instances_)
    Inst->Host.crash();
}

void BookingFleet::start(const std::string &Name, Incarnation Number) {
  HostIdentity Self;
  Self.Id = HostId(Name);
  Self.Region = RegionId("r");
  Self.Zone = ZoneId("z");
  Self.Number = Number;
  Incarnations_[Name] = Number;
  auto Inst = std::make_unique<Instance>(*this, Self);
  Inst->Board.adoptTables(Tables_);
  for (int I : {1, 2})
    Inst->Board.upsertEndpoint(makeRunner(I), EndpointState::Live);
  Network.join(Inst->Host, Number,
               [Raw = Inst.get()](const messages::Envelope &M) {
                 Raw->Controller.handle(M);
               });
  Inst->Host.every(BookingController::TickInterval,
                   [Raw = Inst.get()] { Raw->Controller.tick(); });
  for (const auto &[Other, Known] : Incarnations_) {
    if (Other == Name)
      continue;
    PeerRecord R;
    R.Id = HostId(Other);
    R.Region = RegionId("r");
    R.Zone = ZoneId("z");
    R.State = alive(Other) ? PeerState::Alive : PeerState::Dead;
    Inst->Board.peers().set(R.Id, R);
  }
  if (Instances_[Name])
    EndedInstances_.push_back(std::move(Instances_[Name]));
  Instances_[Name] = std::move(Inst);
}

void BookingFleet::setPeerState(const std::string &Host, PeerState State) {
  PeerRecord R;
  R.Id = HostId(Host);
  R.Region = RegionId("r");
  R.Zone = ZoneId("z");
  R.State = State;
  for (const auto &[Name, Inst] : Instances_)
    if (Name != Host)
      Inst->Board.peers().set(R.Id, R);
}

void BookingFleet::crash(const std::string &Host, bool Restart) {
  VirtualHost Process = Instances_.at(Host)->Host;
  if (Process.crashed())
    return;
  Process.crash();
  Time.after(DeathDetectionDelay, [=, this] {
    if (!alive(Host))
      setPeerState(Host, PeerState::Dead);
  });
  if (!Restart)
    return;
  Time.after(RestartDelay, [=, this] {
    start(Host, Incarnations_[Host] + 1);
    setPeerState(Host, PeerState::Alive);
  });
}

void BookingFleet::pause(const std::string &Host, Duration Span) {
  VirtualHost Process = Instances_.at(Host)->Host;
  Time.after(Duration(0), [Process] { Process.pause(); });
  if (Span > DeathDetectionDelay)
    Time.after(DeathDetectionDelay,
               [=, this] { setPeerState(Host, PeerState::Dead); });
  Time.after(Span, [=, this] {
    if (Process.crashed())
      return;
    Process.resume();
    Time.after(1s, [=, this] {
      if (alive(Host))
        setPeerState(Host, PeerState::Alive);
    });
  });
}

void BookingFleet::storeDown(Duration Span) {
  Store.setDown(true);
  Time.after(Span, [this] { Store.setDown(false); });
}

void BookingFleet::partitionFromStore(const std::string &Host, Duration Span) {
  Store.setCutOff(HostId(Host), true);
  Time.after(Span, [=, this] { Store.setCutOff(HostId(Host), false); });
}

void BookingFleet::setMutualState(const std::string &Host, PeerState State) {
  setPeerState(Host, State);
  for (const auto &[Other, Inst] : Instances_) {
    if (Other == Host || (State == PeerState::Alive && !alive(Other)))
      continue;
    board(Host).peers().update(HostId(Other),
                               [&](PeerRecord &R) { R.State = State; });
  }
}

void BookingFleet::isolate(const std::string &Host, Duration Span) {
  HostId Id(Host);
  if (!Isolated_.insert(Id).second)
    return;
  Time.after(DeathDetectionDelay,
             [=, this] { setMutualState(Host, PeerState::Dead); });
  Time.after(Span, [=, this] {
    Isolated_.erase(Id);
    if (alive(Host))
      setMutualState(Host, PeerState::Alive);
  });
}

Uuid7 BookingFleet::newKey() { return Uuid7::generate(Time.runtime()); }

std::size_t BookingFleet::book(const std::string &Host, const Uuid7 &Key,
                               Duration Timeout, const std::string &Body) {
  auto Request = std::make_shared<CallResult>();
  Request->Key = Key.str();
  Request->Host = Host;
  Request->StartedAt = Time.now();
  Request->Deadline = Time.now() + Timeout;
  Results.push_back(Request);
  BookingOrder Order{RequestId("q" + std::to_string(Results.size())),
                     Key,
                     CustomerId("karaganda"),
                     RouteName("slots"),
                     PoolName("crew"),
                     {"POST", "/book", "", {}},
                     std::make_shared<const std::string>(Body),
                     Request->Deadline};
  Instance &Inst = *Instances_.at(Host);
  Inst.Host.post(Duration(0), [=, this, Raw = &Inst] {
    Raw->Controller.book(Order, [=, this](Result<BookingOutcome> R) {
      Request->Outcome = std::move(R);
      Request->CompletedAt = Time.now();
      Request->ExecutionsAtCompletion = executions(Request->Key);
    });
  });
  return Results.size() - 1;
}

std::size_t BookingFleet::query(const std::string &Host, const Uuid7 &Key) {
  auto Request = std::make_shared<CallResult>();
  Request->Key = Key.str();
  Request->Host = Host;
  Request->StartedAt = Time.now();
  Request->Deadline = Time.now() + 4s;
  Results.push_back(Request);
  Instance &Inst = *Instances_.at(Host);
  Inst.Controller.query(CustomerId("karaganda"), Key, Request->Deadline,
                        [=, this](Result<BookingOutcome> R) {
                          Request->Outcome = std::move(R);
                          Request->CompletedAt = Time.now();
                          Request->ExecutionsAtCompletion =
                              executions(Request->Key);
                        });
  return Results.size() - 1;
}

bool BookingFleet::allCompleted() const {
  return std::all_of(Results.begin(), Results.end(), [](const auto &Request) {
    return Request->Outcome.has_value();
  });
}

int BookingFleet::executions(const std::string &Key) const {
  auto It = Executions_.find(Key);
  return It == Executions_.end() ? 0 : It->second;
}

bool BookingFleet::alive(const std::string &Host) const {
  auto It = Instances_.find(Host);
  return It != Instances_.end() && It->second && It->second->Host.running();
}

BookingController &BookingFleet::controller(const std::string &Host) {
  return Instances_.at(Host)->Controller;
}

Blackboard &BookingFleet::board(const std::string &Host) {
  return Instances_.at(Host)->Board;
}

std::string BookingFleet::ownerOf(const Uuid7 &Key) const {
  std::uint64_t Shard = stableHash(Key.str()) % 8;
  auto Value = Store.read(StoreKey("ledger/r/" + std::to_string(Shard)));
  messages::LedgerShard Record;
  if (!Value || !Record.ParseFromString(Value->Data))
    return "";
  return Record.owner().substr(0, Record.owner().find('#'));
}

EndpointHooks BookingFleet::runners(const VirtualHost &Host) {
  EndpointHooks Hooks;
  Hooks.Start = [=, this](const EndpointCall &Call,
                          const CallObserver &Observer) {
    startCall(Host, Call, Observer);
  };
  return Hooks;
}

std::string BookingFleet::execute(const EndpointCall &Call) {
  std::string Key(findHeader(Call.Head.Headers, "idempotency-key"));
  bool IsNew = ExecutedKeys_.emplace(Call.Endpoint, Key).second;
  if (Checks_ != RunnerCheck::Key || IsNew)
    ++Executions_[Key];
  return "done " + Key;
}

void BookingFleet::startCall(const VirtualHost &Host, const EndpointCall &Call,
                             const CallObserver &Observer) {
  if (Host.crashed())
    return;
  RunnerFault Fault =
      PickRunnerFault ? PickRunnerFault(Host.id()) : RunnerFault::None;
  if (Host.crashed())
    return;
  auto End = [=](Duration After, ErrorKind Kind) {
    Host.post(After, [=] { Observer.OnEnd(makeError(Kind, "told to fail")); });
  };
  auto Reply = [=](Duration After, int Status, const std::string &Body) {
    Host.post(After, [=] {
      Observer.OnHead({Status, {}});
      Observer.OnData(Body);
      Observer.OnEnd({});
    });
  };
  switch (Fault) {
  case RunnerFault::RefuseConnection:
    End(1ms, ErrorKind::ConnectFailed);
    return;
  case RunnerFault::LoseRequest:
    End(3s, ErrorKind::ConnectionLost);
    return;
  case RunnerFault::QueueFull:
    Reply(1ms, 429, "full");
    return;
  case RunnerFault::LateRequest:
    Time.after(9s, [=, this] { Reply(ExecutionTime, 200, execute(Call)); });
    return;
  default:
    break;
  }
  Time.after(ExecutionTime, [=, this] {
    std::string Body = execute(Call);
    if (Fault == RunnerFault::LoseResponse)
      End(500ms, ErrorKind::ConnectionLost);
    else
      Reply(Fault == RunnerFault::LateResponse ? Duration(9s) : Duration(1ms),
            200, Body);
  });
}

} // namespace celerybeam::testing
