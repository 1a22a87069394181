#include "limits/limitshares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace celerybeam {

namespace {

/// Part of the lifetime that a holder uses, in percent; the rest allows for
/// clocks that run at different rates.
constexpr int HolderPercent = 90;
/// Part of the largest burst that a larger request has to find.
constexpr double LargeRequestShare = 0.9;
/// A holder whose last request is not older is likely to get others.
constexpr Duration RecentUse = std::chrono::seconds(2);
/// Hosts with fewer requests per second are served without a share: it would be
/// unused most of the time.
constexpr double MinShareRate = 0.5;
/// A holder renews its share at once when it wants less than the share divided
/// by this, so that others get the rest.
constexpr double ReleaseFactor = 4;
/// Time constant of the observed rates, in seconds.
constexpr double RateSeconds = 1;
constexpr double Epsilon = 1e-9;
constexpr double MicrosPerSecond = 1e6;

double seconds(Duration D) {
  return static_cast<double>(D.count()) / MicrosPerSecond;
}

Duration fromSeconds(double Seconds) {
  return Duration(static_cast<Duration::rep>(Seconds * MicrosPerSecond));
}

} // namespace

LimitShares::LimitShares(Runtime R, LimitHooks Hooks, LimitSettings Settings)
    : Runtime_(R), Hooks_(Hooks), Settings_(Settings),
      Allocator_(std::move(R), std::move(Hooks), Settings) {}

Duration LimitShares::holderLifetime() const {
  return Settings_.ShareLifetime * HolderPercent / 100;
}

LimitResult LimitShares::take(const LimitUse &Use, bool MayRequestShare,
                              Duration MeanServiceTime) {
  TimePoint Now = Runtime_.Now();
  const LimitName &Limit = Use.Limit;
  bool SendsRequest = false;
  auto TryTake = [&](Share &S, bool First) {
    S.Values = Use.Values;
    refill(S, Now);
    if (First)
      observe(S, Use.Tokens, Now);
    if (passes(S, Use.Tokens)) {
      ++S.InUse;
      S.RequestBudget -= 1;
      S.TokenBudget -= Use.Tokens;
      return LimitResult{LimitDecision::Taken};
    }
    // Asked for again, it would be granted to nobody.
    if (First)
      S.MissingTokens =
          std::max(S.MissingTokens, neededTokens(S.Values, Use.Tokens));
    S.LargestNeed = std::max(S.LargestNeed, S.MissingTokens);
    SendsRequest = MayRequestShare && !S.RequestedAt && mayRequestShare(S, Now);
    if (MayRequestShare && (S.RequestedAt || SendsRequest)) {
      S.Waiting += First ? 1 : 0;
      return LimitResult{LimitDecision::Wait};
    }
    return LimitResult{LimitDecision::Refused,
                       retryAfter(S, Use.Tokens, MeanServiceTime)};
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
  Shares_.update(Use.Limit, [&](Share &S) {
    if (S.InUse > 0)
      --S.InUse;
    S.TokenBudget += Use.Tokens;
    S.TokenBudget -= TokensUsed;
  });
}

void LimitShares::refund(const LimitUse &Use) {
  Shares_.update(Use.Limit, [&](Share &S) {
    if (S.InUse > 0)
      --S.InUse;
    S.TokenBudget += Use.Tokens;
    S.RequestBudget += 1;
  });
}

void LimitShares::refill(Share &S, TimePoint Now) const {
  if (Now >= S.ValidUntil) {
    S.Amount = 0;
    S.RequestBudget = 0;
    S.TokenBudget = std::min(S.TokenBudget, 0.);
  }
  double Elapsed = seconds(Now - S.RefilledAt);
  S.RefilledAt = Now;
  double Requests = S.Amount * S.Values.Requests;
  double Tokens = S.Amount * S.Values.Tokens;
  double MostRequests = Requests * S.Values.BurstSeconds;
  double MostTokens = Tokens * S.Values.BurstSeconds;
  // A small share has room for a whole request, too.
  if (Settings_.ServesSingleRequests && Now - S.LastUsed < RecentUse) {
    MostRequests = std::max(MostRequests, 1.);
    MostTokens = std::max(MostTokens, S.LargestNeed);
  } else {
    S.LargestNeed = 0;
  }
  S.RequestBudget =
      std::min(MostRequests, S.RequestBudget + Requests * Elapsed);
  S.TokenBudget = std::min(MostTokens, S.TokenBudget + Tokens * Elapsed);
}

void LimitShares::observe(Share &S, std::uint32_t Tokens, TimePoint Now) {
  double Decay = std::exp(-seconds(Now - S.LastUsed) / RateSeconds);
  S.EarlierRequestRate = S.RequestRate * Decay;
  S.EarlierTokenRate = S.TokenRate * Decay;
  S.RequestRate = S.EarlierRequestRate + 1 / RateSeconds;
  S.TokenRate = S.EarlierTokenRate + Tokens / RateSeconds;
  S.LastUsed = Now;
}

double LimitShares::neededTokens(const LimitValues &Values,
                                 std::uint32_t Tokens) const {
  if (!Settings_.ServesSingleRequests)
    return 0;
  return std::min<double>(Tokens, LargeRequestShare * Values.Tokens *
                                      Values.BurstSeconds);
}

bool LimitShares::passes(const Share &S, std::uint32_t Tokens) const {
  const LimitValues &V = S.Values;
  if (V.Concurrency > 0 &&
      S.InUse + 1 > std::floor(S.Amount * V.Concurrency + Epsilon))
    return false;
  if (V.Requests > 0 && S.RequestBudget < 1 - Epsilon)
    return false;
  double Needed = neededTokens(V, Tokens);
  return V.Tokens <= 0 ||
         (Needed > 0 ? S.TokenBudget >= Needed - Epsilon : S.TokenBudget > 0);
}

double LimitShares::wanted(const Share &S, TimePoint Now) const {
  // The rates are those of the last use.
  double Headroom =
      Settings_.Headroom * std::exp(-seconds(Now - S.LastUsed) / RateSeconds);
  const LimitValues &V = S.Values;
  // A single request needs no share.
  bool Single = Settings_.ServesSingleRequests;
  double RequestRate = Single ? S.EarlierRequestRate : S.RequestRate;
  double TokenRate = Single ? S.EarlierTokenRate : S.TokenRate;
  double Least = Single ? V.Granularity : V.quantum();
  if (Single && S.EarlierRequestRate < MinShareRate)
    return Least;
  double Wanted = Least;
  if (V.Concurrency > 0)
    Wanted = std::max(Wanted, Settings_.Headroom * (S.InUse + S.Waiting + 1) /
                                  V.Concurrency);
  if (V.Requests > 0)
    Wanted = std::max(Wanted, Headroom * RequestRate / V.Requests);
  if (V.Tokens > 0)
    Wanted = std::max(Wanted, Headroom * TokenRate / V.Tokens);
  return std::min(1., std::ceil(Wanted / Least - Epsilon) * Least);
}

double LimitShares::neededSeconds(const Share &S) const {
  const LimitValues &V = S.Values;
  if (!Settings_.ServesSingleRequests)
    return 0;
  double Seconds = 0;
  if (V.Tokens > 0)
    Seconds = std::max(0., S.MissingTokens - S.TokenBudget) / V.Tokens;
  if (V.Requests > 0)
    Seconds = std::max(Seconds, (1 - S.RequestBudget) / V.Requests);
  return std::min(Seconds, V.BurstSeconds);
}

double LimitShares::heldOrInUse(const Share &S, TimePoint Now) {
  double Held = Now < S.ValidUntil ? S.Amount : 0;
  if (S.Values.Concurrency > 0)
    Held = std::max(Held, S.InUse / static_cast<double>(S.Values.Concurrency));
  return Held;
}

Duration LimitShares::retryAfter(const Share &S, std::uint32_t Tokens,
                                 Duration MeanServiceTime) const {
  const LimitValues &V = S.Values;
  double Amount = std::max(S.Amount, V.quantum());
  double Seconds = 0;
  if (V.Requests > 0 && S.RequestBudget < 1)
    Seconds = (1 - S.RequestBudget) / (Amount * V.Requests);
  double Needed = std::max(1., neededTokens(V, Tokens));
  if (V.Tokens > 0 && S.TokenBudget < Needed)
    Seconds = std::max(Seconds, (Needed - S.TokenBudget) / (Amount * V.Tokens));
  if (V.Concurrency > 0 && S.InUse + 1 > S.Amount * V.Concurrency + Epsilon)
    Seconds =
        std::max(Seconds, seconds(MeanServiceTime) / std::max(1U, S.InUse));
  return fromSeconds(Seconds);
}

bool LimitShares::mayRequestShare(const Share &S, TimePoint Now) const {
  return S.Amount < 1 - Epsilon &&
         (!S.Contended || Now - S.LastGrant >= Settings_.MinRequestInterval);
}

void LimitShares::requestShare(const LimitName &Limit) {
  TimePoint Now = Runtime_.Now();
  HostId Allocator = Allocator_.allocatorOf(Limit);
  ShareRequest Request{Hooks_.Self, Limit};
  Request.Serial = ++LastSerial_;
  Request.HolderStart = Hooks_.SelfStart;
  bool Known = Shares_.update(Limit, [&](Share &S) {
    Request.Wanted = wanted(S, Now);
    // What is given back is free for others at once.
    S.Amount = std::min(S.Amount, Request.Wanted);
    Request.Held = heldOrInUse(S, Now);
    S.RequestedAmount = Request.Wanted;
    S.RequestedAt = Now;
    S.Serial = Request.Serial;
    Request.Needed = neededSeconds(S);
    S.MissingTokens = 0;
  });
  if (!Known || Allocator.empty())
    return;
  if (Allocator == Hooks_.Self) {
    if (std::optional<ShareGrant> Grant = Allocator_.grant(Request))
      apply(Limit, Request.Serial, *Grant);
    return;
  }
  ShareNote Note;
  Note.Limit = Limit;
  Note.Amount = Request.Wanted;
  Note.Held = Request.Held;
  Note.Serial = Request.Serial;
  Note.HolderStart = Request.HolderStart;
  Note.Needed = Request.Needed;
  Hooks_.Send(Allocator, Note);
}

bool LimitShares::apply(const LimitName &Limit, std::uint64_t Serial,
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
    S.ValidUntil = *S.RequestedAt + holderLifetime();
    S.RequestBudget += Grant.Credit * S.Values.Requests;
    S.TokenBudget += Grant.Credit * S.Values.Tokens;
    S.LastGrant = Now;
    S.RequestedAt = std::nullopt;
    Applied = true;
  });
  return Applied;
}

std::optional<LimitName> LimitShares::handle(const HostId &From,
                                             const ShareNote &Note) {
  if (!Note.Acknowledged) {
    reply(From, Note);
    return std::nullopt;
  }
  if (!apply(Note.Limit, Note.Serial, {Note.Amount, Note.Credit}))
    return std::nullopt;
  return Note.Limit;
}

void LimitShares::reply(const HostId &From, const ShareNote &Request) {
  std::optional<ShareGrant> Grant =
      Allocator_.grant({From, Request.Limit, Request.Amount, Request.Held,
                        Request.Serial, Request.HolderStart, Request.Needed});
  if (!Grant)
    return;
  ShareNote Note;
  Note.Limit = Request.Limit;
  Note.Serial = Request.Serial;
  Note.Acknowledged = true;
  Note.Amount = Grant->Amount;
  Note.Credit = Grant->Credit;
  Hooks_.Send(From, Note);
}

void LimitShares::tick() {
  Allocator_.tick();
  TimePoint Now = Runtime_.Now();
  std::vector<LimitName> Due;
  Shares_.forEach([&](const LimitName &Limit, const Share &S) {
    bool InUse = S.InUse > 0 || Now - S.LastUsed < Settings_.ShareLifetime;
    bool TimedOut =
        S.RequestedAt && Now - *S.RequestedAt >= Settings_.RequestTimeout;
    bool NeedsRenewal =
        !S.RequestedAt &&
        Now + holderLifetime() >= S.ValidUntil + Settings_.RenewAfter;
    bool IsTooLarge = !S.RequestedAt &&
                      S.Amount > ReleaseFactor * wanted(S, Now) &&
                      Now - S.LastGrant >= Settings_.MinRequestInterval;
    if (InUse && (TimedOut || NeedsRenewal || IsTooLarge))
      Due.push_back(Limit);
  });
  for (const LimitName &Limit : Due)
    requestShare(Limit);
  Shares_.eraseIf([&](const LimitName &, const Share &S) {
    return S.InUse == 0 && Now - S.LastUsed > 2 * Settings_.ShareLifetime &&
           Now >= S.ValidUntil;
  });
}

double LimitShares::held(const LimitName &Limit) const {
  std::optional<Share> S = Shares_.find(Limit);
  return S && Runtime_.Now() < S->ValidUntil ? S->Amount : 0;
}

bool LimitShares::hasOpenRequest(const LimitName &Limit) const {
  std::optional<Share> S = Shares_.find(Limit);
  return S && S->RequestedAt;
}

} // namespace celerybeam
