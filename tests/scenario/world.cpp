#include "scenario/world.h"

#include <algorithm>
#include <utility>

#include "configuration/tableswriter.h"

namespace celerybeam::testing {

namespace {

constexpr std::size_t TraceLines = 80;
constexpr Duration ListInterval = std::chrono::seconds(1);
constexpr Duration ZoneLatency = std::chrono::microseconds(500);
const char *const HomeMark = "[home=";

} // namespace

World::World(std::uint64_t Seed)
    : Time_(Seed), Store_(Time_), Network_(Time_),
      Operator_(Time_, HostId("operator")) {
  Network_.Latency = [this](const HostId &A, const HostId &B) {
    return placeOf(A).Region == placeOf(B).Region ? ZoneLatency
                                                  : RegionLatency_;
  };
  Network_.Connected = [this](const HostId &A, const HostId &B) {
    return !separated(placeOf(A), placeOf(B));
  };
  Network_.PickFault = [this](const messages::Envelope &Message) {
    return observeMessage(Message);
  };
  listPeriodically();
}

// Cores go before the fakes that their hooks reach.
World::~World() {
  for (auto &[Id, N] : Hosts_) {
    N.Virtual->crash();
    N.Core.reset();
  }
  Crashed_.clear();
}

void World::addHost(const HostIdentity &Self) {
  Node N;
  N.Self = Self;
  N.Self.Number = 0;
  N.Virtual = std::make_unique<VirtualHost>(Time_, Self.Id);
  N.Virtual->crash();
  Hosts_.emplace(Self.Id, std::move(N));
}

void World::addEndpoint(FakeEndpointOptions Options) {
  EndpointId Id = Options.Descriptor.Id;
  auto E = std::make_unique<FakeEndpoint>(Time_, std::move(Options));
  FakeEndpoint *Raw = E.get();
  E->Reachable = [this, Raw](const HostId &Host) {
    const EndpointDescriptor &D = Raw->options().Descriptor;
    return !separated(placeOf(Host),
                      {D.Region.str(), D.Zone.str(), D.Id.str()});
  };
  E->OnArrival = [this, Raw](const EndpointCall &Call) {
    observeArrival(Raw->options(), Call);
  };
  Endpoints_.emplace(Id, std::move(E));
}

void World::startHost(const HostId &Id) {
  Node &N = Hosts_.at(Id);
  ++N.Self.Number;
  N.Left = false;
  N.Virtual = std::make_unique<VirtualHost>(Time_, Id);
  N.Core = std::make_unique<EntryHost>(N.Self, hooksFor(N));
  EntryHost *Core = N.Core.get();
  Network_.join(*N.Virtual, N.Self.Number,
                [Core](const messages::Envelope &M) { Core->handle(M); });
  Core->platformListed(currentList());
  Core->start();
  updateStoreReach();
  note("host " + Id.str() + " starts");
}

void World::crashHost(const HostId &Id) {
  Node &N = Hosts_.at(Id);
  N.Virtual->crash();
  Network_.leave(Id);
  for (auto &[EndpointName, E] : Endpoints_)
    E->clientCrashed(Id);
  Crashed_.push_back(std::move(N.Core));
  for (const auto &[Name, R] : Calls_.all()) {
    CallRecord *Record = Calls_.find(Name);
    if (Record->Via == Id && !Record->Ended) {
      Record->Ended = true;
      Record->EndedAt = Time_.now();
      Record->Failure =
          Error{ErrorKind::ConnectionLost, "the entry host crashed", {}, {}};
    }
  }
  note("host " + Id.str() + " crashes");
}

void World::pauseHost(const HostId &Id, bool Paused) {
  Node &N = Hosts_.at(Id);
  if (Paused)
    N.Virtual->pause();
  else
    N.Virtual->resume();
}

void World::leaveHost(const HostId &Id) {
  Node &N = Hosts_.at(Id);
  N.Core->leave([this, Id] {
    note("host " + Id.str() + " has left");
    Hosts_.at(Id).Left = true;
    Time_.after(Duration(1), [this, Id] {
      if (Hosts_.at(Id).Left && Hosts_.at(Id).Core)
        crashHost(Id);
    });
  });
}

EntryHost *World::host(const HostId &Id) {
  auto It = Hosts_.find(Id);
  return It == Hosts_.end() ? nullptr : It->second.Core.get();
}

bool World::running(const HostId &Id) const {
  auto It = Hosts_.find(Id);
  return It != Hosts_.end() && It->second.Core && It->second.Virtual->running();
}

std::vector<HostId> World::hostIds() const {
  std::vector<HostId> Ids;
  for (const auto &[Id, N] : Hosts_)
    Ids.push_back(Id);
  return Ids;
}

FakeEndpoint *World::endpoint(const EndpointId &Id) {
  auto It = Endpoints_.find(Id);
  return It == Endpoints_.end() ? nullptr : It->second.get();
}

std::vector<FakeEndpoint *> World::endpoints() {
  std::vector<FakeEndpoint *> All;
  for (auto &[Id, E] : Endpoints_)
    All.push_back(E.get());
  return All;
}

void World::setEndpointLeaving(const EndpointId &Id, bool Leaving) {
  LeavingEndpoints_[Id] = Leaving;
}

void World::cut(const std::string &GroupA, const std::string &GroupB) {
  Cuts_.emplace_back(GroupA, GroupB);
  updateStoreReach();
}

void World::healAll() {
  Cuts_.clear();
  updateStoreReach();
}

bool World::isIn(const HostId &Id, const std::string &Group) const {
  return Group == "all" || inGroup(placeOf(Id), Group);
}

Place World::placeOf(const HostId &Id) const {
  auto It = Hosts_.find(Id);
  if (It == Hosts_.end())
    return StorePlace_;
  const HostIdentity &Self = It->second.Self;
  return {Self.Region.str(), Self.Zone.str(), Id.str()};
}

bool World::inGroup(const Place &P, const std::string &Group) const {
  return P.Region == Group || P.Zone == Group || P.Name == Group;
}

bool World::separated(const Place &A, const Place &B) const {
  auto Splits = [&](const std::string &Left, const std::string &Right) {
    bool ALeft = inGroup(A, Left);
    bool BLeft = inGroup(B, Left);
    if (Right == "*")
      return ALeft != BLeft;
    return (ALeft && inGroup(B, Right)) || (BLeft && inGroup(A, Right));
  };
  return std::any_of(Cuts_.begin(), Cuts_.end(), [&](const auto &Cut) {
    return Splits(Cut.first, Cut.second);
  });
}

void World::updateStoreReach() {
  for (const auto &[Id, N] : Hosts_)
    Store_.setCutOff(Id, separated(placeOf(Id), StorePlace_));
}

EntryHostHooks World::hooksFor(const Node &N) {
  EntryHostHooks Hooks;
  Hooks.Time = N.Virtual->runtime();
  Hooks.Store = Store_.hooks(*N.Virtual);
  Hooks.Peers = Network_.hooks(*N.Virtual);
  Hooks.Endpoints = endpointHooks(*N.Virtual);
  Hooks.Authenticate = [](std::string_view Given) -> Result<CustomerId> {
    if (Given.empty())
      return makeError(ErrorKind::Unauthorized, "send a customer key");
    return CustomerId(std::string(Given));
  };
  Hooks.Events.Ended = [this](const RequestSummary &S) {
    if (S.Failure)
      note("ended " + std::string(errorKindName(*S.Failure)) + " after " +
           std::to_string(S.Total.count() / 1000) + "ms, queued " +
           std::to_string(S.QueueWait.count() / 1000) + "ms, first token " +
           std::to_string(S.FirstToken.count() / 1000) + "ms, attempts " +
           std::to_string(S.Attempts) + ", tokens " + std::to_string(S.Tokens) +
           ", last " + S.LastEndpoint.str());
  };
  return Hooks;
}

EndpointHooks World::endpointHooks(const VirtualHost &Host) {
  EndpointHooks Hooks;
  Hooks.Start = [this, Host](EndpointCall Call, CallObserver Observer) {
    FakeEndpoint *E = endpoint(Call.Endpoint);
    if (E)
      E->start(Host, std::move(Call), std::move(Observer));
  };
  Hooks.Cancel = [this](const AttemptId &Id) {
    for (auto &[Name, E] : Endpoints_)
      E->cancel(Id);
  };
  Hooks.Resume = [this](const AttemptId &Id) {
    for (auto &[Name, E] : Endpoints_)
      E->resume(Id);
  };
  Hooks.FetchLoad = [this,
                     Host](const EndpointId &Id, const Address &,
                           const std::function<void(Result<LoadPage>)> &Done) {
    if (FakeEndpoint *E = endpoint(Id))
      E->askLoad(Host, Done);
  };
  return Hooks;
}

MessageFault World::observeMessage(const messages::Envelope &Message) {
  if (Message.has_forward_request()) {
    const messages::ForwardRequest &F = Message.forward_request();
    if (F.hops() != 1)
      broke("I2: a request was sent on with " + std::to_string(F.hops()) +
            " hops");
    if (F.body().find(HomeMark) != std::string::npos)
      broke("I1: a request bound to its region was sent to another one");
    // A request that arrived by forwarding has an id with an attempt in it.
    std::size_t Dashes = static_cast<std::size_t>(
        std::count(F.request_id().begin(), F.request_id().end(), '-'));
    if (Dashes > 4)
      broke("I2: a forwarded request was forwarded again");
    Forwarded_.insert(F.request_id());
  }
  return PickFault ? PickFault(Message) : MessageFault::None;
}

void World::observeArrival(const FakeEndpointOptions &At,
                           const EndpointCall &Call) {
  std::size_t Mark = Call.Body->find(HomeMark);
  if (Mark != std::string::npos) {
    std::size_t Start = Mark + std::string(HomeMark).size();
    std::string Home =
        Call.Body->substr(Start, Call.Body->find(']', Start) - Start);
    if (Home != At.Descriptor.Region.str())
      broke("I1: data of region " + Home + " reached endpoint " +
            At.Descriptor.Id.str() + " of " + At.Descriptor.Region.str());
  }
}

void World::broke(const std::string &Rule) {
  note("BROKEN " + Rule);
  Broken_.push_back(Rule);
}

void World::note(const std::string &Line) {
  auto Since = Time_.now().time_since_epoch();
  Trace_.push_back(std::to_string(Since.count() / 1000) + "ms " + Line);
  if (Trace_.size() > TraceLines)
    Trace_.pop_front();
}

unsigned World::executions(const std::string &Key) const {
  unsigned Count = 0;
  for (const auto &[Id, E] : Endpoints_) {
    auto It = E->executions().find(Key);
    if (It != E->executions().end())
      Count += It->second;
  }
  return Count;
}

std::vector<std::string> World::brokenInvariants() const {
  std::vector<std::string> Rules = Broken_;
  for (const auto &[Name, R] : Calls_.all()) {
    if (!R.Key.empty() && executions(R.Key) > 1)
      Rules.push_back("I6: booking " + Name + " ran " +
                      std::to_string(executions(R.Key)) + " times");
    if (!R.Key.empty() && R.Outcome == "not-run" && executions(R.Key) > 0)
      Rules.push_back("I5: booking " + Name + " was told not-run and ran");
    if (R.Ended && !R.Failure && R.Status == 200 && !R.correct())
      Rules.push_back("I4: the answer to " + Name + " is not its own whole");
  }
  return Rules;
}

void World::apply(const std::string &Name, const TableTexts &Texts) {
  CheckedTables Checked = parseTables(Texts);
  if (!Checked) {
    Applied_[Name] = "invalid_table: " + Checked.error().front().Message;
    return;
  }
  auto Writer = std::make_shared<TablesWriter>(Store_.hooks(Operator_),
                                               Operator_.runtime());
  auto Tell = [this, Name, Writer](const auto &Outcome) {
    Applied_[Name] = Outcome
                         ? "accepted"
                         : std::string(errorKindName(Outcome.error().Kind)) +
                               ": " + Outcome.error().Message;
    note("apply " + Name + ": " + Applied_[Name]);
  };
  Writer->read([Name, Writer, Tell,
                Next = rowsOf(*Checked)](Result<StoredTables> Stored) {
    if (!Stored)
      return Tell(Stored);
    Writer->apply({Stored->Content.Rows, Next, Name}, Tell);
  });
}

void World::request(CallRecord Record, const RequestHead &Head,
                    std::string Body) {
  Record.StartedAt = Time_.now();
  std::string Name = Record.Name;
  HostId Via = Record.Via;
  CallRecord &R = Calls_.add(std::move(Record));
  auto Fail = [&](const Error &Why) {
    R.Ended = true;
    R.EndedAt = Time_.now();
    R.Failure = Why;
    R.Outcome = Why.Outcome;
  };
  if (!running(Via)) {
    Fail(Error{ErrorKind::ConnectFailed, "the entry host is down", {}, {}});
    return;
  }
  EntryHost &Core = *host(Via);
  Result<AcceptedHead> Accepted = Core.requests().acceptHead(Head);
  if (!Accepted) {
    Fail(Accepted.error());
    return;
  }
  RequestIds_[Name] =
      Core.requests().start(*Accepted, std::move(Body), answerTo(Name));
}

ResponseHooks World::answerTo(const std::string &Name) {
  ResponseHooks Hooks;
  Hooks.Head = [this, Name](const ResponseHead &Head) {
    CallRecord &R = *Calls_.find(Name);
    R.Status = Head.Status;
    R.FirstByteAt = Time_.now();
    R.Outcome = findHeader(Head.Headers, "celerybeam-outcome");
  };
  Hooks.Chunk = [this, Name](const std::string &Data) {
    Calls_.find(Name)->Body += Data;
    return Flow::Continue;
  };
  Hooks.End = [this, Name](const Result<void> &Outcome) {
    CallRecord &R = *Calls_.find(Name);
    if (R.Ended)
      return;
    R.Ended = true;
    R.EndedAt = Time_.now();
    if (!Outcome) {
      R.Failure = Outcome.error();
      R.Outcome = Outcome.error().Outcome;
      note(Name + " failed: " + Outcome.error().Message);
    }
  };
  return Hooks;
}

void World::queryBooking(const std::string &Name, const HostId &Via) {
  CallRecord *R = Calls_.find(Name);
  EntryHost *Core = host(Via);
  if (!R || !Core)
    return;
  R->Outcome = "asking";
  Core->bookings().query(
      CustomerId("customer"), *Uuid7::parse(R->Key),
      Time_.now() + std::chrono::seconds(5),
      [this, Name](Result<BookingOutcome> Told) {
        CallRecord &Record = *Calls_.find(Name);
        if (!Told) {
          Record.Outcome = errorKindName(Told.error().Kind);
          return;
        }
        static const std::map<BookingState, std::string> Names = {
            {BookingState::Done, "done"},
            {BookingState::NotRun, "not-run"},
            {BookingState::Running, "running"},
            {BookingState::Unknown, "unknown"}};
        Record.Outcome = Names.at(Told->State);
      });
}

void World::callerGone(const std::string &Name) {
  CallRecord *R = Calls_.find(Name);
  if (R && host(R->Via))
    host(R->Via)->requests().callerGone(RequestIds_[Name]);
}

PlatformList World::currentList() const {
  PlatformList List;
  for (const auto &[Id, N] : Hosts_)
    if (N.Self.Number > 0 && !N.Left)
      List.EntryHosts.push_back({Id, N.Self.CallerAddress, N.Self.PeerAddress,
                                 N.Self.Region, N.Self.Zone, false});
  for (const auto &[Id, E] : Endpoints_) {
    auto Leaving = LeavingEndpoints_.find(Id);
    List.Endpoints.push_back(
        {E->options().Descriptor,
         Leaving != LeavingEndpoints_.end() && Leaving->second});
  }
  return List;
}

void World::listPeriodically() {
  Time_.after(ListInterval, [this] {
    PlatformList List = currentList();
    Time_.after(ListLag_, [this, List] {
      for (auto &[Id, N] : Hosts_)
        if (running(Id) && !separated(placeOf(Id), StorePlace_))
          N.Core->platformListed(List);
    });
    listPeriodically();
  });
}

} // namespace celerybeam::testing
