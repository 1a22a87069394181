#include "admission/internal/limitkeeper.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "framework/stablehash.h"

namespace celerybeam::detail {

namespace {

constexpr char KeySeparator = '\n';
/// Seconds of its rate that a limit saves up while it is idle.
constexpr double MaxCredit = 1;
/// Rounding slack of sums of shares.
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
  std::size_t Cut = Text.find(KeySeparator);
  if (Cut == std::string::npos)
    return std::nullopt;
  return LimitKey{RouteName(Text.substr(0, Cut)),
                  CustomerId(Text.substr(Cut + 1))};
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

LimitKeeper::LimitKeeper(Blackboard &Board, Runtime R)
    : Board_(Board), Runtime_(std::move(R)) {
  // Another host may have kept any limit until this one started.
  TimePoint Now = Runtime_.Now();
  History_ = {{Now, aliveHosts()}, {Now - ShareLifetime, {}}};
}

HostId LimitKeeper::firstRanked(const std::vector<HostId> &Hosts,
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

std::vector<HostId> LimitKeeper::aliveHosts() const {
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

HostId LimitKeeper::keeperOf(const std::string &Limit) const {
  std::lock_guard Lock(Mutex_);
  return firstRanked(History_.front().Hosts, Limit);
}

bool LimitKeeper::wasOtherKeeper(const std::string &Limit,
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

void LimitKeeper::expire(Record &R, TimePoint Now) {
  std::erase_if(R.Holders,
                [&](const auto &H) { return H.second.ExpiresAt <= Now; });
}

void LimitKeeper::accrue(Record &R, TimePoint Now) {
  double Elapsed =
      static_cast<double>((Now - R.CreditAt).count()) / MicrosPerSecond;
  double Free = std::max(0., 1 - heldByOthers(R, HostId()));
  R.Credit = std::min(MaxCredit, R.Credit + Elapsed * Free);
  R.CreditAt = Now;
}

// A late or repeated question tells a smaller share than its host may have
// been granted since.
bool LimitKeeper::isOutdated(const Record &R, const ShareQuestion &Question) {
  auto It = R.Holders.find(Question.From);
  return It != R.Holders.end() && Question.Serial <= It->second.Serial;
}

double LimitKeeper::heldByOthers(const Record &R, const HostId &Host) {
  double Sum = 0;
  for (const auto &[Id, H] : R.Holders)
    if (Id != Host)
      Sum += H.Amount;
  return Sum;
}

double LimitKeeper::fairAmount(const Record &R, const ShareQuestion &Question,
                               double Quantum) {
  double Wanted = Question.Wanted;
  double Total = Wanted;
  for (const auto &[Id, H] : R.Holders)
    if (Id != Question.From)
      Total += H.Wanted;
  if (Total <= 1 + Epsilon)
    return Wanted;
  return std::max(Quantum, floorTo(Wanted / Total, Quantum));
}

std::optional<ShareGrant> LimitKeeper::grant(const ShareQuestion &Question) {
  std::optional<LimitKey> Key = LimitKey::parse(Question.Limit);
  if (!Key)
    return std::nullopt;
  double Quantum = limitValues(*Board_.tables(), *Key).quantum();
  TimePoint Now = Runtime_.Now();
  std::lock_guard Lock(Mutex_);
  if (firstRanked(History_.front().Hosts, Question.Limit) != Board_.self().Id)
    return std::nullopt;
  bool TakesOver = wasOtherKeeper(Question.Limit, Now);
  if (TakesOver && Question.Held <= 0)
    return std::nullopt;
  Record &R = Records_[Question.Limit];
  accrue(R, Now);
  expire(R, Now);
  if (isOutdated(R, Question))
    return std::nullopt;
  // Shares of an earlier keeper may be in use; until they have expired they
  // are only renewed.
  if (TakesOver)
    R.Credit = 0;
  double Wanted = TakesOver ? Question.Held : fairAmount(R, Question, Quantum);
  return grantUpTo(R, Question, Wanted, Quantum, Now);
}

ShareGrant LimitKeeper::grantUpTo(Record &R, const ShareQuestion &Question,
                                  double Wanted, double Quantum,
                                  TimePoint Now) {
  double Free = std::max(0., 1 - heldByOthers(R, Question.From));
  ShareGrant Grant;
  Grant.Amount = Wanted <= Free ? Wanted : floorTo(Free, Quantum);
  double Newly = Grant.Amount - Question.Held;
  double Unheld = Free - Question.Held;
  if (Newly > Epsilon && Unheld > Epsilon) {
    Grant.Credit = R.Credit * std::min(1., Newly / Unheld);
    R.Credit -= Grant.Credit;
  }
  // The holder may still use the old share if this grant is lost.
  Holding &Mine = R.Holders[Question.From];
  Mine.Amount = std::max(Grant.Amount, Question.Held);
  Mine.Wanted = Question.Wanted;
  Mine.ExpiresAt = Now + ShareLifetime;
  Mine.Serial = Question.Serial;
  return Grant;
}

void LimitKeeper::tick() {
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

std::size_t LimitKeeper::limits() const {
  std::lock_guard Lock(Mutex_);
  return Records_.size();
}

} // namespace celerybeam::detail
