#include "membership/endpointmonitor.h"

#include <algorithm>
#include <charconv>
#include <deque>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "framework/digest.h"
#include "framework/shardedmap.h"
#include "membership/internal/stragglerdetector.h"

namespace celerybeam {

namespace {

constexpr double AverageWeight = 0.2;
/// Time for which an endpoint is ejected. It doubles each time the endpoint is
/// ejected again within RelapseWindow of its last ejection or full return,
/// whichever was later.
constexpr Duration FirstEjection = std::chrono::seconds(3);
constexpr Duration LongestEjection = std::chrono::seconds(60);
constexpr Duration RelapseWindow = std::chrono::seconds(60);
constexpr double FirstReturnShare = 0.1;
constexpr double ReturnGrowth = 1.5;
/// Period after which the share of a returning endpoint without traffic grows,
/// since it has no successes that would make it grow.
constexpr Duration IdleReturnStep = std::chrono::seconds(2);
constexpr Duration MembersRefresh = std::chrono::seconds(1);
constexpr Duration PollInterval = std::chrono::milliseconds(250);
/// Reports older than this are polled again, the oldest first. The
/// limit is about the lag that reports have in any case.
constexpr Duration MaxReportAge = std::chrono::milliseconds(500);
constexpr std::size_t RememberedDispatches = 64;
constexpr int StatusUnavailable = 503;

/// State of an endpoint that the monitor needs beyond the blackboard's record.
struct Health {
  std::uint32_t Streaming = 0;
  Duration Ejection = FirstEjection;
  TimePoint EjectedAt{};
  TimePoint ClearedAt{};
  TimePoint ShareGrownAt{};
  TimePoint PolledAt{};
  /// Times of the last dispatches, oldest first.
  std::deque<TimePoint> Dispatches;
};

/// An attempt in flight, from its dispatch to its end.
struct AttemptRecord {
  EndpointId Endpoint;
  RequestClass Class = RequestClass::Short;
  TimePoint DispatchedAt{};
  TimePoint LastProgress{};
  bool Streaming = false;
};

void updateAverage(Duration &Average, Duration Sample) {
  if (Average == Duration::zero()) {
    Average = Sample;
    return;
  }
  double Next = static_cast<double>(Average.count()) * (1 - AverageWeight) +
                static_cast<double>(Sample.count()) * AverageWeight;
  Average = Duration(static_cast<Duration::rep>(Next));
}

std::optional<std::uint32_t> numberOf(std::string_view Text) {
  std::uint32_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Parsed, Failure] = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Failure != std::errc() || Parsed != End)
    return std::nullopt;
  return Value;
}

bool countsAgainst(ErrorKind Kind) {
  return Kind == ErrorKind::ConnectFailed ||
         Kind == ErrorKind::ConnectionLost ||
         Kind == ErrorKind::EndpointFailed || Kind == ErrorKind::StreamStalled;
}

} // namespace

class EndpointMonitor::Impl {
public:
  Impl(Blackboard &Board, Runtime R, EndpointHooks Hooks)
      : Board_(Board), Runtime_(std::move(R)), Hooks_(std::move(Hooks)) {}

  void dispatched(const EndpointId &Endpoint, const AttemptId &Attempt,
                  RequestClass Class);
  void firstToken(const AttemptId &Attempt);
  void progressed(const AttemptId &Attempt);
  void ended(const AttemptId &Attempt, const Result<void> &Outcome);
  void applyReport(const EndpointId &Endpoint, const LoadReport &Report,
                   bool FromHeaders);
  void applyLoadAnswer(const EndpointId &Endpoint, const LoadPage &Answer);
  void markLeaving(const EndpointId &Endpoint);
  void tick();

  Blackboard &Board_;
  Runtime Runtime_;
  EndpointHooks Hooks_;

private:
  using EndpointSample = detail::EndpointSample;

  void recordSuccess(EndpointRecord &Record,
                     const AttemptRecord &Attempt) const;
  void updateProbation(const PoolRow &Pool);
  EndpointSample sampleOf(const EndpointRecord &Record) const;
  void eject(const EndpointId &Id);
  void returnEjected(const EndpointId &Id, const detail::PoolNorm &Norm);
  void poll();
  std::optional<std::pair<EndpointId, Address>> oldestReport() const;
  std::vector<EndpointId> membersOf(const std::string &Label);
  void refreshMembers();

  ShardedMap<AttemptId, AttemptRecord> Attempts_;
  ShardedMap<EndpointId, Health> Health_;
  /// Guards the members below, which only tick uses: the live endpoints of this
  /// region by label, and the times of the last refresh and poll.
  std::mutex TickMutex_;
  std::unordered_map<std::string, std::vector<EndpointId>> Members_;
  TimePoint MembersRefreshedAt_{};
  TimePoint PolledAt_{};
};

void EndpointMonitor::Impl::dispatched(const EndpointId &Endpoint,
                                       const AttemptId &Attempt,
                                       RequestClass Class) {
  TimePoint Now = Runtime_.Now();
  if (!Attempts_.insert(Attempt, {Endpoint, Class, Now, Now, false}))
    return;
  Health_.upsert(Endpoint, [&](Health &H) {
    H.Dispatches.push_back(Now);
    if (H.Dispatches.size() > RememberedDispatches)
      H.Dispatches.pop_front();
  });
  Board_.endpoints().update(Endpoint, [&](EndpointRecord &R) {
    EndpointObservation &O = R.Observed;
    if (O.ShortInFlight + O.LongInFlight == 0)
      O.LastProgress = Now;
    ++(Class == RequestClass::Short ? O.ShortInFlight : O.LongInFlight);
    ++O.SentSinceReport;
  });
}

void EndpointMonitor::Impl::firstToken(const AttemptId &Attempt) {
  TimePoint Now = Runtime_.Now();
  EndpointId Endpoint;
  Duration Waited{};
  Attempts_.update(Attempt, [&](AttemptRecord &A) {
    if (A.Streaming)
      return;
    A.Streaming = true;
    A.LastProgress = Now;
    Endpoint = A.Endpoint;
    Waited = Now - A.DispatchedAt;
  });
  if (Endpoint.empty())
    return;
  Health_.upsert(Endpoint, [](Health &H) { ++H.Streaming; });
  Board_.endpoints().update(Endpoint, [&](EndpointRecord &R) {
    updateAverage(R.Observed.FirstToken, std::max(Waited, Duration(1)));
    R.Observed.LastProgress = Now;
  });
}

void EndpointMonitor::Impl::progressed(const AttemptId &Attempt) {
  TimePoint Now = Runtime_.Now();
  EndpointId Endpoint;
  Duration Gap{};
  Attempts_.update(Attempt, [&](AttemptRecord &A) {
    Endpoint = A.Endpoint;
    Gap = Now - std::exchange(A.LastProgress, Now);
  });
  if (Endpoint.empty())
    return;
  Board_.endpoints().update(Endpoint, [&](EndpointRecord &R) {
    updateAverage(R.Observed.TokenGap, std::max(Gap, Duration(1)));
    R.Observed.LastProgress = Now;
  });
}

void EndpointMonitor::Impl::ended(const AttemptId &Attempt,
                                  const Result<void> &Outcome) {
  std::optional<AttemptRecord> Ended = Attempts_.take(Attempt);
  if (!Ended)
    return;
  if (Ended->Streaming)
    Health_.upsert(Ended->Endpoint, [](Health &H) { --H.Streaming; });
  Board_.endpoints().update(Ended->Endpoint, [&](EndpointRecord &R) {
    EndpointObservation &O = R.Observed;
    auto &Count =
        Ended->Class == RequestClass::Short ? O.ShortInFlight : O.LongInFlight;
    Count -= Count > 0 ? 1 : 0;
    if (Outcome)
      recordSuccess(R, *Ended);
    else if (countsAgainst(Outcome.error().Kind))
      ++O.ConsecutiveFailures;
  });
  if (!Outcome && Outcome.error().Kind == ErrorKind::EndpointLeaving)
    markLeaving(Ended->Endpoint);
}

void EndpointMonitor::Impl::recordSuccess(EndpointRecord &Record,
                                          const AttemptRecord &Attempt) const {
  EndpointObservation &O = Record.Observed;
  updateAverage(O.Service, Runtime_.Now() - Attempt.DispatchedAt);
  O.ConsecutiveFailures = 0;
  if (Record.Probation == ProbationState::Returning)
    Record.ReturnShare = std::min(1.0, Record.ReturnShare * ReturnGrowth);
}

void EndpointMonitor::Impl::applyReport(const EndpointId &Endpoint,
                                        const LoadReport &Report,
                                        bool FromHeaders) {
  std::uint32_t SentSince = 0;
  Health_.upsert(Endpoint, [&](Health &H) {
    SentSince = static_cast<std::uint32_t>(
        std::count_if(H.Dispatches.begin(), H.Dispatches.end(),
                      [&](TimePoint At) { return At > Report.MeasuredAt; }));
  });
  Board_.endpoints().update(Endpoint, [&](EndpointRecord &R) {
    if (Report.MeasuredAt < R.Report.MeasuredAt)
      return;
    // Response headers do not report the cache use.
    double CacheUse = FromHeaders ? R.Report.CacheUse : Report.CacheUse;
    R.Report = Report;
    R.Report.CacheUse = CacheUse;
    R.Observed.SentSinceReport = SentSince;
  });
}

void EndpointMonitor::Impl::markLeaving(const EndpointId &Endpoint) {
  Board_.endpoints().update(Endpoint, [](EndpointRecord &R) {
    if (R.State == EndpointState::Live)
      R.State = EndpointState::Leaving;
  });
}

void EndpointMonitor::Impl::applyLoadAnswer(const EndpointId &Endpoint,
                                            const LoadPage &Answer) {
  Board_.endpoints().update(
      Endpoint, [&](EndpointRecord &R) { R.Loaded = Answer.Loaded; });
  if (Answer.Leaving)
    markLeaving(Endpoint);
}

void EndpointMonitor::Impl::tick() {
  std::lock_guard Lock(TickMutex_);
  refreshMembers();
  TablesSnapshot Tables = Board_.tables();
  for (const PoolRow &Pool : Tables->Pools)
    updateProbation(Pool);
  poll();
}

void EndpointMonitor::Impl::refreshMembers() {
  TimePoint Now = Runtime_.Now();
  if (!Members_.empty() && Now - MembersRefreshedAt_ < MembersRefresh)
    return;
  MembersRefreshedAt_ = Now;
  Members_.clear();
  Board_.endpoints().forEach(
      [&](const EndpointId &Id, const EndpointRecord &R) {
        if (R.Descriptor.Region == Board_.self().Region &&
            R.State == EndpointState::Live)
          Members_[R.Descriptor.Label].push_back(Id);
      });
  for (auto &[Label, Ids] : Members_)
    std::sort(Ids.begin(), Ids.end());
}

std::vector<EndpointId>
EndpointMonitor::Impl::membersOf(const std::string &Label) {
  auto It = Members_.find(Label);
  return It == Members_.end() ? std::vector<EndpointId>() : It->second;
}

detail::EndpointSample
EndpointMonitor::Impl::sampleOf(const EndpointRecord &Record) const {
  const EndpointObservation &O = Record.Observed;
  EndpointSample Sample;
  Sample.Id = Record.Descriptor.Id;
  Sample.Probation = Record.Probation;
  Sample.FirstToken = O.FirstToken;
  Sample.TokenGap = O.TokenGap;
  Sample.ConsecutiveFailures = O.ConsecutiveFailures;
  if (O.ShortInFlight + O.LongInFlight > 0)
    Sample.SinceProgress = Runtime_.Now() - O.LastProgress;
  return Sample;
}

void EndpointMonitor::Impl::updateProbation(const PoolRow &Pool) {
  std::vector<EndpointSample> Samples;
  for (const EndpointId &Id : membersOf(Pool.Label))
    Board_.endpoints().update(Id, [&](EndpointRecord &R) {
      if (R.State == EndpointState::Live)
        Samples.push_back(sampleOf(R));
    });
  for (EndpointSample &S : Samples)
    Health_.upsert(S.Id, [&](Health &H) { S.Streaming = H.Streaming > 0; });
  detail::PoolNorm Norm = detail::poolNorm(Samples);
  for (const EndpointId &Id :
       detail::pickStragglers(Samples, Norm, Pool.EjectionCap))
    eject(Id);
  for (const EndpointSample &S : Samples)
    if (S.Probation != ProbationState::Clear)
      returnEjected(S.Id, Norm);
}

void EndpointMonitor::Impl::eject(const EndpointId &Id) {
  TimePoint Now = Runtime_.Now();
  Health_.upsert(Id, [&](Health &H) {
    bool Relapsed = H.EjectedAt != TimePoint() &&
                    Now - std::max(H.ClearedAt, H.EjectedAt) < RelapseWindow;
    H.Ejection =
        Relapsed ? std::min(H.Ejection * 2, LongestEjection) : FirstEjection;
    H.EjectedAt = Now;
  });
  Board_.endpoints().update(Id, [](EndpointRecord &R) {
    R.Probation = ProbationState::Ejected;
    R.ReturnShare = FirstReturnShare;
  });
}

void EndpointMonitor::Impl::returnEjected(const EndpointId &Id,
                                          const detail::PoolNorm &Norm) {
  TimePoint Now = Runtime_.Now();
  bool EjectionOver = false;
  bool IdleStep = false;
  Health_.upsert(Id, [&](Health &H) {
    EjectionOver = Now - H.EjectedAt >= H.Ejection;
    IdleStep = EjectionOver && Now - H.ShareGrownAt >= IdleReturnStep;
    if (IdleStep)
      H.ShareGrownAt = Now;
  });
  bool Cleared = false;
  Board_.endpoints().update(Id, [&](EndpointRecord &R) {
    EndpointObservation &O = R.Observed;
    if (R.Probation == ProbationState::Ejected && EjectionOver) {
      R.Probation = ProbationState::Returning;
      // With its old samples the endpoint would be ejected again before it has
      // served a request.
      O.FirstToken = Norm.FirstToken;
      O.TokenGap = Norm.TokenGap;
      O.LastProgress = Now;
      O.ConsecutiveFailures = 0;
      return;
    }
    if (R.Probation != ProbationState::Returning)
      return;
    if (IdleStep && O.ShortInFlight + O.LongInFlight == 0)
      R.ReturnShare = std::min(1.0, R.ReturnShare * ReturnGrowth);
    Cleared = R.ReturnShare >= 1;
    if (Cleared)
      R.Probation = ProbationState::Clear;
  });
  if (Cleared)
    Health_.upsert(Id, [&](Health &H) { H.ClearedAt = Now; });
}

std::optional<std::pair<EndpointId, Address>>
EndpointMonitor::Impl::oldestReport() const {
  TimePoint Now = Runtime_.Now();
  TimePoint Oldest = Now - MaxReportAge;
  std::optional<std::pair<EndpointId, Address>> Found;
  for (const auto &[Label, Ids] : Members_) {
    for (const EndpointId &Id : Ids) {
      std::optional<Health> H = Health_.find(Id);
      std::optional<EndpointRecord> R = Board_.endpoints().find(Id);
      if (!R || R->State != EndpointState::Live)
        continue;
      TimePoint Last = R->Report.MeasuredAt;
      if (H)
        Last = std::max(Last, H->PolledAt);
      if (Last >= Oldest)
        continue;
      Oldest = Last;
      Found.emplace(Id, R->Descriptor.Where);
    }
  }
  return Found;
}

void EndpointMonitor::Impl::poll() {
  TimePoint Now = Runtime_.Now();
  if (!Hooks_.FetchLoad || Now - PolledAt_ < PollInterval)
    return;
  PolledAt_ = Now;
  auto Next = oldestReport();
  if (!Next)
    return;
  Health_.upsert(Next->first, [&](Health &H) { H.PolledAt = Now; });
  Hooks_.FetchLoad(Next->first, Next->second,
                   [this, Id = Next->first](const Result<LoadPage> &Answer) {
                     if (!Answer)
                       return;
                     applyReport(Id, Answer->Report, false);
                     applyLoadAnswer(Id, *Answer);
                   });
}

EndpointMonitor::EndpointMonitor(Blackboard &Board, Runtime R,
                                 EndpointHooks Hooks)
    : Impl_(std::make_unique<Impl>(Board, std::move(R), std::move(Hooks))) {}
EndpointMonitor::~EndpointMonitor() = default;

void EndpointMonitor::dispatched(const EndpointId &Endpoint,
                                 const AttemptId &Attempt, RequestClass Class) {
  Impl_->dispatched(Endpoint, Attempt, Class);
}

void EndpointMonitor::firstToken(const EndpointId & /*Endpoint*/,
                                 const AttemptId &Attempt) {
  Impl_->firstToken(Attempt);
}

void EndpointMonitor::progressed(const EndpointId & /*Endpoint*/,
                                 const AttemptId &Attempt) {
  Impl_->progressed(Attempt);
}

void EndpointMonitor::ended(const EndpointId & /*Endpoint*/,
                            const AttemptId &Attempt,
                            const Result<void> &Outcome) {
  Impl_->ended(Attempt, Outcome);
}

void EndpointMonitor::responseHead(const EndpointId &Endpoint,
                                   const ResponseHead &Head) {
  if (Head.Status == StatusUnavailable &&
      findHeader(Head.Headers, "x-endpoint-leaving") == "1") {
    Impl_->markLeaving(Endpoint);
    return;
  }
  auto Running = numberOf(findHeader(Head.Headers, "x-load-running"));
  auto Waiting = numberOf(findHeader(Head.Headers, "x-load-waiting"));
  if (!Running || !Waiting)
    return;
  auto Lag = numberOf(findHeader(Head.Headers, "x-load-lag-ms")).value_or(0);
  LoadReport Report;
  Report.MeasuredAt = Impl_->Runtime_.Now() - std::chrono::milliseconds(Lag);
  Report.Running = *Running;
  Report.Waiting = *Waiting;
  Impl_->applyReport(Endpoint, Report, true);
}

void EndpointMonitor::reported(const EndpointId &Endpoint,
                               const LoadPage &Answer) {
  Impl_->applyReport(Endpoint, Answer.Report, false);
  Impl_->applyLoadAnswer(Endpoint, Answer);
}

void EndpointMonitor::tick() { Impl_->tick(); }

} // namespace celerybeam
