#include "routing/internal/sendawaypolicy.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace celerybeam::detail {

namespace {

/// Weight of the newest decision in the average of local scores.
constexpr double NewestWeight = 0.1;
/// How long another region must be cheaper before requests go there; brief
/// stalls pass sooner.
constexpr Duration HoldTime = std::chrono::milliseconds(250);
/// Requests that the share cap may save up.
constexpr double MaxShareTokens = 4;
/// Seconds of the link's rate that may be sent at once.
constexpr double LinkBurstSeconds = 0.25;
/// Share of another region's slots that guests may fill.
constexpr double MaxRemoteLoad = 0.85;
/// Age at which the load that a host of another region told says nothing;
/// digests come every 7.5 s at 25 zones.
constexpr Duration LoadLifetime = std::chrono::seconds(20);
/// Time constant over which own sends show up in the other region's load.
constexpr double SentDecaySeconds = 1;
constexpr double MicrosPerSecond = 1e6;

double seconds(Duration D) {
  return static_cast<double>(D.count()) / MicrosPerSecond;
}

Duration fromSeconds(double Seconds) {
  return Duration(static_cast<Duration::rep>(Seconds * MicrosPerSecond));
}

// A load that is no longer told is of a region that may be cut off.
bool takesGuests(const PeerRecord &Peer, const PoolName &Pool, TimePoint Now) {
  return Peer.State == PeerState::Alive && Peer.Pools.contains(Pool) &&
         Now - Peer.LastHeard <= LoadLifetime;
}

void addPeer(std::map<RegionId, RemotePool> &Regions, const PeerRecord &Peer,
             const PoolLoad &Load) {
  RemotePool &Remote = Regions[Peer.Region];
  Remote.Region = Peer.Region;
  // Each host tells of the whole region; the most loaded account is taken.
  Remote.Slots = std::max<double>(Remote.Slots, Load.Slots);
  Remote.Busy = std::max<double>(Remote.Busy, Load.Busy);
  Remote.Wait = std::max(Remote.Wait, Load.Wait);
  Remote.Hosts.push_back(Peer.Id);
}

} // namespace

SendAwayPolicy::SendAwayPolicy(Blackboard &Board, Runtime R,
                               const RouterSettings &Settings)
    : Board_(Board), Runtime_(std::move(R)), Settings_(Settings) {}

std::optional<SendAway> SendAwayPolicy::choose(const SendAwayCase &Case) {
  if (!Case.Query->MayLeaveRegion || !Case.Route->MayLeaveRegion)
    return std::nullopt;
  auto Known = remotesOf(Case.Pool->Name);
  std::lock_guard Lock(Mutex_);
  RouteState &State = Routes_[Case.Route->Name];
  State.ShareTokens = std::min(
      MaxShareTokens, State.ShareTokens + Case.Route->Weights.SendAwayShareCap);
  const RemotePool *Best = nullptr;
  Duration BestScore = Duration::max();
  for (const RemotePool &Remote : Known->Pools) {
    Duration Score = remoteScore(Remote, Case, Known->OwnHosts);
    if (Score >= BestScore)
      continue;
    Best = &Remote;
    BestScore = Score;
  }
  if (!Best || !pays(State, Case, BestScore) || BestScore > Case.Remaining)
    return std::nullopt;
  if (!takeBytes(Best->Region, static_cast<double>(Case.Query->WireBytes),
                 Known->OwnHosts))
    return std::nullopt;
  State.ShareTokens = std::max(0., State.ShareTokens - 1);
  Sent_[Best->Region].Count += 1;
  HostId Host = Best->Hosts[Runtime_.Random() % Best->Hosts.size()];
  return SendAway{Best->Region, Host, BestScore};
}

bool SendAwayPolicy::pays(RouteState &State, const SendAwayCase &Case,
                          Duration Remote) const {
  // Without an endpoint here the other region is the only one to answer.
  if (!Case.LocalScore)
    return true;
  double Local = static_cast<double>(Case.LocalScore->count());
  State.LocalScoreMicros += NewestWeight * (Local - State.LocalScoreMicros);
  double Margin = Case.Route->Weights.SendAwayMargin;
  double StayOn = 1 + (Margin - 1) / 2;
  double Bar = static_cast<double>(Remote.count());
  bool Over = State.LocalScoreMicros > (State.On ? StayOn : Margin) * Bar;
  TimePoint Now = Runtime_.Now();
  if (!Over)
    State.OverSince = std::nullopt;
  else if (!State.OverSince)
    State.OverSince = Now;
  State.On = Over && Now - *State.OverSince >= HoldTime;
  return State.On && Local > StayOn * Bar && State.ShareTokens >= 1;
}

Duration SendAwayPolicy::remoteScore(const RemotePool &Remote,
                                     const SendAwayCase &Case,
                                     double OwnHosts) {
  if (heldOff(Remote.Region))
    return Duration::max();
  double Guests = recentlySent(Remote.Region) * OwnHosts;
  if (Remote.Busy + Guests >= MaxRemoteLoad * Remote.Slots)
    return Duration::max();
  double Rate = Settings_.LinkBytesPerSecond;
  double Transfer =
      Rate <= 0 ? 0 : static_cast<double>(Case.Query->WireBytes) / Rate;
  return Remote.Wait + 2 * Settings_.RegionHop + fromSeconds(Transfer) +
         Settings_.PrefillPerToken * Case.Query->PromptTokens +
         fromSeconds(Case.Route->Weights.CostWeight * Case.Pool->SlotCost);
}

void SendAwayPolicy::failed(const RegionId &Region) {
  std::lock_guard Lock(Mutex_);
  FailedAt_[Region] = Runtime_.Now();
}

bool SendAwayPolicy::heldOff(const RegionId &Region) const {
  auto It = FailedAt_.find(Region);
  return It != FailedAt_.end() && Runtime_.Now() - It->second < HoldOff;
}

double SendAwayPolicy::recentlySent(const RegionId &Region) {
  SentState &S = Sent_[Region];
  TimePoint Now = Runtime_.Now();
  S.Count *= std::exp(-seconds(Now - S.DecayedAt) / SentDecaySeconds);
  S.DecayedAt = Now;
  return S.Count;
}

void SendAwayPolicy::refill(LinkState &Link, double OwnHosts) const {
  TimePoint Now = Runtime_.Now();
  double Rate = Settings_.LinkBytesPerSecond / OwnHosts;
  double Burst = Rate * LinkBurstSeconds;
  if (!Link.Started)
    Link.Bytes = Burst;
  else
    Link.Bytes =
        std::min(Burst, Link.Bytes + Rate * seconds(Now - Link.RefilledAt));
  Link.Started = true;
  Link.RefilledAt = Now;
}

bool SendAwayPolicy::takeBytes(const RegionId &Region, double Bytes,
                               double OwnHosts) {
  LinkState &Link = Links_[Region];
  refill(Link, OwnHosts);
  // A request may borrow, so that one larger than the burst passes too.
  if (Link.Bytes <= 0)
    return false;
  Link.Bytes -= Bytes;
  return true;
}

void SendAwayPolicy::sent(const RegionId &Region, std::uint64_t Bytes) {
  std::lock_guard Lock(Mutex_);
  LinkState &Link = Links_[Region];
  if (!Link.Started)
    refill(Link, 1);
  Link.Bytes -= static_cast<double>(Bytes);
}

std::shared_ptr<const SendAwayPolicy::Remotes>
SendAwayPolicy::remotesOf(const PoolName &Pool) {
  TimePoint Now = Runtime_.Now();
  {
    std::lock_guard Lock(Mutex_);
    auto It = Remotes_.find(Pool);
    if (It != Remotes_.end() && Now - It->second->MadeAt < Settings_.ViewAge)
      return It->second;
  }
  auto Fresh = std::make_shared<Remotes>();
  Fresh->MadeAt = Now;
  std::map<RegionId, RemotePool> Regions;
  const HostIdentity &Self = Board_.self();
  Board_.peers().forEach([&](const HostId &Id, const PeerRecord &Peer) {
    if (Id == Self.Id || Peer.State != PeerState::Alive)
      return;
    if (Peer.Region == Self.Region)
      Fresh->OwnHosts += 1;
    else if (takesGuests(Peer, Pool, Now))
      addPeer(Regions, Peer, Peer.Pools.at(Pool));
  });
  for (auto &[Region, Remote] : Regions)
    Fresh->Pools.push_back(std::move(Remote));
  std::lock_guard Lock(Mutex_);
  return Remotes_[Pool] = Fresh;
}

} // namespace celerybeam::detail
