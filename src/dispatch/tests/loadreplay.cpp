#include "dispatch/tests/loadreplay.h"

#include <cmath>

#include "dispatch/tests/dispatchfixture.h"

namespace celerybeam::testing {

namespace {

constexpr Duration Tick = std::chrono::milliseconds(1);
/// Callers wait for at most this share of their remaining time before they come
/// back.
constexpr int LongestReturnShare = 3;
constexpr double MsPerOutputToken = 8;

} // namespace

class LoadReplay::Impl {
public:
  Impl(ReplayPool Pool, unsigned Seed)
      : Pool_(Pool), Time_(Seed), Fixture_(std::make_unique<DispatchFixture>()),
        Hosts_(Time_.runtime(), DispatchFixture::self()),
        View_(Time_.runtime(), {}),
        Decisions_(Time_.runtime(), View_, Hosts_, {}),
        LocalPlacer_(Time_.runtime(), View_, Decisions_,
                     DispatchFixture::self().Ip,
                     [this](const std::string &, PlacementId Id,
                            const PlacementAnswer &A) { answered(Id, A); }) {
    View_.adoptTables(*Fixture_->View.tables());
    for (unsigned I = 0; I < Pool.Endpoints; ++I) {
      FleetEndpoint E = Fixture_->addEndpoint(
          "e" + std::to_string(I), Pool.TokensPerMs > 0 ? "engines" : "plain");
      E.Slots = Pool.Slots;
      View_.putEndpoint(E);
    }
  }

  void run(const std::vector<ReplayKind> &Kinds, double Load, Duration Span) {
    TimePoint End = Time_.now() + Span;
    std::vector<double> Due(Kinds.size());
    for (; Time_.now() < End; Time_.runFor(Tick)) {
      for (std::size_t I = 0; I < Kinds.size(); ++I) {
        Due[I] += Kinds[I].Rate * Load * 0.001 * exponential();
        for (; Due[I] >= 1; Due[I] -= 1)
          arrive(Kinds[I]);
      }
    }
  }

  void arrive(const ReplayKind &Kind) {
    auto Caller = std::make_shared<CallerAttempt>();
    Caller->Kind = Kind;
    Caller->Number = Requests_.size();
    std::uint32_t Tokens = Kind.Tokens ? Kind.Tokens(Time_.random()) : 0;
    Caller->Deadline = Time_.now() + Kind.Deadline;
    Requests_.push_back(
        {Kind.Name,
         Tokens,
         Time_.now(),
         Kind.Route.LatencyTarget,
         {},
         {},
         0,
         {},
         Kind.Customer ? Kind.Customer(Time_.random()) : CustomerId()});
    ask(Caller);
  }

  void settle() { Time_.runFor(std::chrono::seconds(30)); }

  std::vector<ReplayedRequest> Requests_;

private:
  /// One attempt of a caller to get its request placed; it may be the second.
  struct CallerAttempt {
    ReplayKind Kind;
    std::size_t Number = 0;
    TimePoint Deadline{};
    TimePoint AskedAt{};
    TimePoint SentAt{};
    bool Sent = false;
    bool GotOutput = false;
    bool Over = false;
  };
  using CallerAttemptPtr = std::shared_ptr<CallerAttempt>;

  struct Engine {
    std::deque<std::pair<PlacementId, CallerAttemptPtr>> PrefillQueue;
    bool IsPrefilling = false;
  };

  double exponential() {
    constexpr double Scale = 1.0 / 18446744073709551616.0;
    return -std::log(1 - static_cast<double>(Time_.random()) * Scale);
  }

  void ask(const CallerAttemptPtr &Caller) {
    ReplayedRequest &R = Requests_[Caller->Number];
    Caller->AskedAt = Time_.now();
    PlacementAsk Ask;
    Ask.Request = Fixture_->request(R.Tokens, Time_.random());
    Ask.Request.Fingerprint = Caller->Number + 1;
    Ask.Request.Customer = R.Customer;
    // Requests share no prefix.
    Ask.Request.Parts.clear();
    Ask.Request.Levels.clear();
    Ask.Request.MaxOutputTokens = Caller->Kind.OutputTokens;
    Ask.Route = Caller->Kind.Route;
    Ask.Route.FirstOutputPatience =
        R.Tokens > 0 ? Caller->Kind.Patience : Duration::zero();
    Ask.Request.Deadline =
        std::min(Caller->Deadline, Time_.now() + Ask.Route.Timeout);
    Ask.Log.Arrived = Time_.now();
    Ask.Log.Pool = Ask.Route.Pools.front().Pool;
    PlacementId Id{++LastId_};
    Attempts_[Id.Value] = Caller;
    Time_.after(R.Tokens > 0 ? Caller->Kind.Patience
                             : Ask.Request.Deadline - Time_.now(),
                [this, Id, Caller] { giveUp(Id, Caller); });
    LocalPlacer_.ask(DispatchFixture::self().Ip, Id, Ask);
  }

  void giveUp(PlacementId Id, const CallerAttemptPtr &Caller) {
    if (Caller->Over || Caller->GotOutput || !Attempts_.contains(Id.Value))
      return;
    Caller->Over = true;
    Attempts_.erase(Id.Value);
    LocalPlacer_.end(Id, {});
    if (!Caller->Sent)
      recordQueueTime(*Caller);
  }

  void recordQueueTime(const CallerAttempt &Caller) {
    ReplayedRequest &R = Requests_[Caller.Number];
    R.LongestQueueTime =
        std::max(R.LongestQueueTime, Time_.now() - Caller.AskedAt);
  }

  void answered(PlacementId Id, const PlacementAnswer &Answer) {
    auto Found = Attempts_.find(Id.Value);
    if (Found == Attempts_.end() || !Answer.Decision)
      return;
    CallerAttemptPtr Caller = Found->second;
    if (const auto *Why = std::get_if<Refusal>(&*Answer.Decision))
      return refused(Id, Caller, *Why);
    const auto *Local = std::get_if<ServeAt>(&*Answer.Decision);
    if (Local == nullptr)
      return;
    Caller->Sent = true;
    Caller->SentAt = Time_.now();
    if (Pool_.TokensPerMs <= 0)
      return Time_.after(Pool_.Service, [this, Id, Caller] {
        reportFirstOutput(Id, Caller, true);
      });
    Engine &E = Engines_[Local->Endpoint.Key.Value];
    auto At = E.PrefillQueue.end();
    while (At != E.PrefillQueue.begin() &&
           (At - 1)->second->Kind.Route.Rank > Caller->Kind.Route.Rank)
      --At;
    E.PrefillQueue.insert(At, {Id, Caller});
    startPrefill(E);
  }

  void startPrefill(Engine &E) {
    while (!E.IsPrefilling && !E.PrefillQueue.empty()) {
      auto [Id, Caller] = E.PrefillQueue.front();
      E.PrefillQueue.pop_front();
      if (Caller->Over)
        continue;
      E.IsPrefilling = true;
      double Ms = Requests_[Caller->Number].Tokens / Pool_.TokensPerMs;
      Time_.after(std::chrono::microseconds(static_cast<long>(Ms * 1000)),
                  [this, Id = Id, Caller = Caller, &E] {
                    E.IsPrefilling = false;
                    reportFirstOutput(Id, Caller, false);
                    startPrefill(E);
                  });
    }
  }

  void reportFirstOutput(PlacementId Id, const CallerAttemptPtr &Caller,
                         bool Whole) {
    if (Caller->Over)
      return;
    Caller->GotOutput = true;
    ReplayedRequest &R = Requests_[Caller->Number];
    R.FirstOutput = Time_.now() - R.Arrived;
    LocalPlacer_.reportFirstOutput(
        Id, {Time_.now() - Caller->SentAt, std::nullopt});
    if (Whole)
      return ended(Id, Caller);
    Time_.after(std::chrono::microseconds(static_cast<long>(
                    Caller->Kind.OutputTokens * MsPerOutputToken * 1000)),
                [this, Id, Caller] { ended(Id, Caller); });
  }

  void ended(PlacementId Id, const CallerAttemptPtr &Caller) {
    Caller->Over = true;
    Attempts_.erase(Id.Value);
    ReplayedRequest &R = Requests_[Caller->Number];
    if (Time_.now() <= Caller->Deadline)
      R.Served = Time_.now() - R.Arrived;
    LocalPlacer_.end(Id, {AttemptOutcome::Answered});
  }

  void refused(PlacementId Id, const CallerAttemptPtr &Caller,
               const Refusal &Why) {
    Attempts_.erase(Id.Value);
    Caller->Over = true;
    recordQueueTime(*Caller);
    ReplayedRequest &R = Requests_[Caller->Number];
    if (++R.Refusals > 1)
      return;
    auto Again = std::make_shared<CallerAttempt>();
    Again->Kind = Caller->Kind;
    Again->Number = Caller->Number;
    Again->Deadline = Caller->Deadline;
    Duration Left = Caller->Deadline - Time_.now();
    Time_.after(std::min(Why.RetryAfter, Left / LongestReturnShare),
                [this, Again] { ask(Again); });
  }

  ReplayPool Pool_;
  VirtualTime Time_;
  std::unique_ptr<DispatchFixture> Fixture_;
  HostRegistry Hosts_;
  FleetView View_;
  Dispatcher Decisions_;
  PlacementServer LocalPlacer_;
  std::uint64_t LastId_ = 0;
  std::map<std::uint64_t, CallerAttemptPtr> Attempts_;
  std::map<std::uint64_t, Engine> Engines_;
};

LoadReplay::LoadReplay(ReplayPool Pool, unsigned Seed)
    : Impl_(std::make_unique<Impl>(Pool, Seed)) {}
LoadReplay::~LoadReplay() = default;

void LoadReplay::run(const std::vector<ReplayKind> &Kinds, double Load,
                     Duration Span) {
  Impl_->run(Kinds, Load, Span);
}
void LoadReplay::settle() { Impl_->settle(); }
std::vector<ReplayedRequest> LoadReplay::requests() const {
  return Impl_->Requests_;
}

} // namespace celerybeam::testing
