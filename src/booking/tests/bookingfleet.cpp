#include "bookingfleet.h"

#include <algorithm>
#include <utility>

#include "framework/stablehash.h"

namespace celerybeam::testing {

using namespace std::chrono_literals;

namespace {

constexpr Duration NoticeDeath = 5s;
constexpr Duration RestartAfter = 12s;
constexpr Duration RunTime = 20ms;

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

EndpointDescriptor runner(int I) {
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
    EndpointDescriptor D = runner(I);
    if (std::find(Excluded.begin(), Excluded.end(), D.Id) == Excluded.end())
      return D;
  }
  return std::nullopt;
}

} // namespace

struct BookingFleet::Life {
  Life(BookingFleet &Fleet, const HostIdentity &Self)
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
  Network.Connected = [this](const HostId &L, const HostId &R) {
    return Isolated_.count(L) == 0 && Isolated_.count(R) == 0;
  };
  for (int I = 0; I < Hosts; ++I)
    start(hostName(I), 1);
  for (const auto &[Name, L] : Lives_)
    announce(Name, PeerState::Alive);
}

BookingFleet::~BookingFleet() {
  for (const auto &[Name, L] : Lives_)
    L->Host.crash();
}

void BookingFleet::start(const std::string &Name, Incarnation Number) {
  HostIdentity Self;
  Self.Id = HostId(Name);
  Self.Region = RegionId("r");
  Self.Zone = ZoneId("z");
  Self.Number = Number;
  Numbers_[Name] = Number;
  auto L = std::make_unique<Life>(*this, Self);
  L->Board.adoptTables(Tables_);
  for (int I : {1, 2})
    L->Board.describeEndpoint(runner(I), EndpointState::Live);
  Network.join(L->Host, Number, [Raw = L.get()](const messages::Envelope &M) {
    Raw->Controller.handle(M);
  });
  L->Host.every(BookingController::TickInterval,
                [Raw = L.get()] { Raw->Controller.tick(); });
  for (const auto &[Other, Known] : Numbers_) {
    if (Other == Name)
      continue;
    PeerRecord R;
    R.Id = HostId(Other);
    R.Region = RegionId("r");
    R.Zone = ZoneId("z");
    R.State = alive(Other) ? PeerState::Alive : PeerState::Dead;
    L->Board.peers().set(R.Id, R);
  }
  if (Lives_[Name])
    Ended_.push_back(std::move(Lives_[Name]));
  Lives_[Name] = std::move(L);
}

void BookingFleet::announce(const std::string &Host, PeerState State) {
  PeerRecord R;
  R.Id = HostId(Host);
  R.Region = RegionId("r");
  R.Zone = ZoneId("z");
  R.State = State;
  for (const auto &[Name, L] : Lives_)
    if (Name != Host)
      L->Board.peers().set(R.Id, R);
}

void BookingFleet::crash(const std::string &Host, bool Restart) {
  VirtualHost Victim = Lives_.at(Host)->Host;
  if (Victim.crashed())
    return;
  Victim.crash();
  Time.after(NoticeDeath, [=, this] {
    if (!alive(Host))
      announce(Host, PeerState::Dead);
  });
  if (!Restart)
    return;
  Time.after(RestartAfter, [=, this] {
    start(Host, Numbers_[Host] + 1);
    announce(Host, PeerState::Alive);
  });
}

void BookingFleet::pause(const std::string &Host, Duration Span) {
  VirtualHost Victim = Lives_.at(Host)->Host;
  Time.after(Duration(0), [Victim] { Victim.pause(); });
  if (Span > NoticeDeath)
    Time.after(NoticeDeath, [=, this] { announce(Host, PeerState::Dead); });
  Time.after(Span, [=, this] {
    if (Victim.crashed())
      return;
    Victim.resume();
    Time.after(1s, [=, this] {
      if (alive(Host))
        announce(Host, PeerState::Alive);
    });
  });
}

void BookingFleet::storeDown(Duration Span) {
  Store.setDown(true);
  Time.after(Span, [this] { Store.setDown(false); });
}

void BookingFleet::cutOffFromStore(const std::string &Host, Duration Span) {
  Store.setCutOff(HostId(Host), true);
  Time.after(Span, [=, this] { Store.setCutOff(HostId(Host), false); });
}

void BookingFleet::divide(const std::string &Host, PeerState State) {
  announce(Host, State);
  for (const auto &[Other, L] : Lives_) {
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
  Time.after(NoticeDeath, [=, this] { divide(Host, PeerState::Dead); });
  Time.after(Span, [=, this] {
    Isolated_.erase(Id);
    if (alive(Host))
      divide(Host, PeerState::Alive);
  });
}

Uuid7 BookingFleet::newKey() { return Uuid7::generate(Time.runtime()); }

std::size_t BookingFleet::book(const std::string &Host, const Uuid7 &Key,
                               Duration Timeout, const std::string &Body) {
  auto A = std::make_shared<Answer>();
  A->Key = Key.str();
  A->Host = Host;
  A->Asked = Time.now();
  A->Deadline = Time.now() + Timeout;
  Answers.push_back(A);
  BookingOrder Order{RequestId("q" + std::to_string(Answers.size())),
                     Key,
                     CustomerId("karaganda"),
                     RouteName("slots"),
                     PoolName("crew"),
                     {"POST", "/book", "", {}},
                     std::make_shared<const std::string>(Body),
                     A->Deadline};
  Life &L = *Lives_.at(Host);
  L.Host.post(Duration(0), [=, this, Raw = &L] {
    Raw->Controller.book(Order, [=, this](Result<BookingOutcome> R) {
      A->Got = std::move(R);
      A->GotAt = Time.now();
      A->ExecutionsThen = executions(A->Key);
    });
  });
  return Answers.size() - 1;
}

std::size_t BookingFleet::query(const std::string &Host, const Uuid7 &Key) {
  auto A = std::make_shared<Answer>();
  A->Key = Key.str();
  A->Host = Host;
  A->Asked = Time.now();
  A->Deadline = Time.now() + 4s;
  Answers.push_back(A);
  Life &L = *Lives_.at(Host);
  L.Controller.query(CustomerId("karaganda"), Key, A->Deadline,
                     [=, this](Result<BookingOutcome> R) {
                       A->Got = std::move(R);
                       A->GotAt = Time.now();
                       A->ExecutionsThen = executions(A->Key);
                     });
  return Answers.size() - 1;
}

bool BookingFleet::allAnswered() const {
  return std::all_of(Answers.begin(), Answers.end(),
                     [](const auto &A) { return A->Got.has_value(); });
}

int BookingFleet::executions(const std::string &Key) const {
  auto It = Executions_.find(Key);
  return It == Executions_.end() ? 0 : It->second;
}

bool BookingFleet::alive(const std::string &Host) const {
  auto It = Lives_.find(Host);
  return It != Lives_.end() && It->second && It->second->Host.running();
}

BookingController &BookingFleet::controller(const std::string &Host) {
  return Lives_.at(Host)->Controller;
}

Blackboard &BookingFleet::board(const std::string &Host) {
  return Lives_.at(Host)->Board;
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
    run(Host, Call, Observer);
  };
  return Hooks;
}

std::string BookingFleet::execute(const EndpointCall &Call) {
  std::string Key(findHeader(Call.Head.Headers, "idempotency-key"));
  bool IsNew = Seen_.emplace(Call.Endpoint, Key).second;
  if (Checks_ != RunnerCheck::Key || IsNew)
    ++Executions_[Key];
  return "done " + Key;
}

void BookingFleet::run(const VirtualHost &Host, const EndpointCall &Call,
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
    Time.after(9s, [=, this] { Reply(RunTime, 200, execute(Call)); });
    return;
  default:
    break;
  }
  Time.after(RunTime, [=, this] {
    std::string Body = execute(Call);
    if (Fault == RunnerFault::LoseAnswer)
      End(500ms, ErrorKind::ConnectionLost);
    else
      Reply(Fault == RunnerFault::LateAnswer ? Duration(9s) : Duration(1ms),
            200, Body);
  });
}

} // namespace celerybeam::testing
