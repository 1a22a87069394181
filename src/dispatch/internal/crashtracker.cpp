#include "dispatch/crashtracker.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "dispatch/arrivalsketch.h"
#include "dispatch/internal/crashjudge.h"
#include "dispatch/internal/crashoutbox.h"

namespace celerybeam {

namespace {

using detail::CountedCrash;
using detail::CountedRun;

/// Least time between two judgements.
constexpr Duration JudgeInterval = std::chrono::milliseconds(50);
/// A suspect whose trial is due at another host is worth asking again for after
/// this time.
constexpr Duration MinRetryAfter = std::chrono::seconds(1);
constexpr std::size_t MaxReportedCrashes = 32;
struct Entry {
  CrashScope Scope;
  bool IsWhole = false;
  std::optional<TimePoint> SoundAt;
  TimePoint LastArrival{};
  /// Crashes that counted at the latest judgement.
  std::size_t Crashes = 0;
  bool IsRefused = false;
  TimePoint RefusedAt{};
  TimePoint FirstCrash{};
  TimePoint LatestCrash{};
  std::uint32_t Trials = 0;
  TimePoint LatestTrial{};
};

struct PendingCrash {
  CountedCrash Crash;
  bool IsProbed = false;
};

Duration trialInterval(std::uint32_t Trials) {
  Duration Interval = CrashTracker::FirstTrialAfter;
  for (std::uint32_t I = 0;
       I < Trials && Interval < CrashTracker::LongestTrialInterval; ++I)
    Interval *= CrashTracker::TrialFactor;
  return std::min(Interval, CrashTracker::LongestTrialInterval);
}

} // namespace

class CrashTracker::Impl {
public:
  explicit Impl(Runtime R) : Runtime_(std::move(R)) {}

  TimePoint now() const { return Runtime_.Now(); }

  Entry *find(CrashSuspect Suspect) {
    auto Found = Entries_.find(Suspect);
    return Found == Entries_.end() ? nullptr : &Found->second;
  }

  template <typename Visit>
  void forEachSuspect(const CrashSuspects &Request, const Visit &Use) {
    for (CrashSuspect Part : Request.Parts)
      Use(Part, false);
    if (Request.Whole.Value != 0)
      Use(Request.Whole, true);
  }

  void recordArrival(const CrashSuspects &Request) {
    Arrivals_.record(Request.Scope.Value, now());
    forEachSuspect(Request, [&](CrashSuspect Suspect, bool) {
      Arrivals_.record(Suspect.Value, now());
      if (Entry *E = find(Suspect))
        E->LastArrival = now();
    });
  }

  void recordBreak(const EndpointKey &Endpoint, const CrashSuspects &Request,
                   TimePoint SentAt) {
    settle();
    auto [Found, IsNew] = Pending_.try_emplace(Endpoint);
    CountedCrash &Crash = Found->second.Crash;
    if (IsNew)
      Crash = {Endpoint, now(), {}};
    if (Crash.Runs.size() < MaxRunsPerCrash)
      Crash.Runs.push_back({Request, SentAt});
  }

  void recordAlive(const EndpointKey &Endpoint) {
    if (Pending_.empty())
      return;
    settle();
    auto Found = Pending_.find(Endpoint);
    if (Found == Pending_.end() || now() - Found->second.Crash.At < AliveMargin)
      return;
    CrashChange Change =
        changeOf(CrashChange::Kind::KeptRunning, Found->second.Crash);
    Pending_.erase(Found);
    report(Change);
  }

  void recordUnreachable(const EndpointKey &Endpoint) {
    auto Found = Pending_.find(Endpoint);
    if (Found == Pending_.end())
      return;
    CountedCrash Crash = std::move(Found->second.Crash);
    Pending_.erase(Found);
    count(std::move(Crash), true);
  }

  /// Counts the breaks after which the endpoint has not shown that it goes on.
  void settle() {
    if (Pending_.empty())
      return;
    std::vector<CountedCrash> Confirmed;
    for (const auto &[Key, Pending] : Pending_)
      if (now() - Pending.Crash.At >= ConfirmTime)
        Confirmed.push_back(Pending.Crash);
    for (CountedCrash &Crash : Confirmed) {
      Pending_.erase(Crash.Endpoint);
      count(std::move(Crash), true);
    }
  }

  static bool hasRun(const CountedCrash &Crash, const CountedRun &Run) {
    return std::any_of(
        Crash.Runs.begin(), Crash.Runs.end(),
        [&](const CountedRun &C) { return C.Suspects == Run.Suspects; });
  }

  /// \param IsOwn  whether B was seen by this host.
  static bool isSameCrash(const CountedCrash &A, const CountedCrash &B,
                          bool IsOwn) {
    if (A.Endpoint != B.Endpoint)
      return false;
    Duration Between = std::chrono::abs(A.At - B.At);
    if (Between <= SameCrashTime || IsOwn)
      return Between <= SameCrashTime;
    return Between <= LateReportTime &&
           std::any_of(B.Runs.begin(), B.Runs.end(),
                       [&](const CountedRun &Run) { return hasRun(A, Run); });
  }

  /// Adds a crash, or the runs that are new of one that is known.
  void count(CountedCrash Crash, bool IsOwn) {
    auto Known = std::find_if(
        Crashes_.begin(), Crashes_.end(),
        [&](const CountedCrash &C) { return isSameCrash(C, Crash, IsOwn); });
    if (Known != Crashes_.end()) {
      std::erase_if(Crash.Runs,
                    [&](const CountedRun &Run) { return hasRun(*Known, Run); });
      std::size_t Room =
          MaxRunsPerCrash - std::min(MaxRunsPerCrash, Known->Runs.size());
      Crash.Runs.resize(std::min(Crash.Runs.size(), Room));
      Known->Runs.insert(Known->Runs.end(), Crash.Runs.begin(),
                         Crash.Runs.end());
    }
    if (Crash.Runs.empty())
      return;
    for (const CountedRun &Run : Crash.Runs)
      addEntries(Run.Suspects);
    if (Known == Crashes_.end())
      report(changeOf(CrashChange::Kind::Crashed, Crash));
    Outbox_.addCrash(Crash, IsOwn, now());
    if (Known == Crashes_.end())
      Crashes_.insert(std::upper_bound(Crashes_.begin(), Crashes_.end(), Crash,
                                       [](const auto &A, const auto &B) {
                                         return A.At < B.At;
                                       }),
                      std::move(Crash));
    IsChanged_ = true;
    while (Crashes_.size() > MaxCrashes)
      Crashes_.pop_front();
    while (Entries_.size() > MaxEntries && !Crashes_.empty()) {
      Crashes_.pop_front();
      prune();
    }
  }

  void addEntries(const CrashSuspects &Request) {
    forEachSuspect(Request, [&](CrashSuspect Suspect, bool IsWhole) {
      auto [Found, IsNew] = Entries_.try_emplace(Suspect);
      if (!IsNew)
        return;
      Found->second.Scope = Request.Scope;
      Found->second.IsWhole = IsWhole;
      Found->second.LastArrival = now();
    });
  }

  /// Drops entries that nothing refers to.
  void prune() {
    std::unordered_set<CrashSuspect> InUse;
    for (const CountedCrash &Crash : Crashes_)
      for (const CountedRun &Run : Crash.Runs)
        forEachSuspect(Run.Suspects, [&](CrashSuspect Suspect, bool) {
          InUse.insert(Suspect);
        });
    std::erase_if(Entries_, [&](const auto &E) {
      return !E.second.IsRefused && !InUse.contains(E.first);
    });
  }

  void dropOld() {
    bool Dropped = false;
    while (!Crashes_.empty() && now() - Crashes_.front().At > Retention) {
      Crashes_.pop_front();
      Dropped = true;
    }
    for (auto &[Suspect, E] : Entries_)
      if (E.IsRefused && now() - E.LastArrival > RefusalRetention) {
        clear(Suspect, E, "unused");
        Dropped = true;
      }
    if (Dropped) {
      prune();
      IsChanged_ = true;
    }
  }

  detail::SuspectStats statsOf(CrashSuspect Suspect) {
    const Entry *E = find(Suspect);
    if (E == nullptr)
      return {};
    // A host that has seen few requests must not take a common part for a rare
    // one: as if a few more had arrived, half of them with the suspect.
    constexpr double AddedWith = 2;
    constexpr double Added = 4;
    constexpr double MaxShare = 0.999;
    double Share = (Arrivals_.count(Suspect.Value) + AddedWith) /
                   (Arrivals_.count(E->Scope.Value) + Added);
    return {E->IsWhole, E->SoundAt, std::min(Share, MaxShare)};
  }

  void judge() {
    settle();
    if (now() - OldDroppedAt_ >= std::chrono::seconds(1)) {
      OldDroppedAt_ = now();
      dropOld();
    }
    if (!IsChanged_ || now() - JudgedAt_ < JudgeInterval)
      return;
    IsChanged_ = false;
    JudgedAt_ = now();
    detail::CrashJudge::Stats Stats = [this](CrashSuspect Suspect) {
      return statsOf(Suspect);
    };
    auto Findings = detail::CrashJudge(Crashes_, Stats).findings();
    std::unordered_map<CrashSuspect, const detail::SuspectFinding *> Of;
    for (auto &[Suspect, E] : Entries_)
      E.Crashes = 0;
    for (const auto &Finding : Findings) {
      Of[Finding.Suspect] = &Finding;
      if (Entry *E = find(Finding.Suspect)) {
        E->Crashes = Finding.Crashes;
        if (Finding.IsCause)
          refuse(Finding, *E);
      }
    }
    for (auto &[Suspect, E] : Entries_)
      if (E.IsRefused)
        review(Suspect, E, Of.contains(Suspect) ? Of[Suspect] : nullptr);
  }

  void refuse(const detail::SuspectFinding &Finding, Entry &E) {
    E.LatestCrash = std::max(E.LatestCrash, Finding.Latest);
    if (E.IsRefused)
      return;
    if (refusedCount() >= MaxRefused)
      dropLeastUsed();
    E.IsRefused = true;
    E.RefusedAt = now();
    E.FirstCrash = Finding.First;
    E.LatestCrash = Finding.Latest;
    report(changeOf(CrashChange::Kind::Refused, Finding.Suspect, E,
                    "crashes_endpoints"));
    Outbox_.addRefusal(Finding.Suspect, now());
    if (Hooks_.Absolve)
      for (const EndpointKey &Endpoint : Finding.Endpoints)
        Hooks_.Absolve(Endpoint);
  }

  /// Ends a refusal that later evidence contradicts. Crashes that have been
  /// forgotten since do not end it.
  void review(CrashSuspect Suspect, Entry &E,
              const detail::SuspectFinding *Finding) {
    if (Finding != nullptr && Finding->IsCause)
      return;
    if (E.SoundAt && *E.SoundAt >= E.FirstCrash)
      return clear(Suspect, E, "sound");
    if (Finding != nullptr && Finding->IsExplainedByOthers)
      clear(Suspect, E, "explained");
  }

  void clear(CrashSuspect Suspect, Entry &E, const char *Why) {
    E.IsRefused = false;
    report(changeOf(CrashChange::Kind::Cleared, Suspect, E, Why));
    E.Trials = 0;
  }

  std::size_t refusedCount() const {
    return static_cast<std::size_t>(
        std::count_if(Entries_.begin(), Entries_.end(),
                      [](const auto &E) { return E.second.IsRefused; }));
  }

  void dropLeastUsed() {
    auto Least = Entries_.end();
    for (auto It = Entries_.begin(); It != Entries_.end(); ++It)
      if (It->second.IsRefused &&
          (Least == Entries_.end() ||
           It->second.LastArrival < Least->second.LastArrival))
        Least = It;
    if (Least != Entries_.end())
      clear(Least->first, Least->second, "no_room");
  }

  static TimePoint trialDue(const Entry &E) {
    return (E.Trials == 0 ? E.RefusedAt : E.LatestTrial) +
           trialInterval(E.Trials);
  }

  std::optional<CrashVerdict> check(const CrashSuspects &Request) {
    if (Entries_.empty() && Pending_.empty())
      return std::nullopt;
    judge();
    std::optional<CrashVerdict> Verdict;
    for (std::size_t I = 0; I <= Request.Parts.size(); ++I) {
      bool IsWhole = I == Request.Parts.size();
      CrashSuspect Suspect = IsWhole ? Request.Whole : Request.Parts[I];
      const Entry *E = find(Suspect);
      if (E == nullptr || !E->IsRefused)
        continue;
      // A request with two refused suspects can't clear either.
      if (Verdict) {
        Verdict->MayTry = false;
        break;
      }
      Verdict = verdictOf(Suspect, *E);
      if (!IsWhole)
        Verdict->Part = I;
    }
    return Verdict;
  }

  CrashVerdict verdictOf(CrashSuspect Suspect, const Entry &E) const {
    TimePoint Due = trialDue(E);
    CrashVerdict Verdict;
    Verdict.Suspect = Suspect;
    Verdict.Crashes = static_cast<std::uint32_t>(E.Crashes);
    Verdict.SinceLatest = now() - E.LatestCrash;
    Verdict.Trials = E.Trials;
    Verdict.RetryAfter = std::max(MinRetryAfter, Duration(Due - now()));
    Verdict.MayTry =
        now() >= Due &&
        (!Hooks_.OwnsTrial || Hooks_.OwnsTrial(Suspect, E.Trials, now() - Due));
    return Verdict;
  }

  void beginTrial(CrashSuspect Suspect) {
    Entry *E = find(Suspect);
    if (E == nullptr || !E->IsRefused)
      return;
    ++E->Trials;
    E->LatestTrial = now();
    Outbox_.addRefusal(Suspect, now());
    report(changeOf(CrashChange::Kind::TrialBegun, Suspect, *E, "due"));
  }

  void recordSound(CrashSuspect Suspect, TimePoint BegunAt, bool IsOwn) {
    Entry *E = find(Suspect);
    if (E == nullptr || (E->SoundAt && *E->SoundAt >= BegunAt))
      return;
    E->SoundAt = BegunAt;
    // One crash alone gives nobody a reason to refuse the suspect.
    if (!E->IsRefused && E->Crashes < 2)
      return;
    IsChanged_ = true;
    // A refusal that is contradicted ends at once.
    if (E->IsRefused)
      JudgedAt_ = {};
    Outbox_.addSound(Suspect, BegunAt, IsOwn, now());
  }

  void received(const CrashNews &News) {
    TimePoint Now = now();
    for (const CrashReport &Report : News.Crashes) {
      CountedCrash Crash{Report.Endpoint, Now - Report.Age, {}};
      for (const CrashedRun &Run : Report.Runs)
        if (Crash.Runs.size() < MaxRunsPerCrash &&
            Run.Suspects.Parts.size() <= CrashSuspects::MaxParts)
          Crash.Runs.push_back({Run.Suspects, Crash.At - Run.SentBefore});
      if (Report.Age <= Retention)
        count(std::move(Crash), false);
    }
    for (const SoundReport &Report : News.Sound)
      recordSound(Report.Suspect, Now - Report.BegunBefore, false);
    for (const RefusedSuspect &Report : News.Refused)
      received(Report);
  }

  void received(const RefusedSuspect &Report) {
    TimePoint Now = now();
    auto [Found, IsNew] = Entries_.try_emplace(Report.Suspect);
    Entry &E = Found->second;
    if (IsNew) {
      E.Scope = Report.Scope;
      E.IsWhole = Report.IsWhole;
      E.LastArrival = Now;
    }
    TimePoint First = Now - Report.SinceFirst;
    bool IsContradicted = E.SoundAt && *E.SoundAt >= First;
    if (!E.IsRefused && !IsContradicted && refusedCount() < MaxRefused) {
      E.IsRefused = true;
      E.Crashes = Report.Crashes;
      E.RefusedAt = Now;
      E.LatestCrash = Now - Report.SinceLatest;
      E.FirstCrash = First;
      report(
          changeOf(CrashChange::Kind::Refused, Report.Suspect, E, "reported"));
    }
    E.LatestCrash = std::max(E.LatestCrash, Now - Report.SinceLatest);
    TimePoint Trial = Now - Report.SinceTrial.value_or(Duration::zero());
    bool IsNewTrial = Report.SinceTrial && Report.Trials > E.Trials;
    if (!IsNewTrial)
      return;
    E.Trials = Report.Trials;
    E.LatestTrial = Trial;
    Outbox_.addForeignTrial(Report.Suspect, *Report.SinceTrial);
  }

  RefusedSuspect reportOf(CrashSuspect Suspect, const Entry &E) const {
    RefusedSuspect Report;
    Report.Suspect = Suspect;
    Report.Scope = E.Scope;
    Report.IsWhole = E.IsWhole;
    Report.Crashes = static_cast<std::uint32_t>(E.Crashes);
    Report.SinceFirst = now() - E.FirstCrash;
    Report.SinceLatest = now() - E.LatestCrash;
    Report.Trials = E.Trials;
    if (E.Trials > 0)
      Report.SinceTrial = now() - E.LatestTrial;
    return Report;
  }

  CrashNews takeNews(bool ForwardsOthers) {
    judge();
    return Outbox_.take(ForwardsOthers, now(), [this](CrashSuspect Suspect) {
      const Entry *E = find(Suspect);
      return E != nullptr && E->IsRefused ? std::optional(reportOf(Suspect, *E))
                                          : std::nullopt;
    });
  }

  CrashNews currentNews() {
    judge();
    CrashNews News;
    std::size_t Skip =
        Crashes_.size() - std::min(Crashes_.size(), MaxReportedCrashes);
    for (std::size_t I = Skip; I < Crashes_.size(); ++I)
      News.Crashes.push_back(detail::reportOf(Crashes_[I], now()));
    for (const auto &[Suspect, E] : Entries_) {
      if (E.SoundAt && !Crashes_.empty() && *E.SoundAt >= Crashes_[Skip].At)
        News.Sound.push_back({Suspect, now() - *E.SoundAt});
      if (E.IsRefused)
        News.Refused.push_back(reportOf(Suspect, E));
    }
    return News;
  }

  std::vector<EndpointKey> takeProbes() {
    std::vector<EndpointKey> Due;
    for (auto &[Key, Pending] : Pending_)
      if (!std::exchange(Pending.IsProbed, true))
        Due.push_back(Key);
    return Due;
  }

  CrashChange changeOf(CrashChange::Kind What,
                       const CountedCrash &Crash) const {
    CrashChange Change;
    Change.What = What;
    Change.Endpoint = Crash.Endpoint;
    Change.Runs = Crash.Runs.size();
    Change.Age = now() - Crash.At;
    return Change;
  }

  CrashChange changeOf(CrashChange::Kind What, CrashSuspect Suspect,
                       const Entry &E, const char *Why) const {
    CrashChange Change;
    Change.What = What;
    Change.Suspect = Suspect;
    Change.IsWhole = E.IsWhole;
    Change.Age = now() - E.LatestCrash;
    Change.Crashes = static_cast<std::uint32_t>(E.Crashes);
    Change.Arrivals = Arrivals_.count(Suspect.Value);
    Change.ScopeArrivals = Arrivals_.count(E.Scope.Value);
    Change.Trials = E.Trials;
    Change.Why = Why;
    return Change;
  }

  void report(const CrashChange &Change) const {
    if (Hooks_.Changed)
      Hooks_.Changed(Change);
  }

  Runtime Runtime_;
  Hooks Hooks_;
  /// Ordered by time.
  std::deque<CountedCrash> Crashes_;
  std::unordered_map<CrashSuspect, Entry> Entries_;
  ArrivalSketch Arrivals_;
  std::unordered_map<EndpointKey, PendingCrash> Pending_;
  bool IsChanged_ = false;
  TimePoint JudgedAt_{};
  TimePoint OldDroppedAt_{};
  detail::CrashOutbox Outbox_;
};

CrashTracker::CrashTracker(Runtime R)
    : Impl_(std::make_unique<Impl>(std::move(R))) {}
CrashTracker::~CrashTracker() = default;

void CrashTracker::setHooks(Hooks H) { Impl_->Hooks_ = std::move(H); }

void CrashTracker::recordArrival(const CrashSuspects &Request) {
  Impl_->recordArrival(Request);
}
void CrashTracker::recordBreak(const EndpointKey &Endpoint,
                               const CrashSuspects &Request, TimePoint SentAt) {
  Impl_->recordBreak(Endpoint, Request, SentAt);
}
void CrashTracker::recordAlive(const EndpointKey &Endpoint) {
  Impl_->recordAlive(Endpoint);
}
void CrashTracker::recordUnreachable(const EndpointKey &Endpoint) {
  Impl_->recordUnreachable(Endpoint);
}
void CrashTracker::recordSound(const CrashSuspects &Request,
                               TimePoint BegunAt) {
  Impl_->settle();
  Impl_->forEachSuspect(Request, [&](CrashSuspect Suspect, bool) {
    Impl_->recordSound(Suspect, BegunAt, true);
  });
}
bool CrashTracker::survives(TimePoint BegunAt) const {
  return Impl_->now() - BegunAt >= SurvivalTime;
}
std::optional<CrashVerdict> CrashTracker::check(const CrashSuspects &Request) {
  return Impl_->check(Request);
}
void CrashTracker::beginTrial(CrashSuspect Suspect) {
  Impl_->beginTrial(Suspect);
}
std::size_t CrashTracker::crashesOf(const CrashSuspects &Request) {
  Impl_->judge();
  std::size_t Most = 0;
  Impl_->forEachSuspect(Request, [&](CrashSuspect Suspect, bool) {
    if (const Entry *E = Impl_->find(Suspect))
      Most = std::max(Most, E->Crashes);
  });
  return Most;
}
void CrashTracker::received(const CrashNews &News) { Impl_->received(News); }
CrashNews CrashTracker::takeNews(bool ForwardsOthers) {
  return Impl_->takeNews(ForwardsOthers);
}
CrashNews CrashTracker::currentNews() { return Impl_->currentNews(); }
std::vector<EndpointKey> CrashTracker::takeProbes() {
  return Impl_->takeProbes();
}

} // namespace celerybeam
