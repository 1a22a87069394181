#include "admission/internal/limitshares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace celerybeam::detail {

namespace {

/// Part of the lifetime that a holder uses, against clocks that run apart.
constexpr Duration HolderLifetime = ShareLifetime * 9 / 10;
constexpr Duration RenewAfter = ShareLifetime / 2;
/// Time after which a question is taken for lost.
constexpr Duration AskTimeout = std::chrono::milliseconds(100);
/// Least time between a grant of less than was asked for and the next
/// question.
constexpr Duration MinAskInterval = std::chrono::milliseconds(50);
/// Time constant of the observed rates.
constexpr double RateSeconds = 1;
/// What is asked for above the observed rate.
constexpr double Headroom = 1.3;
/// Seconds of a share's rate that its holder saves up.
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
      Keeper_(Board, std::move(R)) {}

LimitAnswer LimitShares::take(const LimitUse &Use, bool MayAsk,
                              Duration MeanService) {
  TimePoint Now = Runtime_.Now();
  std::string Limit = Use.Key.str();
  bool Asks = false;
  auto TryOnce = [&](Share &S, bool First) {
    S.Values = Use.Values;
    refill(S, Now);
    if (First)
      observe(S, Use.Tokens, Now);
    if (passes(S)) {
      ++S.InUse;
      S.RequestTokens -= 1;
      S.TokenTokens -= Use.Tokens;
      return LimitAnswer{LimitVerdict::Taken};
    }
    Asks = MayAsk && !S.AskedAt && mayAsk(S, Now);
    if (MayAsk && (S.AskedAt || Asks)) {
      S.Waiting += First ? 1 : 0;
      return LimitAnswer{LimitVerdict::Wait};
    }
    return LimitAnswer{LimitVerdict::Refused, retryAfter(S, MeanService)};
  };
  LimitAnswer Answer =
      Shares_.upsert(Limit, [&](Share &S) { return TryOnce(S, MayAsk); });
  if (!Asks)
    return Answer;
  ask(Limit);
  // Where this host is the keeper itself, the grant is there already.
  return Shares_.upsert(Limit, [&](Share &S) {
    MayAsk = S.AskedAt.has_value();
    return TryOnce(S, false);
  });
}

void LimitShares::giveBack(const LimitUse &Use, std::uint32_t TokensUsed) {
  Shares_.update(Use.Key.str(), [&](Share &S) {
    if (S.InUse > 0)
      --S.InUse;
    S.TokenTokens += Use.Tokens;
    S.TokenTokens -= TokensUsed;
  });
}

void LimitShares::refill(Share &S, TimePoint Now) {
  if (Now >= S.ValidUntil) {
    S.Amount = 0;
    S.RequestTokens = 0;
    S.TokenTokens = std::min(S.TokenTokens, 0.);
  }
  double Elapsed = seconds(Now - S.RefilledAt);
  S.RefilledAt = Now;
  double Requests = S.Amount * S.Values.Requests;
  double Tokens = S.Amount * S.Values.Tokens;
  S.RequestTokens =
      std::min(Requests * BurstSeconds, S.RequestTokens + Requests * Elapsed);
  S.TokenTokens =
      std::min(Tokens * BurstSeconds, S.TokenTokens + Tokens * Elapsed);
}

void LimitShares::observe(Share &S, std::uint32_t Tokens, TimePoint Now) {
  double Kept = std::exp(-seconds(Now - S.LastUsed) / RateSeconds);
  S.RequestRate = S.RequestRate * Kept + 1 / RateSeconds;
  S.TokenRate = S.TokenRate * Kept + Tokens / RateSeconds;
  S.LastUsed = Now;
}

bool LimitShares::passes(const Share &S) {
  const LimitValues &V = S.Values;
  if (V.Concurrency > 0 &&
      S.InUse + 1 > std::floor(S.Amount * V.Concurrency + Epsilon))
    return false;
  if (V.Requests > 0 && S.RequestTokens < 1 - Epsilon)
    return false;
  return V.Tokens <= 0 || S.TokenTokens > 0;
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

Duration LimitShares::retryAfter(const Share &S, Duration MeanService) {
  const LimitValues &V = S.Values;
  double Amount = std::max(S.Amount, V.quantum());
  double Seconds = 0;
  if (V.Requests > 0 && S.RequestTokens < 1)
    Seconds = (1 - S.RequestTokens) / (Amount * V.Requests);
  if (V.Tokens > 0 && S.TokenTokens <= 0)
    Seconds = std::max(Seconds, (1 - S.TokenTokens) / (Amount * V.Tokens));
  if (V.Concurrency > 0 && S.InUse + 1 > S.Amount * V.Concurrency + Epsilon)
    Seconds = std::max(Seconds, seconds(MeanService) / std::max(1U, S.InUse));
  return fromSeconds(Seconds);
}

bool LimitShares::mayAsk(const Share &S, TimePoint Now) {
  return S.Amount < 1 - Epsilon &&
         (!S.Contended || Now - S.LastGrant >= MinAskInterval);
}

void LimitShares::ask(const std::string &Limit) {
  TimePoint Now = Runtime_.Now();
  HostId Keeper = Keeper_.keeperOf(Limit);
  ShareQuestion Question{Board_.self().Id, Limit};
  Question.Serial = ++LastSerial_;
  bool Known = Shares_.update(Limit, [&](Share &S) {
    Question.Wanted = wanted(S);
    Question.Held = heldOrInUse(S, Now);
    S.AskedFor = Question.Wanted;
    S.AskedAt = Now;
    S.Serial = Question.Serial;
  });
  if (!Known)
    return;
  if (Keeper == Board_.self().Id) {
    if (std::optional<ShareGrant> Grant = Keeper_.grant(Question))
      apply(Limit, Question.Serial, *Grant);
    return;
  }
  messages::Envelope Message;
  messages::ShareTransfer *Transfer = Message.mutable_share_transfer();
  Transfer->set_limit(Limit);
  Transfer->set_amount(Question.Wanted);
  Transfer->set_held(Question.Held);
  Transfer->set_serial(Question.Serial);
  Peers_.Send(Keeper, std::move(Message));
}

bool LimitShares::apply(const std::string &Limit, std::uint64_t Serial,
                        const ShareGrant &Grant) {
  bool Applied = false;
  TimePoint Now = Runtime_.Now();
  Shares_.update(Limit, [&](Share &S) {
    // A late or repeated grant belongs to a question that was asked anew.
    if (!S.AskedAt || S.Serial != Serial)
      return;
    refill(S, Now);
    S.Amount = Grant.Amount;
    S.Contended = Grant.Amount < S.AskedFor - Epsilon;
    S.Waiting = 0;
    S.ValidUntil = *S.AskedAt + HolderLifetime;
    S.RequestTokens += Grant.Credit * S.Values.Requests;
    S.TokenTokens += Grant.Credit * S.Values.Tokens;
    S.LastGrant = Now;
    S.AskedAt = std::nullopt;
    Applied = true;
  });
  return Applied;
}

std::optional<std::string>
LimitShares::handle(const HostId &From,
                    const messages::ShareTransfer &Transfer) {
  if (!Transfer.acknowledged()) {
    answer(From, Transfer);
    return std::nullopt;
  }
  ShareGrant Grant{Transfer.amount(), Transfer.credit()};
  if (!apply(Transfer.limit(), Transfer.serial(), Grant))
    return std::nullopt;
  return Transfer.limit();
}

void LimitShares::answer(const HostId &From,
                         const messages::ShareTransfer &Question) {
  std::optional<ShareGrant> Grant =
      Keeper_.grant({From, Question.limit(), Question.amount(), Question.held(),
                     Question.serial()});
  if (!Grant)
    return;
  messages::Envelope Message;
  messages::ShareTransfer *Transfer = Message.mutable_share_transfer();
  Transfer->set_limit(Question.limit());
  Transfer->set_serial(Question.serial());
  Transfer->set_acknowledged(true);
  Transfer->set_amount(Grant->Amount);
  Transfer->set_credit(Grant->Credit);
  Peers_.Send(From, std::move(Message));
}

void LimitShares::tick() {
  Keeper_.tick();
  TimePoint Now = Runtime_.Now();
  std::vector<std::string> Due;
  Shares_.forEach([&](const std::string &Limit, const Share &S) {
    bool InUse = S.InUse > 0 || Now - S.LastUsed < ShareLifetime;
    bool Lost = S.AskedAt && Now - *S.AskedAt >= AskTimeout;
    bool Old = !S.AskedAt && Now + HolderLifetime >= S.ValidUntil + RenewAfter;
    if (InUse && (Lost || Old))
      Due.push_back(Limit);
  });
  for (const std::string &Limit : Due)
    ask(Limit);
  Shares_.eraseIf([&](const std::string &, const Share &S) {
    return S.InUse == 0 && Now - S.LastUsed > 2 * ShareLifetime &&
           Now >= S.ValidUntil;
  });
}

double LimitShares::held(const LimitKey &Key) const {
  std::optional<Share> S = Shares_.find(Key.str());
  return S && Runtime_.Now() < S->ValidUntil ? S->Amount : 0;
}

bool LimitShares::asking(const LimitKey &Key) const {
  std::optional<Share> S = Shares_.find(Key.str());
  return S && S->AskedAt;
}

} // namespace celerybeam::detail
