#include "admission/internal/limitshares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace celerybeam::detail {

namespace {

/// Part of the lifetime that a holder uses; the rest allows for clocks that run
/// at different rates.
constexpr Duration HolderLifetime = ShareLifetime * 9 / 10;
constexpr Duration RenewAfter = ShareLifetime / 2;
/// Time without a reply after which a share request counts as lost.
constexpr Duration ShareRequestTimeout = std::chrono::milliseconds(100);
/// Minimum time between a grant smaller than requested and the next share
/// request.
constexpr Duration MinShareRequestInterval = std::chrono::milliseconds(50);
/// Time constant of the observed rates, in seconds.
constexpr double RateSeconds = 1;
/// Factor by which the requested share exceeds the observed rate.
constexpr double Headroom = 1.3;
/// Most unused capacity that a holder accumulates, in seconds of its share's
/// rate.
constexpr double BurstSeconds = 1;
constexpr double Epsilon = 1e-9;
constexpr double MicrosPerSecond = 1e6;

double seconds(Duration D) {
  return static_cast<double>(D.count()) / MicrosPerSecond;
}

Duration fromSeconds(double Seconds) {
  return Duration(static_cast<Duration::rep>(Seconds * MicrosPerSecond));
}

} // namespace

LimitShares::LimitShares(Blackboard &Board, Runtime R, PeerHooks Peers)
    : Board_(Board), Runtime_(R), Peers_(std::move(Peers)),
      Allocator_(Board, std::move(R)) {}

LimitResult LimitShares::take(const LimitUse &Use, bool MayRequestShare,
                              Duration MeanServiceTime) {
  TimePoint Now = Runtime_.Now();
  std::string Limit = Use.Key.str();
  bool SendsRequest = false;
  auto TryTake = [&](Share &S, bool First) {
    S.Values = Use.Values;
    refill(S, Now);
    if (First)
      observe(S, Use.Tokens, Now);
    if (passes(S)) {
      ++S.InUse;
      S.RequestBudget -= 1;
      S.TokenBudget -= Use.Tokens;
      return LimitResult{LimitDecision::Taken};
    }
    SendsRequest = MayRequestShare && !S.RequestedAt && mayRequestShare(S, Now);
    if (MayRequestShare && (S.RequestedAt || SendsRequest)) {
      S.Waiting += First ? 1 : 0;
      return LimitResult{LimitDecision::Wait};
    }
    return LimitResult{LimitDecision::Refused, retryAfter(S, MeanServiceTime)};
  };
  LimitResult Outcome = Shares_.upsert(
      Limit, [&](Share &S) { return TryTake(S, MayRequestShare); });
  if (!SendsRequest)
    return Outcome;
  requestShare(Limit);
  // When this host is the allocator itself, the grant has been applied.
  return Shares_.upsert(Limit, [&](Share &S) {
    MayRequestShare = S.RequestedAt.has_value();
    return TryTake(S, false);
  });
}

void LimitShares::release(const LimitUse &Use, std::uint32_t TokensUsed) {
  Shares_.update(Use.Key.str(), [&](Share &S) {
    if (S.InUse > 0)
      --S.InUse;
    S.TokenBudget += Use.Tokens;
    S.TokenBudget -= TokensUsed;
  });
}

void LimitShares::refill(Share &S, TimePoint Now) {
  if (Now >= S.ValidUntil) {
    S.Amount = 0;
    S.RequestBudget = 0;
    S.TokenBudget = std::min(S.TokenBudget, 0.);
  }
  double Elapsed = seconds(Now - S.RefilledAt);
  S.RefilledAt = Now;
  double Requests = S.Amount * S.Values.Requests;
  double Tokens = S.Amount * S.Values.Tokens;
  S.RequestBudget =
      std::min(Requests * BurstSeconds, S.RequestBudget + Requests * Elapsed);
  S.TokenBudget =
      std::min(Tokens * BurstSeconds, S.TokenBudget + Tokens * Elapsed);
}

void LimitShares::observe(Share &S, std::uint32_t Tokens, TimePoint Now) {
  double Decay = std::exp(-seconds(Now - S.LastUsed) / RateSeconds);
  S.RequestRate = S.RequestRate * Decay + 1 / RateSeconds;
  S.TokenRate = S.TokenRate * Decay + Tokens / RateSeconds;
  S.LastUsed = Now;
}

bool LimitShares::passes(const Share &S) {
  const LimitValues &V = S.Values;
  if (V.Concurrency > 0 &&
      S.InUse + 1 > std::floor(S.Amount * V.Concurrency + Epsilon))
    return false;
  if (V.Requests > 0 && S.RequestBudget < 1 - Epsilon)
    return false;
  return V.Tokens <= 0 || S.TokenBudget > 0;
}

double LimitShares::wanted(const Share &S) {
  const LimitValues &V = S.Values;
  double Wanted = V.quantum();
  if (V.Concurrency > 0)
    Wanted =
        std::max(Wanted, Headroom * (S.InUse + S.Waiting + 1) / V.Concurrency);
  if (V.Requests > 0)
    Wanted = std::max(Wanted, Headroom * S.RequestRate / V.Requests);
  if (V.Tokens > 0)
    Wanted = std::max(Wanted, Headroom * S.TokenRate / V.Tokens);
  return std::min(1., std::ceil(Wanted / V.quantum() - Epsilon) * V.quantum());
}

double LimitShares::heldOrInUse(const Share &S, TimePoint Now) {
  double Held = Now < S.ValidUntil ? S.Amount : 0;
  if (S.Values.Concurrency > 0)
    Held = std::max(Held, S.InUse / static_cast<double>(S.Values.Concurrency));
  return Held;
}

Duration LimitShares::retryAfter(const Share &S, Duration MeanServiceTime) {
  const LimitValues &V = S.Values;
  double Amount = std::max(S.Amount, V.quantum());
  double Seconds = 0;
  if (V.Requests > 0 && S.RequestBudget < 1)
    Seconds = (1 - S.RequestBudget) / (Amount * V.Requests);
  if (V.Tokens > 0 && S.TokenBudget <= 0)
    Seconds = std::max(Seconds, (1 - S.TokenBudget) / (Amount * V.Tokens));
  if (V.Concurrency > 0 && S.InUse + 1 > S.Amount * V.Concurrency + Epsilon)
    Seconds =
        std::max(Seconds, seconds(MeanServiceTime) / std::max(1U, S.InUse));
  return fromSeconds(Seconds);
}

bool LimitShares::mayRequestShare(const Share &S, TimePoint Now) {
  return S.Amount < 1 - Epsilon &&
         (!S.Contended || Now - S.LastGrant >= MinShareRequestInterval);
}

void LimitShares::requestShare(const std::string &Limit) {
  TimePoint Now = Runtime_.Now();
  HostId Allocator = Allocator_.allocatorOf(Limit);
  ShareRequest Request{Board_.self().Id, Limit};
  Request.Serial = ++LastSerial_;
  bool Known = Shares_.update(Limit, [&](Share &S) {
    Request.Wanted = wanted(S);
    Request.Held = heldOrInUse(S, Now);
    S.RequestedAmount = Request.Wanted;
    S.RequestedAt = Now;
    S.Serial = Request.Serial;
  });
  if (!Known)
    return;
  if (Allocator == Board_.self().Id) {
    if (std::optional<ShareGrant> Grant = Allocator_.grant(Request))
      apply(Limit, Request.Serial, *Grant);
    return;
  }
  messages::Envelope Message;
  messages::ShareTransfer *Transfer = Message.mutable_share_transfer();
  Transfer->set_limit(Limit);
  Transfer->set_amount(Request.Wanted);
  Transfer->set_held(Request.Held);
  Transfer->set_serial(Request.Serial);
  Peers_.Send(Allocator, std::move(Message));
}

bool LimitShares::apply(const std::string &Limit, std::uint64_t Serial,
                        const ShareGrant &Grant) {
  bool Applied = false;
  TimePoint Now = Runtime_.Now();
  Shares_.update(Limit, [&](Share &S) {
    // A late or repeated grant belongs to a share request that has been granted
    // or sent again since.
    if (!S.RequestedAt || S.Serial != Serial)
      return;
    refill(S, Now);
    S.Amount = Grant.Amount;
    S.Contended = Grant.Amount < S.RequestedAmount - Epsilon;
    S.Waiting = 0;
    S.ValidUntil = *S.RequestedAt + HolderLifetime;
    S.RequestBudget += Grant.Credit * S.Values.Requests;
    S.TokenBudget += Grant.Credit * S.Values.Tokens;
    S.LastGrant = Now;
    S.RequestedAt = std::nullopt;
    Applied = true;
  });
  return Applied;
}

std::optional<std::string>
LimitShares::handle(const HostId &From,
                    const messages::ShareTransfer &Transfer) {
  if (!Transfer.acknowledged()) {
    reply(From, Transfer);
    return std::nullopt;
  }
  ShareGrant Grant{Transfer.amount(), Transfer.credit()};
  if (!apply(Transfer.limit(), Transfer.serial(), Grant))
    return std::nullopt;
  return Transfer.limit();
}

void LimitShares::reply(const HostId &From,
                        const messages::ShareTransfer &Request) {
  std::optional<ShareGrant> Grant =
      Allocator_.grant({From, Request.limit(), Request.amount(), Request.held(),
                        Request.serial()});
  if (!Grant)
    return;
  messages::Envelope Message;
  messages::ShareTransfer *Transfer = Message.mutable_share_transfer();
  Transfer->set_limit(Request.limit());
  Transfer->set_serial(Request.serial());
  Transfer->set_acknowledged(true);
  Transfer->set_amount(Grant->Amount);
  Transfer->set_credit(Grant->Credit);
  Peers_.Send(From, std::move(Message));
}

void LimitShares::tick() {
  Allocator_.tick();
  TimePoint Now = Runtime_.Now();
  std::vector<std::string> Due;
  Shares_.forEach([&](const std::string &Limit, const Share &S) {
    bool InUse = S.InUse > 0 || Now - S.LastUsed < ShareLifetime;
    bool TimedOut =
        S.RequestedAt && Now - *S.RequestedAt >= ShareRequestTimeout;
    bool NeedsRenewal =
        !S.RequestedAt && Now + HolderLifetime >= S.ValidUntil + RenewAfter;
    if (InUse && (TimedOut || NeedsRenewal))
      Due.push_back(Limit);
  });
  for (const std::string &Limit : Due)
    requestShare(Limit);
  Shares_.eraseIf([&](const std::string &, const Share &S) {
    return S.InUse == 0 && Now - S.LastUsed > 2 * ShareLifetime &&
           Now >= S.ValidUntil;
  });
}

double LimitShares::held(const LimitKey &Key) const {
  std::optional<Share> S = Shares_.find(Key.str());
  return S && Runtime_.Now() < S->ValidUntil ? S->Amount : 0;
}

bool LimitShares::hasOpenRequest(const LimitKey &Key) const {
  std::optional<Share> S = Shares_.find(Key.str());
  return S && S->RequestedAt;
}

} // namespace celerybeam::detail
