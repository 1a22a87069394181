#include "admission/internal/limitallocator.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "framework/stablehash.h"

namespace celerybeam::detail {

namespace {

constexpr char KeySeparator = '\n';
/// Most unused capacity that an idle limit accumulates, in seconds of its rate.
constexpr double MaxCredit = 1;
/// Tolerance for rounding errors in sums of shares.
constexpr double Epsilon = 1e-9;
constexpr double MicrosPerSecond = 1e6;

double floorTo(double Value, double Quantum) {
  return std::floor(Value / Quantum + Epsilon) * Quantum;
}

} // namespace

std::string LimitKey::str() const {
  return Route.str() + KeySeparator + Customer.str();
}

std::optional<LimitKey> LimitKey::parse(const std::string &Text) {
  std::size_t Separator = Text.find(KeySeparator);
  if (Separator == std::string::npos)
    return std::nullopt;
  return LimitKey{RouteName(Text.substr(0, Separator)),
                  CustomerId(Text.substr(Separator + 1))};
}

double LimitValues::quantum() const {
  double Quantum = 1e-3;
  if (Requests > 0)
    Quantum = std::max(Quantum, 1 / Requests);
  if (Concurrency > 0)
    Quantum = std::max(Quantum, 1. / Concurrency);
  return std::min(1., Quantum);
}

LimitValues limitValues(const Tables &T, const LimitKey &Key) {
  const RouteRow *Route = T.findRoute(Key.Route);
  if (!Route)
    return {};
  const RouteLimits &L = Route->Limits;
  if (Key.Customer.empty())
    return {L.RouteRequestsPerSecond, 0, L.RouteConcurrency};
  return {L.CustomerRequestsPerSecond, L.CustomerTokensPerSecond,
          L.CustomerConcurrency};
}

LimitAllocator::LimitAllocator(Blackboard &Board, Runtime R)
    : Board_(Board), Runtime_(std::move(R)) {
  // Until this host started, another host may have been the allocator of any
  // limit.
  TimePoint Now = Runtime_.Now();
  History_ = {{Now, aliveHosts()}, {Now - ShareLifetime, {}}};
}

HostId LimitAllocator::firstRanked(const std::vector<HostId> &Hosts,
                                   const std::string &Limit) {
  HostId Best;
  std::uint64_t BestRank = 0;
  std::uint64_t Seed = stableHash(Limit);
  for (const HostId &Host : Hosts) {
    std::uint64_t Rank = stableHash(Host.str(), Seed);
    if (!Best.empty() && Rank < BestRank)
      continue;
    Best = Host;
    BestRank = Rank;
  }
  return Best;
}

std::vector<HostId> LimitAllocator::aliveHosts() const {
  const HostIdentity &Self = Board_.self();
  std::vector<HostId> Hosts;
  if (!Board_.leaving())
    Hosts.push_back(Self.Id);
  Board_.peers().forEach([&](const HostId &Id, const PeerRecord &Peer) {
    bool Serves =
        Peer.State == PeerState::Alive || Peer.State == PeerState::Suspect;
    if (Id != Self.Id && Peer.Region == Self.Region && Serves)
      Hosts.push_back(Id);
  });
  if (Hosts.empty())
    Hosts.push_back(Self.Id);
  std::sort(Hosts.begin(), Hosts.end());
  return Hosts;
}

HostId LimitAllocator::allocatorOf(const std::string &Limit) const {
  std::lock_guard Lock(Mutex_);
  return firstRanked(History_.front().Hosts, Limit);
}

bool LimitAllocator::wasOtherAllocator(const std::string &Limit,
                                       TimePoint Now) const {
  TimePoint Until = Now;
  for (const Membership &M : History_) {
    if (Until + ShareLifetime <= Now)
      return false;
    if (firstRanked(M.Hosts, Limit) != Board_.self().Id)
      return true;
    Until = M.Since;
  }
  return false;
}

void LimitAllocator::expire(Record &R, TimePoint Now) {
  std::erase_if(R.Holders,
                [&](const auto &H) { return H.second.ExpiresAt <= Now; });
}

void LimitAllocator::accrue(Record &R, TimePoint Now) {
  double Elapsed =
      static_cast<double>((Now - R.CreditAt).count()) / MicrosPerSecond;
  double Free = std::max(0., 1 - heldByOthers(R, HostId()));
  R.Credit = std::min(MaxCredit, R.Credit + Elapsed * Free);
  R.CreditAt = Now;
}

// A late or repeated share request may report a smaller share than its host has
// been granted since.
bool LimitAllocator::isOutdated(const Record &R, const ShareRequest &Request) {
  auto It = R.Holders.find(Request.From);
  return It != R.Holders.end() && Request.Serial <= It->second.Serial;
}

double LimitAllocator::heldByOthers(const Record &R, const HostId &Host) {
  double Sum = 0;
  for (const auto &[Id, H] : R.Holders)
    if (Id != Host)
      Sum += H.Amount;
  return Sum;
}

double LimitAllocator::fairAmount(const Record &R, const ShareRequest &Request,
                                  double Quantum) {
  double Wanted = Request.Wanted;
  double Total = Wanted;
  for (const auto &[Id, H] : R.Holders)
    if (Id != Request.From)
      Total += H.Wanted;
  if (Total <= 1 + Epsilon)
    return Wanted;
  return std::max(Quantum, floorTo(Wanted / Total, Quantum));
}

std::optional<ShareGrant> LimitAllocator::grant(const ShareRequest &Request) {
  std::optional<LimitKey> Key = LimitKey::parse(Request.Limit);
  if (!Key)
    return std::nullopt;
  double Quantum = limitValues(*Board_.tables(), *Key).quantum();
  TimePoint Now = Runtime_.Now();
  std::lock_guard Lock(Mutex_);
  if (firstRanked(History_.front().Hosts, Request.Limit) != Board_.self().Id)
    return std::nullopt;
  bool TakingOver = wasOtherAllocator(Request.Limit, Now);
  if (TakingOver && Request.Held <= 0)
    return std::nullopt;
  Record &R = Records_[Request.Limit];
  accrue(R, Now);
  expire(R, Now);
  if (isOutdated(R, Request))
    return std::nullopt;
  // Shares granted by the previous allocator may be in use; until they have
  // expired they are only renewed.
  if (TakingOver)
    R.Credit = 0;
  double Wanted = TakingOver ? Request.Held : fairAmount(R, Request, Quantum);
  return grantUpTo(R, Request, Wanted, Quantum, Now);
}

ShareGrant LimitAllocator::grantUpTo(Record &R, const ShareRequest &Request,
                                     double Wanted, double Quantum,
                                     TimePoint Now) {
  double Free = std::max(0., 1 - heldByOthers(R, Request.From));
  ShareGrant Grant;
  Grant.Amount = Wanted <= Free ? Wanted : floorTo(Free, Quantum);
  double Increase = Grant.Amount - Request.Held;
  double UnallocatedShare = Free - Request.Held;
  if (Increase > Epsilon && UnallocatedShare > Epsilon) {
    Grant.Credit = R.Credit * std::min(1., Increase / UnallocatedShare);
    R.Credit -= Grant.Credit;
  }
  // If this grant is lost, the holder may still use its old share.
  Holding &Granted = R.Holders[Request.From];
  Granted.Amount = std::max(Grant.Amount, Request.Held);
  Granted.Wanted = Request.Wanted;
  Granted.ExpiresAt = Now + ShareLifetime;
  Granted.Serial = Request.Serial;
  return Grant;
}

void LimitAllocator::tick() {
  TimePoint Now = Runtime_.Now();
  std::vector<HostId> Hosts = aliveHosts();
  std::lock_guard Lock(Mutex_);
  if (History_.front().Hosts != Hosts)
    History_.insert(History_.begin(), Membership{Now, std::move(Hosts)});
  while (History_.size() > 1 &&
         History_[History_.size() - 2].Since + ShareLifetime < Now)
    History_.pop_back();
  for (auto &[Limit, R] : Records_) {
    accrue(R, Now);
    expire(R, Now);
  }
  std::erase_if(Records_, [](const auto &Entry) {
    return Entry.second.Holders.empty() && Entry.second.Credit >= MaxCredit;
  });
}

std::size_t LimitAllocator::limits() const {
  std::lock_guard Lock(Mutex_);
  return Records_.size();
}

} // namespace celerybeam::detail
