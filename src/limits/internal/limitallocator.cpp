#include "limits/limitallocator.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "framework/stablehash.h"

namespace celerybeam {

namespace {

/// Shares in use are renewed this much more often than a host that has become
/// the allocator waits for them.
constexpr double RenewalMargin = 1.5;
/// Tolerance for rounding errors in sums of shares.
constexpr double Epsilon = 1e-9;
constexpr double MicrosPerSecond = 1e6;

double floorTo(double Value, double Quantum) {
  return std::floor(Value / Quantum + Epsilon) * Quantum;
}

} // namespace

double LimitValues::quantum() const {
  double Quantum = Granularity;
  if (Requests > 0)
    Quantum = std::max(Quantum, 1 / Requests);
  if (Concurrency > 0)
    Quantum = std::max(Quantum, 1. / Concurrency);
  return std::min(1., Quantum);
}

LimitAllocator::LimitAllocator(Runtime R, LimitHooks Hooks,
                               LimitSettings Settings)
    : Runtime_(std::move(R)), Hooks_(std::move(Hooks)), Settings_(Settings) {
  historyOfGroup(Hooks_.OwnGroup);
}

/// The candidates of a group so far. Before they were known here, another host
/// may have been the allocator of any limit.
LimitAllocator::History &
LimitAllocator::historyOfGroup(const std::string &Group) const {
  auto [It, New] = Histories_.try_emplace(Group);
  TimePoint Now = Runtime_.Now();
  if (New)
    It->second = {{Now, Hooks_.Candidates(Group)},
                  {Now - Settings_.ShareLifetime, {}}};
  return It->second;
}

LimitAllocator::History &
LimitAllocator::historyOf(const LimitName &Limit) const {
  return historyOfGroup(Hooks_.GroupOf(Limit));
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

HostId LimitAllocator::allocatorOf(const LimitName &Limit) const {
  std::lock_guard Lock(Mutex_);
  return firstRanked(historyOf(Limit).front().Hosts, Limit);
}

bool LimitAllocator::wasOtherAllocator(const LimitName &Limit,
                                       TimePoint Now) const {
  Duration Unknown = Settings_.ShareLifetime;
  // The holders have renewed their shares by then.
  if (Hooks_.AllHostsInContact && Hooks_.AllHostsInContact())
    Unknown = std::min(Unknown,
                       Duration(static_cast<Duration::rep>(
                           static_cast<double>(Settings_.RenewAfter.count()) *
                           RenewalMargin)));
  TimePoint Until = Now;
  for (const Membership &M : historyOf(Limit)) {
    if (Until + Unknown <= Now)
      return false;
    if (firstRanked(M.Hosts, Limit) != Hooks_.Self)
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
  R.Credit = std::min(R.MaxCredit, R.Credit + Elapsed * Free);
  R.CreditAt = Now;
}

// A late or repeated share request may report a smaller share than its host has
// been granted since.
bool LimitAllocator::isOutdated(const Record &R, const ShareRequest &Request) {
  auto It = R.Holders.find(Request.From);
  if (It == R.Holders.end() || Request.HolderStart > It->second.HolderStart)
    return false;
  return Request.HolderStart < It->second.HolderStart ||
         Request.Serial <= It->second.Serial;
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
  LimitValues Values = Hooks_.ValuesOf(Request.Limit);
  double Quantum =
      Settings_.ServesSingleRequests ? Values.Granularity : Values.quantum();
  TimePoint Now = Runtime_.Now();
  std::lock_guard Lock(Mutex_);
  if (firstRanked(historyOf(Request.Limit).front().Hosts, Request.Limit) !=
      Hooks_.Self)
    return std::nullopt;
  bool TakingOver = wasOtherAllocator(Request.Limit, Now);
  if (TakingOver && Request.Held <= 0)
    return std::nullopt;
  Record &R = Records_[Request.Limit];
  R.MaxCredit = Values.BurstSeconds;
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
                                     TimePoint Now) const {
  double Free = std::max(0., 1 - heldByOthers(R, Request.From));
  ShareGrant Grant;
  Grant.Amount = Wanted <= Free ? Wanted : floorTo(Free, Quantum);
  double Increase = Grant.Amount - Request.Held;
  double UnallocatedShare = Free - Request.Held;
  if (Increase > Epsilon && UnallocatedShare > Epsilon) {
    Grant.Credit = R.Credit * std::min(1., Increase / UnallocatedShare);
    R.Credit -= Grant.Credit;
  }
  if (Grant.Credit < Request.Needed &&
      R.Credit >= Request.Needed - Grant.Credit) {
    R.Credit -= Request.Needed - Grant.Credit;
    Grant.Credit = Request.Needed;
  }
  // If this grant is lost, the holder may still use its old share.
  Holding &Granted = R.Holders[Request.From];
  Granted.Amount = std::max(Grant.Amount, Request.Held);
  Granted.Wanted = Request.Wanted;
  Granted.ExpiresAt = Now + Settings_.ShareLifetime;
  Granted.Serial = Request.Serial;
  Granted.HolderStart = Request.HolderStart;
  return Grant;
}

void LimitAllocator::tick() {
  TimePoint Now = Runtime_.Now();
  std::lock_guard Lock(Mutex_);
  for (auto &[Group, Past] : Histories_) {
    std::vector<HostId> Hosts = Hooks_.Candidates(Group);
    if (Past.front().Hosts != Hosts)
      Past.insert(Past.begin(), Membership{Now, std::move(Hosts)});
    while (Past.size() > 1 &&
           Past[Past.size() - 2].Since + Settings_.ShareLifetime < Now)
      Past.pop_back();
  }
  for (auto &[Limit, R] : Records_) {
    accrue(R, Now);
    expire(R, Now);
  }
  std::erase_if(Records_, [](const auto &Entry) {
    return Entry.second.Holders.empty() &&
           Entry.second.Credit >= Entry.second.MaxCredit;
  });
}

std::size_t LimitAllocator::limits() const {
  std::lock_guard Lock(Mutex_);
  return Records_.size();
}

} // namespace celerybeam
