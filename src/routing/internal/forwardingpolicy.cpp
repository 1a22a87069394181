#include "routing/internal/forwardingpolicy.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace celerybeam::detail {

namespace {

/// Weight of the newest decision in the average of local scores.
constexpr double NewestWeight = 0.1;
/// How long another region's score must be lower before requests are forwarded
/// there. A brief stall in this region is over sooner and moves no traffic.
constexpr Duration MinOverMarginTime = std::chrono::milliseconds(250);
/// Most requests that may be forwarded at once after a time without forwarding.
constexpr double MaxShareTokens = 4;
/// Burst that may be sent at once, in seconds of the link's rate.
constexpr double LinkBurstSeconds = 0.25;
/// Share of another region's slots that forwarded requests may fill. Nothing is
/// forwarded to the region while at least this share is taken by reported and
/// recently forwarded requests.
constexpr double MaxRemoteLoad = 0.85;
/// Age from which the reported load of another region's host is ignored. With
/// 25 availability zones, digests arrive every 7.5 s.
constexpr Duration LoadLifetime = std::chrono::seconds(20);
/// Time constant, in seconds, with which requests forwarded by this host appear
/// in the other region's reported load.
constexpr double SentDecaySeconds = 1;
constexpr double MicrosPerSecond = 1e6;

double seconds(Duration D) {
  return static_cast<double>(D.count()) / MicrosPerSecond;
}

Duration fromSeconds(double Seconds) {
  return Duration(static_cast<Duration::rep>(Seconds * MicrosPerSecond));
}

// A region whose load is no longer reported may be partitioned.
bool acceptsForwarded(const PeerRecord &Peer, const PoolName &Pool,
                      TimePoint Now) {
  return Peer.State == PeerState::Alive && Peer.Pools.contains(Pool) &&
         Now - Peer.LastHeard <= LoadLifetime;
}

void addPeer(std::map<RegionId, RemotePool> &Regions, const PeerRecord &Peer,
             const PoolLoad &Load) {
  RemotePool &Remote = Regions[Peer.Region];
  Remote.Region = Peer.Region;
  // Each host reports the load of its whole region; the highest one is used.
  Remote.Slots = std::max<double>(Remote.Slots, Load.Slots);
  Remote.Busy = std::max<double>(Remote.Busy, Load.Busy);
  Remote.Wait = std::max(Remote.Wait, Load.Wait);
  Remote.Hosts.push_back(Peer.Id);
}

} // namespace

ForwardingPolicy::ForwardingPolicy(Blackboard &Board, Runtime R,
                                   const RouterSettings &Settings)
    : Board_(Board), Runtime_(std::move(R)), Settings_(Settings) {}

std::optional<ForwardToRegion>
ForwardingPolicy::choose(const ForwardingInput &Input) {
  if (!Input.Query->MayLeaveRegion || !Input.Route->MayLeaveRegion)
    return std::nullopt;
  auto Snapshot = remotePools(Input.Pool->Name);
  std::lock_guard Lock(Mutex_);
  RouteState &State = Routes_[Input.Route->Name];
  State.ShareTokens = std::min(
      MaxShareTokens, State.ShareTokens + Input.Route->Weights.ForwardShareCap);
  const RemotePool *Best = nullptr;
  Duration BestScore = Duration::max();
  for (const RemotePool &Remote : Snapshot->Pools) {
    Duration Score = remoteScore(Remote, Input, Snapshot->LocalHosts);
    if (Score >= BestScore)
      continue;
    Best = &Remote;
    BestScore = Score;
  }
  if (!Best || !isWorthwhile(State, Input, BestScore) ||
      BestScore > Input.Remaining)
    return std::nullopt;
  if (!reserveBytes(Best->Region, static_cast<double>(Input.Query->WireBytes),
                    Snapshot->LocalHosts))
    return std::nullopt;
  State.ShareTokens = std::max(0., State.ShareTokens - 1);
  RecentlySent_[Best->Region].Count += 1;
  HostId Host = Best->Hosts[Runtime_.Random() % Best->Hosts.size()];
  return ForwardToRegion{Best->Region, Host, BestScore};
}

bool ForwardingPolicy::isWorthwhile(RouteState &State,
                                    const ForwardingInput &Input,
                                    Duration Remote) const {
  // Without a local endpoint only the other region can serve the request.
  if (!Input.LocalScore)
    return true;
  double Local = static_cast<double>(Input.LocalScore->count());
  State.LocalScoreMicros += NewestWeight * (Local - State.LocalScoreMicros);
  double Margin = Input.Route->Weights.ForwardMargin;
  double MarginWhileEnabled = 1 + (Margin - 1) / 2;
  double RemoteMicros = static_cast<double>(Remote.count());
  bool OverMargin =
      State.LocalScoreMicros >
      (State.Enabled ? MarginWhileEnabled : Margin) * RemoteMicros;
  TimePoint Now = Runtime_.Now();
  if (!OverMargin)
    State.OverSince = std::nullopt;
  else if (!State.OverSince)
    State.OverSince = Now;
  State.Enabled = OverMargin && Now - *State.OverSince >= MinOverMarginTime;
  return State.Enabled && Local > MarginWhileEnabled * RemoteMicros &&
         State.ShareTokens >= 1;
}

Duration ForwardingPolicy::remoteScore(const RemotePool &Remote,
                                       const ForwardingInput &Input,
                                       double LocalHosts) {
  if (isBackingOff(Remote.Region))
    return Duration::max();
  double UnreportedRequests = recentlySent(Remote.Region) * LocalHosts;
  if (Remote.Busy + UnreportedRequests >= MaxRemoteLoad * Remote.Slots)
    return Duration::max();
  double Rate = Settings_.LinkBytesPerSecond;
  double Transfer =
      Rate <= 0 ? 0 : static_cast<double>(Input.Query->WireBytes) / Rate;
  return Remote.Wait + 2 * Settings_.RegionHop + fromSeconds(Transfer) +
         Settings_.PrefillPerToken * Input.Query->PromptTokens +
         fromSeconds(Input.Route->Weights.CostWeight * Input.Pool->SlotCost);
}

void ForwardingPolicy::recordFailure(const RegionId &Region) {
  std::lock_guard Lock(Mutex_);
  FailedAt_[Region] = Runtime_.Now();
}

bool ForwardingPolicy::isBackingOff(const RegionId &Region) const {
  auto It = FailedAt_.find(Region);
  return It != FailedAt_.end() && Runtime_.Now() - It->second < BackOff;
}

double ForwardingPolicy::recentlySent(const RegionId &Region) {
  SentState &S = RecentlySent_[Region];
  TimePoint Now = Runtime_.Now();
  S.Count *= std::exp(-seconds(Now - S.DecayedAt) / SentDecaySeconds);
  S.DecayedAt = Now;
  return S.Count;
}

void ForwardingPolicy::refill(LinkState &Link, double LocalHosts) const {
  TimePoint Now = Runtime_.Now();
  double Rate = Settings_.LinkBytesPerSecond / LocalHosts;
  double Burst = Rate * LinkBurstSeconds;
  if (!Link.Started)
    Link.Bytes = Burst;
  else
    Link.Bytes =
        std::min(Burst, Link.Bytes + Rate * seconds(Now - Link.RefilledAt));
  Link.Started = true;
  Link.RefilledAt = Now;
}

bool ForwardingPolicy::reserveBytes(const RegionId &Region, double Bytes,
                                    double LocalHosts) {
  LinkState &Link = Links_[Region];
  refill(Link, LocalHosts);
  // The balance may become negative, so that a request larger than the burst is
  // sent too.
  if (Link.Bytes <= 0)
    return false;
  Link.Bytes -= Bytes;
  return true;
}

void ForwardingPolicy::recordBytes(const RegionId &Region,
                                   std::uint64_t Bytes) {
  std::lock_guard Lock(Mutex_);
  LinkState &Link = Links_[Region];
  if (!Link.Started)
    refill(Link, 1);
  Link.Bytes -= static_cast<double>(Bytes);
}

std::shared_ptr<const ForwardingPolicy::RemotePools>
ForwardingPolicy::remotePools(const PoolName &Pool) {
  TimePoint Now = Runtime_.Now();
  {
    std::lock_guard Lock(Mutex_);
    auto It = RemotePools_.find(Pool);
    if (It != RemotePools_.end() &&
        Now - It->second->MadeAt < Settings_.MaxViewAge)
      return It->second;
  }
  auto Renewed = std::make_shared<RemotePools>();
  Renewed->MadeAt = Now;
  std::map<RegionId, RemotePool> Regions;
  const HostIdentity &Self = Board_.self();
  Board_.peers().forEach([&](const HostId &Id, const PeerRecord &Peer) {
    if (Id == Self.Id || Peer.State != PeerState::Alive)
      return;
    if (Peer.Region == Self.Region)
      Renewed->LocalHosts += 1;
    else if (acceptsForwarded(Peer, Pool, Now))
      addPeer(Regions, Peer, Peer.Pools.at(Pool));
  });
  for (auto &[Region, Remote] : Regions)
    Renewed->Pools.push_back(std::move(Remote));
  std::lock_guard Lock(Mutex_);
  return RemotePools_[Pool] = Renewed;
}

} // namespace celerybeam::detail
