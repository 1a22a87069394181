#include "dispatch/customerlimits.h"

#include <algorithm>
#include <unordered_map>
#include <utility>
#include <vector>

namespace celerybeam {

namespace {

constexpr char NameSeparator = '\n';
/// A smaller burst would refuse requests that come close together by chance.
constexpr double MinBurstSeconds = 0.2;
/// Each of several hundred hosts loses half of this by rounding.
constexpr double ShareGranularity = 1e-5;
/// Time after which the last refusal of a customer no longer counts.
constexpr Duration RefusalMemory = std::chrono::seconds(10);

LimitSettings settings() {
  LimitSettings S;
  S.ShareLifetime = CustomerLimits::ShareLifetime;
  // The load of a region's callers can change several times over in seconds.
  S.RenewAfter = std::chrono::seconds(1);
  // Twice a round trip to another region.
  S.RequestTimeout = std::chrono::milliseconds(250);
  S.MinRequestInterval = std::chrono::milliseconds(100);
  S.Headroom = 1.5;
  S.ServesSingleRequests = true;
  return S;
}

} // namespace

class CustomerLimits::Impl {
public:
  Impl(Runtime R, const FleetView &Fleet, const HostRegistry &Hosts,
       std::set<RegionId> Regions, SendHook Send)
      : Runtime_(R), Fleet_(Fleet), Hosts_(Hosts),
        Regions_(orderOf(std::move(Regions))), Send_(std::move(Send)),
        Shares_(std::move(R), hooks(), settings()) {}

  /// Own region first.
  std::vector<RegionId> orderOf(std::set<RegionId> Regions) const {
    const RegionId &Own = Hosts_.self().Region;
    Regions.erase(Own);
    std::vector<RegionId> Order = {Own};
    Order.insert(Order.end(), Regions.begin(), Regions.end());
    return Order;
  }

  LimitHooks hooks() {
    LimitHooks Hooks;
    Hooks.Self = HostId(Hosts_.self().Ip);
    Hooks.SelfStart = Hosts_.self().StartedAt;
    Hooks.OwnGroup = Hosts_.self().Region.str();
    Hooks.GroupOf = [](const LimitName &Limit) {
      return Limit.substr(0, Limit.find(NameSeparator));
    };
    Hooks.Candidates = [this](const std::string &Region) {
      return candidates(RegionId(Region));
    };
    Hooks.ValuesOf = [this](const LimitName &Limit) {
      std::size_t At = Limit.find(NameSeparator);
      const FleetTablesPtr &Tables = Fleet_.tables();
      const Customer *Of =
          Tables && Tables->Customers && At != LimitName::npos
              ? Tables->Customers->find(CustomerId(Limit.substr(At + 1)))
              : nullptr;
      return Of != nullptr && Of->Limit ? valuesOf(*Of->Limit) : LimitValues();
    };
    Hooks.Send = [this](const HostId &To, const ShareNote &Note) {
      Send_(To.str(), Note);
    };
    Hooks.AllHostsInContact = [this] {
      return Hosts_.allInContact(ShareLifetime);
    };
    return Hooks;
  }

  std::vector<HostId> candidates(const RegionId &Region) const {
    bool IsOwn = Region == Hosts_.self().Region;
    std::vector<HostId> Ids;
    if (IsOwn && !Hosts_.isInContactWithMost(2 * ShareLifetime))
      return Ids;
    for (const HostState &Placer : Hosts_.delegates(Region).Placers)
      Ids.emplace_back(Placer.Ip);
    std::sort(Ids.begin(), Ids.end());
    return Ids;
  }

  /// A region's part of a limit.
  LimitValues valuesOf(const CustomerLimit &Limit) const {
    double Parts = static_cast<double>(Regions_.size());
    LimitValues Values;
    double &Rate =
        Limit.Unit == LimitUnit::Tokens ? Values.Tokens : Values.Requests;
    Rate = Limit.PerSecond / Parts;
    Values.Granularity = ShareGranularity;
    if (Limit.PerSecond > 0)
      Values.BurstSeconds =
          std::max(MinBurstSeconds, Limit.Burst / Limit.PerSecond);
    return Values;
  }

  const CustomerLimit *limitOf(const CustomerId &Name) const {
    const FleetTablesPtr &Tables = Fleet_.tables();
    const Customer *Of = Tables && Tables->Customers && !Name.empty()
                             ? Tables->Customers->find(Name)
                             : nullptr;
    return Of != nullptr && Of->Limit ? &*Of->Limit : nullptr;
  }

  LimitVerdict pass(const RequestDescriptor &Request, LimitAttempt &Attempt) {
    using Kind = LimitVerdict::Kind;
    const CustomerLimit *Limit = limitOf(Request.Customer);
    if (Limit == nullptr)
      return {Kind::Passed, {}};
    if (Limit->PerSecond <= 0)
      return {Kind::OverLimit, MaxRetryAfter};
    TimePoint Now = Runtime_.Now();
    if (!Attempt.Begun)
      Attempt.Begun = Now;
    LimitUse Use;
    Use.Values = valuesOf(*Limit);
    Use.Tokens = costOf(Request, *Limit);
    for (; Attempt.Part < Regions_.size(); nextPart(Attempt)) {
      Use.Limit =
          Regions_[Attempt.Part].str() + NameSeparator + Request.Customer.str();
      if (Attempt.HasRequested && Shares_.hasOpenRequest(Use.Limit)) {
        if (Now - *Attempt.Begun < MaxShareWait)
          return {Kind::Wait, {}};
        Attempt.Unanswered = true;
        continue;
      }
      LimitResult Result =
          Shares_.take(Use, !Attempt.HasRequested, Duration::zero());
      if (Result.Decision == LimitDecision::Taken) {
        Attempt.Taken = Use;
        return {Kind::Passed, {}};
      }
      if (Result.Decision == LimitDecision::Wait) {
        Attempt.HasRequested = true;
        return {Kind::Wait, {}};
      }
      // A host without a share of this part cannot tell when it has one.
      if (Shares_.held(Use.Limit) > 0)
        Attempt.RetryAfter = std::min(
            Attempt.RetryAfter.value_or(Duration::max()), Result.RetryAfter);
    }
    if (Attempt.Unanswered && !Attempt.RetryAfter)
      return {Kind::Unavailable, UnavailableRetryAfter};
    return {Kind::OverLimit,
            retryAfter(Request.Customer, Use, Attempt.RetryAfter)};
  }

  static void nextPart(LimitAttempt &Attempt) {
    ++Attempt.Part;
    Attempt.HasRequested = false;
  }

  /// Callers that are refused one after the other return one after the other,
  /// as the limit has room for them.
  Duration retryAfter(const CustomerId &Name, const LimitUse &Use,
                      std::optional<Duration> Soonest) {
    TimePoint Now = Runtime_.Now();
    double Held = 0;
    for (const RegionId &Region : Regions_)
      Held += Shares_.held(Region.str() + NameSeparator + Name.str());
    double Rate = Held * std::max(Use.Values.Tokens, Use.Values.Requests);
    double Cost = Use.Values.Tokens > 0 ? Use.Tokens : 1;
    Duration Takes = MaxRetryAfter;
    constexpr double MicrosPerSecond = 1e6;
    if (Rate > 0)
      Takes = Duration(static_cast<Duration::rep>(
          std::min(Cost / Rate * MicrosPerSecond,
                   static_cast<double>(MaxRetryAfter.count()))));
    TimePoint &Next = NextReturn_[Name];
    Next = std::max(Next, Now + Soonest.value_or(MinRetryAfter)) + Takes;
    Next = std::min(Next, Now + MaxRetryAfter);
    return std::clamp(Next - Now, MinRetryAfter, MaxRetryAfter);
  }

  void tick() {
    const FleetTablesPtr &Tables = Fleet_.tables();
    if (!Tables || !Tables->Customers)
      return;
    Shares_.tick();
    TimePoint Now = Runtime_.Now();
    std::erase_if(NextReturn_, [&](const auto &Entry) {
      return Now - Entry.second > RefusalMemory;
    });
  }

  Runtime Runtime_;
  const FleetView &Fleet_;
  const HostRegistry &Hosts_;
  std::vector<RegionId> Regions_;
  SendHook Send_;
  LimitShares Shares_;
  /// When the caller that was refused last is to return.
  std::unordered_map<CustomerId, TimePoint> NextReturn_;
};

CustomerLimits::CustomerLimits(Runtime R, const FleetView &Fleet,
                               const HostRegistry &Hosts,
                               std::set<RegionId> Regions, SendHook Send)
    : Impl_(std::make_unique<Impl>(std::move(R), Fleet, Hosts,
                                   std::move(Regions), std::move(Send))) {}
CustomerLimits::~CustomerLimits() = default;

LimitVerdict CustomerLimits::pass(const RequestDescriptor &Request,
                                  LimitAttempt &Attempt) {
  return Impl_->pass(Request, Attempt);
}

void CustomerLimits::end(LimitAttempt &Attempt, bool MayHaveRun) {
  if (!Attempt.Taken)
    return;
  LimitUse Use = *std::exchange(Attempt.Taken, std::nullopt);
  if (MayHaveRun)
    Impl_->Shares_.release(Use, Use.Tokens);
  else
    Impl_->Shares_.refund(Use);
}

void CustomerLimits::received(const std::string &Ip, const ShareNote &Note) {
  Impl_->Shares_.handle(HostId(Ip), Note);
}

void CustomerLimits::tick() { Impl_->tick(); }

std::uint32_t CustomerLimits::costOf(const RequestDescriptor &Request,
                                     const CustomerLimit &Limit) {
  if (Limit.Unit == LimitUnit::Requests)
    return 0;
  std::uint64_t Tokens =
      std::uint64_t{Request.PromptTokens} + Request.MaxOutputTokens;
  if (Tokens == 0)
    Tokens = Limit.PlainTokens;
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(Tokens, UINT32_MAX));
}

} // namespace celerybeam
