#include "membership/membershipcontroller.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <map>
#include <mutex>
#include <set>
#include <utility>

#include "membership/internal/peertable.h"
#include "membership/internal/poolloads.h"
#include "membership/internal/rendezvous.h"
#include "membership/internal/updatequeue.h"
#include "membership/internal/zoneprober.h"

namespace celerybeam {

namespace {

constexpr Duration ProbePeriod = std::chrono::seconds(1);
constexpr Duration DirectTimeout = std::chrono::milliseconds(300);
constexpr std::size_t IndirectProbes = 3;
constexpr Duration SuspicionTime = std::chrono::seconds(4);
/// Probe periods between probes of a dead member. Dead members are probed so
/// that the two halves of a partitioned zone find each other again.
constexpr std::uint64_t DeadProbeEvery = 5;
constexpr Duration ForgetAfter = std::chrono::minutes(10);
/// A gap between ticks of this length or more means that this host was paused.
constexpr Duration PauseGap = std::chrono::seconds(1);
constexpr std::size_t ZoneGossipBytes = 600;
constexpr std::size_t RemoteGossipBytes = 900;
constexpr std::size_t DelegatesPerZone = 2;
constexpr unsigned RemoteTransmissions = 4;
constexpr unsigned ExtraTransmissions = 2;
constexpr Duration RemotePeriod = std::chrono::seconds(1);
/// Digest period per other zone: its product with the number of other zones,
/// but at least MinDigestPeriod, is the period after which the first
/// delegate of a zone sends a new state of its own.
constexpr Duration DigestPerZone = std::chrono::milliseconds(300);
constexpr Duration MinDigestPeriod = std::chrono::seconds(2);
/// A zone without updates for more than this many digest periods counts as
/// partitioned or lost.
constexpr int SilentDigests = 4;
constexpr Duration EndpointScanPeriod = std::chrono::milliseconds(500);
/// An endpoint that is leaving is used again when the platform's list still
/// shows it live after this time.
constexpr Duration LeavingRetention = std::chrono::seconds(60);
/// Weight of entry hosts in a zone that sends no updates.
constexpr double SilentZoneWeight = 0.1;

unsigned transmissionsFor(std::size_t Members) {
  return static_cast<unsigned>(std::bit_width(Members)) + ExtraTransmissions;
}

} // namespace

class MembershipController::Impl {
public:
  Impl(Blackboard &Board, Runtime R, PeerHooks Peers,
       GossipContributor Contribute)
      : Board_(Board), Runtime_(std::move(R)), Peers_(std::move(Peers)),
        Contribute_(std::move(Contribute)), Table_(Board),
        Prober_(Runtime_.Random), OwnIncarnation_(Board.self().Number) {}

  void platformListed(const PlatformList &List);
  void handle(const messages::Envelope &Message);
  void tick();
  void announceLeaving();
  void announceEndpointLeaving(const std::vector<EndpointId> &Endpoints);
  std::vector<EntryAdvice> entries(const RegionId &Only) const;

private:
  using Outbox = std::vector<std::pair<HostId, messages::Envelope>>;

  void send(Outbox &&Out) const;

  // The functions below require Mutex_ to be held.
  void handleLocked(const messages::Envelope &Message, Outbox &Out);
  void applyGossip(const HostId &From, const messages::Gossip &Gossip);
  void applyPeerState(const messages::PeerState &State);
  void applyEndpointUpdate(const messages::EndpointNews &Update);
  void acknowledgePing(const HostId &From, const messages::Ping &Ping,
                       Outbox &Out);
  void relayProbe(const HostId &From, const messages::PingRequest &Request,
                  Outbox &Out);
  void handleAck(const messages::Ack &Ack, Outbox &Out);
  void probe(TimePoint Now, Outbox &Out);
  void ping(const HostId &Target, Outbox &Out, detail::ZoneProber::Probe Probe);
  void probeIndirectly(TimePoint Now, Outbox &Out);
  void updateSuspicions(TimePoint Now);
  void refute(Outbox &Out);
  void gossipToOtherZones(TimePoint Now, Outbox &Out);
  void gossipToZone(const ZoneId &Zone, Outbox &Out);
  std::vector<EndpointId> newlyLeaving(TimePoint Now);
  void queueUpdate(const messages::PeerState &State);
  void queueUpdate(const messages::EndpointNews &Update);
  /// Adds the state in which a host is known here unless it is Alive, so that
  /// the host can refute it.
  void addNonAliveState(const HostId &Host, messages::Gossip &Gossip) const;
  void addUpdates(messages::Gossip &Gossip, std::size_t Budget, bool Remote);
  messages::PeerState ownState() const;
  std::vector<HostId> delegatesOf(const ZoneId &Zone) const;
  bool isSilent(const ZoneId &Zone, TimePoint Now) const;
  /// Whether this host's zone reports the pool loads of its region to other
  /// regions.
  bool reportsRegionLoads(TimePoint Now) const;
  Duration digestPeriod() const;
  void detectPause(TimePoint Now);

  Blackboard &Board_;
  Runtime Runtime_;
  PeerHooks Peers_;
  GossipContributor Contribute_;

  mutable std::mutex Mutex_;
  detail::PeerTable Table_;
  detail::ZoneProber Prober_;
  detail::UpdateQueue<messages::PeerState> ZoneUpdates_;
  detail::UpdateQueue<messages::PeerState> RemoteUpdates_;
  detail::UpdateQueue<messages::EndpointNews> EndpointUpdates_;
  Incarnation OwnIncarnation_;
  /// Whether to send a refutation. It goes directly to all live members of the
  /// zone, since a suspicion expires soon.
  bool RefutationDue_ = false;
  std::uint64_t OwnSerial_ = 0;
  std::uint64_t ProbePeriods_ = 0;
  TimePoint LastTick_{};
  TimePoint ProbedAt_{};
  TimePoint RemoteGossipAt_{};
  TimePoint DigestAt_{};
  TimePoint ScannedAt_{};
  std::map<EndpointId, TimePoint> LeavingSince_;
};

void MembershipController::Impl::send(Outbox &&Out) const {
  for (auto &[To, Message] : Out) {
    messages::Gossip *Gossip = nullptr;
    if (Message.has_ping())
      Gossip = Message.mutable_ping()->mutable_gossip();
    else if (Message.has_ack())
      Gossip = Message.mutable_ack()->mutable_gossip();
    else if (Message.has_gossip())
      Gossip = Message.mutable_gossip();
    if (Gossip != nullptr && Contribute_)
      Contribute_(*Gossip);
    Peers_.Send(To, std::move(Message));
  }
}

messages::PeerState MembershipController::Impl::ownState() const {
  const HostIdentity &Self = Board_.self();
  messages::PeerState State;
  State.set_host(Self.Id.str());
  State.set_region(Self.Region.str());
  State.set_zone(Self.Zone.str());
  State.set_caller_address(Self.CallerAddress.str());
  State.set_peer_address(Self.PeerAddress.str());
  State.set_state(Board_.leaving() ? messages::PeerState::LEAVING
                                   : messages::PeerState::ALIVE);
  State.set_incarnation(OwnIncarnation_);
  State.set_revision_in_force(Board_.tables()->Number);
  return State;
}

void MembershipController::Impl::addUpdates(messages::Gossip &Gossip,
                                            std::size_t Budget, bool Remote) {
  Gossip.set_revision_in_force(Board_.tables()->Number);
  for (auto &Item : EndpointUpdates_.take(Budget))
    *Gossip.add_endpoints() = std::move(Item);
  for (auto &Item : (Remote ? RemoteUpdates_ : ZoneUpdates_).take(Budget))
    *Gossip.add_peers() = std::move(Item);
}

void MembershipController::Impl::addNonAliveState(
    const HostId &Host, messages::Gossip &Gossip) const {
  std::optional<PeerState> State = Table_.stateOf(Host);
  if (State && *State != PeerState::Alive)
    *Gossip.add_peers() = *Table_.stateMessage(Host);
}

void MembershipController::Impl::queueUpdate(const messages::PeerState &State) {
  std::size_t Members =
      Table_.inZone(Board_.self().Zone, PeerState::Alive).size();
  ZoneUpdates_.add(State.host(), State, transmissionsFor(Members));
  RemoteUpdates_.add(State.host(), State, RemoteTransmissions);
}

void MembershipController::Impl::queueUpdate(
    const messages::EndpointNews &Update) {
  std::size_t Members =
      Table_.inZone(Board_.self().Zone, PeerState::Alive).size();
  EndpointUpdates_.add(Update.endpoint(), Update, transmissionsFor(Members));
}

void MembershipController::Impl::platformListed(const PlatformList &List) {
  TimePoint Now = Runtime_.Now();
  std::lock_guard Lock(Mutex_);
  for (const ListedEntryHost &Host : List.EntryHosts)
    Table_.addListed(Host, Now);
  std::set<EndpointId> Listed;
  for (const ListedEndpoint &E : List.Endpoints) {
    const EndpointId &Id = E.Descriptor.Id;
    Listed.insert(Id);
    std::optional<EndpointRecord> Known = Board_.endpoints().find(Id);
    bool StillLeaving = Known && Known->State == EndpointState::Leaving &&
                        Now - LeavingSince_.try_emplace(Id, Now).first->second <
                            LeavingRetention;
    bool Leaving = E.Leaving || StillLeaving;
    if (!Leaving)
      LeavingSince_.erase(Id);
    Board_.upsertEndpoint(E.Descriptor, Leaving ? EndpointState::Leaving
                                                : EndpointState::Live);
  }
  // The list lags, so an endpoint that is missing from it may be new. An
  // endpoint that was leaving and is missing has gone and is removed.
  for (auto It = LeavingSince_.begin(); It != LeavingSince_.end();) {
    if (Listed.count(It->first) > 0 || Now - It->second < LeavingRetention) {
      ++It;
      continue;
    }
    Board_.removeEndpoint(It->first);
    It = LeavingSince_.erase(It);
  }
}

void MembershipController::Impl::handle(const messages::Envelope &Message) {
  Outbox Out;
  {
    std::lock_guard Lock(Mutex_);
    handleLocked(Message, Out);
  }
  send(std::move(Out));
}

void MembershipController::Impl::handleLocked(const messages::Envelope &Message,
                                              Outbox &Out) {
  HostId From(Message.from());
  TimePoint Now = Runtime_.Now();
  switch (Message.body_case()) {
  case messages::Envelope::kPing:
    applyGossip(From, Message.ping().gossip());
    acknowledgePing(From, Message.ping(), Out);
    return;
  case messages::Envelope::kPingRequest:
    Table_.recordMessageFrom(From, 0, Now);
    relayProbe(From, Message.ping_request(), Out);
    return;
  case messages::Envelope::kAck:
    applyGossip(From, Message.ack().gossip());
    handleAck(Message.ack(), Out);
    return;
  case messages::Envelope::kGossip:
    applyGossip(From, Message.gossip());
    return;
  default:
    return;
  }
}

void MembershipController::Impl::applyGossip(const HostId &From,
                                             const messages::Gossip &Gossip) {
  for (const messages::PeerState &State : Gossip.peers())
    applyPeerState(State);
  for (const messages::EndpointNews &Update : Gossip.endpoints())
    applyEndpointUpdate(Update);
  Table_.recordMessageFrom(From, Gossip.revision_in_force(), Runtime_.Now());
}

void MembershipController::Impl::applyPeerState(
    const messages::PeerState &State) {
  if (HostId(State.host()) != Board_.self().Id) {
    if (Table_.merge(State, Runtime_.Now()))
      queueUpdate(State);
    return;
  }
  bool ReportedNotAlive = State.state() != messages::PeerState::ALIVE;
  bool IsLeaving =
      State.state() == messages::PeerState::LEAVING && Board_.leaving();
  if (!ReportedNotAlive || IsLeaving || State.incarnation() < OwnIncarnation_)
    return;
  OwnIncarnation_ = State.incarnation() + 1;
  queueUpdate(ownState());
  RefutationDue_ = true;
}

void MembershipController::Impl::applyEndpointUpdate(
    const messages::EndpointNews &Update) {
  EndpointId Id(Update.endpoint());
  if (!Update.leaving())
    return;
  bool WasLive = false;
  Board_.endpoints().update(Id, [&](EndpointRecord &R) {
    WasLive = R.State == EndpointState::Live;
    if (WasLive)
      R.State = EndpointState::Leaving;
  });
  if (!WasLive)
    return;
  LeavingSince_[Id] = Runtime_.Now();
  queueUpdate(Update);
}

void MembershipController::Impl::acknowledgePing(const HostId &From,
                                                 const messages::Ping &Ping,
                                                 Outbox &Out) {
  messages::Envelope Reply;
  Reply.mutable_ack()->set_sequence(Ping.sequence());
  messages::Gossip &Gossip = *Reply.mutable_ack()->mutable_gossip();
  addNonAliveState(From, Gossip);
  addUpdates(Gossip, ZoneGossipBytes, false);
  Out.emplace_back(From, std::move(Reply));
}

void MembershipController::Impl::relayProbe(
    const HostId &From, const messages::PingRequest &Request, Outbox &Out) {
  detail::ZoneProber::Probe Probe;
  Probe.Target = HostId(Request.target());
  Probe.Requester = From;
  Probe.RequesterSequence = Request.sequence();
  if (Table_.stateOf(Probe.Target))
    ping(Probe.Target, Out, Probe);
}

void MembershipController::Impl::handleAck(const messages::Ack &Ack,
                                           Outbox &Out) {
  std::optional<detail::ZoneProber::Probe> Probe =
      Prober_.close(Ack.sequence());
  if (!Probe || Probe->Requester.empty())
    return;
  messages::Envelope Relayed;
  Relayed.mutable_ack()->set_sequence(Probe->RequesterSequence);
  Out.emplace_back(Probe->Requester, std::move(Relayed));
}

void MembershipController::Impl::tick() {
  TimePoint Now = Runtime_.Now();
  Outbox Out;
  std::vector<EndpointId> NewlyLeaving;
  {
    std::lock_guard Lock(Mutex_);
    detectPause(Now);
    probeIndirectly(Now, Out);
    refute(Out);
    if (Now - ProbedAt_ >= ProbePeriod) {
      ProbedAt_ = Now;
      updateSuspicions(Now);
      probe(Now, Out);
    }
    gossipToOtherZones(Now, Out);
    NewlyLeaving = newlyLeaving(Now);
  }
  send(std::move(Out));
  if (!NewlyLeaving.empty())
    announceEndpointLeaving(NewlyLeaving);
}

void MembershipController::Impl::detectPause(TimePoint Now) {
  TimePoint Last = std::exchange(LastTick_, Now);
  if (Last == TimePoint() || Now - Last < PauseGap)
    return;
  Prober_.clear();
  Table_.restartSuspicions(Now);
}

void MembershipController::Impl::updateSuspicions(TimePoint Now) {
  for (const HostId &Host :
       Prober_.takeFailed(Now - ProbePeriod + TickInterval / 2))
    if (Table_.suspect(Host, Now))
      queueUpdate(*Table_.stateMessage(Host));
  for (const HostId &Host : Table_.expireSuspicions(Now - SuspicionTime))
    queueUpdate(*Table_.stateMessage(Host));
  Table_.forget(Now - ForgetAfter);
}

void MembershipController::Impl::refute(Outbox &Out) {
  if (!std::exchange(RefutationDue_, false))
    return;
  messages::Envelope Message;
  *Message.mutable_gossip()->add_peers() = ownState();
  for (const HostId &Peer : Table_.inZone(Board_.self().Zone, PeerState::Alive))
    Out.emplace_back(Peer, Message);
}

void MembershipController::Impl::probe(TimePoint Now, Outbox &Out) {
  const ZoneId &Zone = Board_.self().Zone;
  std::vector<HostId> Members = Table_.inZone(Zone, PeerState::Alive);
  std::vector<HostId> Suspects = Table_.inZone(Zone, PeerState::Suspect);
  Members.insert(Members.end(), Suspects.begin(), Suspects.end());
  std::sort(Members.begin(), Members.end());
  detail::ZoneProber::Probe Probe;
  Probe.SentAt = Now;
  if (std::optional<HostId> Target = Prober_.nextTarget(Members)) {
    Probe.Target = *Target;
    ping(*Target, Out, Probe);
  }
  if (++ProbePeriods_ % DeadProbeEvery != 0)
    return;
  std::vector<HostId> Dead = Table_.inZone(Zone, PeerState::Dead);
  for (const HostId &Target :
       detail::pickRandom(std::move(Dead), 1, Runtime_.Random)) {
    Probe.Target = Target;
    ping(Target, Out, Probe);
  }
}

void MembershipController::Impl::ping(const HostId &Target, Outbox &Out,
                                      detail::ZoneProber::Probe Probe) {
  Probe.SentAt = Runtime_.Now();
  messages::Envelope Message;
  messages::Ping &Ping = *Message.mutable_ping();
  Ping.set_sequence(Prober_.open(std::move(Probe)));
  *Ping.mutable_gossip()->add_peers() = ownState();
  addNonAliveState(Target, *Ping.mutable_gossip());
  addUpdates(*Ping.mutable_gossip(), ZoneGossipBytes, false);
  Out.emplace_back(Target, std::move(Message));
}

void MembershipController::Impl::probeIndirectly(TimePoint Now, Outbox &Out) {
  auto Slow = Prober_.takeSlow(Now - DirectTimeout);
  if (Slow.empty())
    return;
  std::vector<HostId> Alive =
      Table_.inZone(Board_.self().Zone, PeerState::Alive);
  for (const auto &[Sequence, Target] : Slow) {
    std::vector<HostId> Relays = Alive;
    std::erase(Relays, Target);
    for (const HostId &Relay : detail::pickRandom(
             std::move(Relays), IndirectProbes, Runtime_.Random)) {
      messages::Envelope Message;
      Message.mutable_ping_request()->set_sequence(Sequence);
      Message.mutable_ping_request()->set_target(Target.str());
      Out.emplace_back(Relay, std::move(Message));
    }
  }
}

std::vector<HostId>
MembershipController::Impl::delegatesOf(const ZoneId &Zone) const {
  std::vector<HostId> Hosts = Table_.inZone(Zone, PeerState::Alive);
  if (Zone == Board_.self().Zone && !Board_.leaving())
    Hosts.push_back(Board_.self().Id);
  if (Hosts.empty())
    Hosts = Table_.inZone(Zone, PeerState::Suspect);
  if (Hosts.empty())
    Hosts = Table_.inZone(Zone, PeerState::Dead);
  detail::sortByRank(Hosts, Zone.str());
  Hosts.resize(std::min(Hosts.size(), DelegatesPerZone));
  return Hosts;
}

bool MembershipController::Impl::isSilent(const ZoneId &Zone,
                                          TimePoint Now) const {
  return Zone != Board_.self().Zone &&
         Now - Table_.lastUpdateFromZone(Zone) > digestPeriod() * SilentDigests;
}

bool MembershipController::Impl::reportsRegionLoads(TimePoint Now) const {
  const HostIdentity &Self = Board_.self();
  std::vector<HostId> Peers = Table_.inRegion(Self.Region, PeerState::Alive);
  return std::none_of(Peers.begin(), Peers.end(), [&](const HostId &Id) {
    std::optional<PeerRecord> R = Board_.peers().find(Id);
    return R && R->Zone < Self.Zone && !isSilent(R->Zone, Now);
  });
}

Duration MembershipController::Impl::digestPeriod() const {
  return std::max(MinDigestPeriod,
                  DigestPerZone *
                      static_cast<long>(Table_.otherZones().size()));
}

void MembershipController::Impl::gossipToOtherZones(TimePoint Now,
                                                    Outbox &Out) {
  if (Now - RemoteGossipAt_ < RemotePeriod)
    return;
  RemoteGossipAt_ = Now;
  std::vector<HostId> Delegates = delegatesOf(Board_.self().Zone);
  const HostId &Self = Board_.self().Id;
  if (std::find(Delegates.begin(), Delegates.end(), Self) == Delegates.end())
    return;
  bool IsFirst = Delegates.front() == Self;
  if (IsFirst && Now - DigestAt_ >= digestPeriod()) {
    DigestAt_ = Now;
    messages::PeerState State = ownState();
    State.set_serial(++OwnSerial_);
    if (reportsRegionLoads(Now))
      for (messages::PoolLoad &Load : detail::ownPoolLoads(Board_))
        *State.add_pools() = std::move(Load);
    queueUpdate(State);
  }
  std::vector<ZoneId> Zones = Table_.otherZones();
  if (!Zones.empty())
    gossipToZone(Zones[Runtime_.Random() % Zones.size()], Out);
}

void MembershipController::Impl::gossipToZone(const ZoneId &Zone, Outbox &Out) {
  std::vector<HostId> Targets = delegatesOf(Zone);
  if (Targets.empty())
    return;
  messages::Envelope Message;
  messages::Gossip &Gossip = *Message.mutable_gossip();
  *Gossip.add_peers() = ownState();
  addUpdates(Gossip, RemoteGossipBytes, true);
  Out.emplace_back(Targets[Runtime_.Random() % Targets.size()],
                   std::move(Message));
}

std::vector<EndpointId>
MembershipController::Impl::newlyLeaving(TimePoint Now) {
  std::vector<EndpointId> Found;
  if (Now - ScannedAt_ < EndpointScanPeriod)
    return Found;
  ScannedAt_ = Now;
  Board_.endpoints().forEach(
      [&](const EndpointId &Id, const EndpointRecord &R) {
        if (R.State == EndpointState::Leaving &&
            LeavingSince_.try_emplace(Id, Now).second)
          Found.push_back(Id);
      });
  return Found;
}

void MembershipController::Impl::announceLeaving() {
  Outbox Out;
  {
    std::lock_guard Lock(Mutex_);
    messages::PeerState State = ownState();
    State.set_state(messages::PeerState::LEAVING);
    queueUpdate(State);
    messages::Envelope Message;
    *Message.mutable_gossip()->add_peers() = State;
    for (const HostId &Peer :
         Table_.inRegion(Board_.self().Region, PeerState::Alive))
      Out.emplace_back(Peer, Message);
    for (const ZoneId &Zone : Table_.otherZones())
      for (const HostId &Peer : delegatesOf(Zone))
        Out.emplace_back(Peer, Message);
  }
  send(std::move(Out));
}

void MembershipController::Impl::announceEndpointLeaving(
    const std::vector<EndpointId> &Endpoints) {
  Outbox Out;
  {
    std::lock_guard Lock(Mutex_);
    messages::Envelope Message;
    for (const EndpointId &Id : Endpoints) {
      messages::EndpointNews Update;
      Update.set_endpoint(Id.str());
      Update.set_leaving(true);
      LeavingSince_.try_emplace(Id, Runtime_.Now());
      queueUpdate(Update);
      *Message.mutable_gossip()->add_endpoints() = Update;
    }
    for (const HostId &Peer :
         Table_.inRegion(Board_.self().Region, PeerState::Alive))
      Out.emplace_back(Peer, Message);
  }
  send(std::move(Out));
}

std::vector<EntryAdvice>
MembershipController::Impl::entries(const RegionId &Only) const {
  const HostIdentity &Self = Board_.self();
  std::vector<EntryAdvice> All;
  if (!Board_.leaving() && (Only.empty() || Only == Self.Region))
    All.push_back({Self.Id, Self.CallerAddress, Self.Region, Self.Zone, 1});
  {
    std::lock_guard Lock(Mutex_);
    TimePoint Now = Runtime_.Now();
    std::set<ZoneId> SilentZones;
    for (const ZoneId &Zone : Table_.otherZones())
      if (isSilent(Zone, Now))
        SilentZones.insert(Zone);
    Board_.peers().forEach([&](const HostId &Id, const PeerRecord &R) {
      if (R.State != PeerState::Alive || R.CallerAddress.empty())
        return;
      if (!Only.empty() && R.Region != Only)
        return;
      bool Silent = SilentZones.count(R.Zone) > 0;
      All.push_back({Id, R.CallerAddress, R.Region, R.Zone,
                     Silent ? SilentZoneWeight : 1.0});
    });
  }
  std::sort(All.begin(), All.end(), [](const auto &Left, const auto &Right) {
    return Left.Host < Right.Host;
  });
  // The order within each group is random, so that callers that use the first
  // host of the list are spread.
  for (std::size_t I = All.size(); I > 1; --I)
    std::swap(All[I - 1], All[Runtime_.Random() % I]);
  auto GroupOf = [&](const EntryAdvice &A) {
    if (A.Zone == Self.Zone)
      return 0;
    if (A.Weight < 1)
      return 3;
    return A.Region == Self.Region ? 1 : 2;
  };
  std::stable_sort(All.begin(), All.end(),
                   [&](const EntryAdvice &Left, const EntryAdvice &Right) {
                     return GroupOf(Left) < GroupOf(Right);
                   });
  return All;
}

MembershipController::MembershipController(Blackboard &Board, Runtime R,
                                           PeerHooks Peers,
                                           GossipContributor Contribute)
    : Impl_(std::make_unique<Impl>(Board, std::move(R), std::move(Peers),
                                   std::move(Contribute))) {}
MembershipController::~MembershipController() = default;

void MembershipController::platformListed(const PlatformList &List) {
  Impl_->platformListed(List);
}

void MembershipController::handle(const messages::Envelope &Message) {
  Impl_->handle(Message);
}

void MembershipController::tick() { Impl_->tick(); }

void MembershipController::announceLeaving() { Impl_->announceLeaving(); }

void MembershipController::announceEndpointLeaving(const EndpointId &Endpoint) {
  Impl_->announceEndpointLeaving({Endpoint});
}

std::vector<EntryAdvice>
MembershipController::entries(const RegionId &Only) const {
  return Impl_->entries(Only);
}

} // namespace celerybeam
