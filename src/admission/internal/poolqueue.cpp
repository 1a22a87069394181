#include "admission/internal/poolqueue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace celerybeam::detail {

namespace {

/// Mean service times assumed until a request has ended, in seconds.
constexpr double AssumedShortSeconds = 1;
constexpr double AssumedLongSeconds = 8;
/// Weight of the newest service time in the average, once 1 / NewestWeight
/// times are known.
constexpr double NewestWeight = 0.05;
/// Percentage of the time until its latest start that a request may be
/// predicted to wait.
constexpr int WaitPercent = 50;
/// Share of the window, over time, that long requests keep while short requests
/// are queued.
constexpr double MinLongShare = 0.1;
/// Time constant of the observed arrival rate of short requests, in seconds.
constexpr double RateSeconds = 5;
/// Maximum of queued requests, as a multiple of the window's Base.
constexpr std::uint32_t WaitingPerSlot = 8;
constexpr std::uint32_t MinWaitingLimit = 64;
constexpr std::chrono::milliseconds MinRetryAfter{50};

constexpr double MicrosPerSecond = 1e6;

Duration fromSeconds(double Seconds) {
  return Duration(static_cast<Duration::rep>(Seconds * MicrosPerSecond));
}

std::chrono::milliseconds retryAfter(Duration D) {
  return std::max(MinRetryAfter,
                  std::chrono::ceil<std::chrono::milliseconds>(D));
}

} // namespace

PoolQueue::PoolQueue(PoolName Pool)
    : Pool_(std::move(Pool)), Short_{{}, 0, AssumedShortSeconds},
      Long_{{}, 0, AssumedLongSeconds} {}

QueueDecisions PoolQueue::submit(const AdmissionRequest &Request,
                                 TimePoint Now) {
  std::lock_guard Lock(Mutex_);
  QueueDecisions Decisions;
  if (Request.Class == RequestClass::Short)
    observeShortArrival(Now);
  Duration Wait = predictedWait(Request.Class, Request.Customer);
  // Predictions are imprecise. A request that is predicted to wait for most of
  // the time available is refused too often in the end, and late.
  Duration Slack = (Request.Deadline - Now - minServiceTime(Request.Class)) *
                       WaitPercent / 100 -
                   Wait;
  bool MustWait = Admitted_.size() >= limit() || Wait > Duration(0);
  if (MustWait && Slack < Duration(0)) {
    Decisions.Refused.push_back({Request.Request, noCapacityError(-Slack)});
    return Decisions;
  }
  state(Request.Class)
      .Waiting.push({Request.Request, Request.Customer, Request.Deadline, Now,
                     1. + Request.Tokens});
  admitWhileFree(Now, Decisions);
  shedOverflow(Decisions);
  return Decisions;
}

QueueDecisions PoolQueue::finished(const RequestId &Request, TimePoint Now) {
  std::lock_guard Lock(Mutex_);
  QueueDecisions Decisions;
  release(Request, Now, true);
  admitWhileFree(Now, Decisions);
  return Decisions;
}

QueueDecisions PoolQueue::cancel(const RequestId &Request, TimePoint Now) {
  std::lock_guard Lock(Mutex_);
  QueueDecisions Decisions;
  Short_.Waiting.remove(Request);
  Long_.Waiting.remove(Request);
  release(Request, Now, false);
  admitWhileFree(Now, Decisions);
  return Decisions;
}

QueueDecisions PoolQueue::tick(const PoolWindow &Window, TimePoint Now) {
  std::lock_guard Lock(Mutex_);
  QueueDecisions Decisions;
  Window_ = Window;
  refuseUnservable(RequestClass::Short, Now, Decisions);
  refuseUnservable(RequestClass::Long, Now, Decisions);
  admitWhileFree(Now, Decisions);
  return Decisions;
}

void PoolQueue::release(const RequestId &Request, TimePoint Now, bool Served) {
  auto Node = Admitted_.extract(Request);
  if (Node.empty())
    return;
  ClassState &S = state(Node.mapped().Class);
  --S.Admitted;
  if (!Served)
    return;
  double Seconds =
      static_cast<double>((Now - Node.mapped().AdmittedAt).count()) /
      MicrosPerSecond;
  S.observeServiceTime(Seconds);
}

// The first service times are averaged with equal weight. With the weight of
// later ones, the assumed time would dominate for dozens of requests.
void PoolQueue::ClassState::observeServiceTime(double Seconds) {
  double Weight = std::max(NewestWeight, 1.0 / ++Served);
  double Deviation = Served == 1 ? 0 : std::abs(Seconds - ServiceSeconds);
  ServiceSeconds += Weight * (Seconds - ServiceSeconds);
  ServiceDeviation += Weight * (Deviation - ServiceDeviation);
}

std::uint32_t PoolQueue::limit() const { return Window_.Base + Window_.Extra; }

// A long request occupies its slot many times longer than a short one, so the
// slots that short requests need, including their bursts, stay free of long
// requests.
double PoolQueue::longLimit() const {
  double SlotsForShort = ShortRate_ * Short_.ServiceSeconds;
  double FreeForLong = limit() - SlotsForShort - std::sqrt(SlotsForShort);
  double MaxLong = std::floor(Window_.LongShare * limit());
  return std::max(1., std::min(FreeForLong, MaxLong));
}

void PoolQueue::observeShortArrival(TimePoint Now) {
  double Elapsed =
      static_cast<double>((Now - LastShortAt_).count()) / MicrosPerSecond;
  ShortRate_ = ShortRate_ * std::exp(-Elapsed / RateSeconds) + 1 / RateSeconds;
  LastShortAt_ = Now;
}

double PoolQueue::releasesPerSecond(RequestClass Class) const {
  double Long = Long_.Admitted / std::max(Long_.ServiceSeconds, 1e-3);
  if (Class == RequestClass::Long)
    return Short_.Waiting.empty() && Long_.Admitted > 0
               ? Long
               : MinLongShare * limit() / Long_.ServiceSeconds;
  double Short = Short_.Admitted / std::max(Short_.ServiceSeconds, 1e-3);
  return std::max(Short + Long, 1e-3);
}

Duration PoolQueue::predictedWait(RequestClass Class,
                                  const CustomerId &Customer) const {
  bool Free = Admitted_.size() < limit() &&
              (Class == RequestClass::Short || Long_.Admitted < longLimit());
  std::size_t Ahead = state(Class).Waiting.ahead(Customer);
  if (Free && Ahead == 0)
    return Duration(0);
  return fromSeconds(static_cast<double>(Ahead + 1) / releasesPerSecond(Class));
}

// The service time of the shorter requests, one deviation below the mean. Where
// service times differ little, a request admitted with less time left would
// only waste its slot.
Duration PoolQueue::minServiceTime(RequestClass Class) {
  const ClassState &S = state(Class);
  return fromSeconds(std::max(0., S.ServiceSeconds - S.ServiceDeviation));
}

// A small window has slots for whole long requests only. Admitting one at this
// interval gives long requests their minimum share over time.
Duration PoolQueue::minLongInterval() const {
  return fromSeconds(Long_.ServiceSeconds / (MinLongShare * limit()));
}

std::optional<RequestClass> PoolQueue::nextClass(TimePoint Now) const {
  bool LongAllowed = !Long_.Waiting.empty() && Long_.Admitted < longLimit();
  if (LongAllowed && Now - LongAdmittedAt_ >= minLongInterval())
    return RequestClass::Long;
  if (!Short_.Waiting.empty())
    return RequestClass::Short;
  if (LongAllowed)
    return RequestClass::Long;
  return std::nullopt;
}

void PoolQueue::admitWhileFree(TimePoint Now, QueueDecisions &Decisions) {
  while (Admitted_.size() < limit()) {
    std::optional<RequestClass> Class = nextClass(Now);
    if (!Class)
      return;
    WaitingRequest Next = *state(*Class).Waiting.pop();
    Duration Slack = Next.Deadline - Now - minServiceTime(*Class);
    bool HasWaited = Next.EnqueuedAt < Now;
    if (HasWaited && Slack < Duration(0))
      Decisions.Refused.push_back({Next.Request, noCapacityError(predictedWait(
                                                     *Class, Next.Customer))});
    else
      admit(Next.Request, *Class, Now, Decisions);
  }
}

void PoolQueue::admit(const RequestId &Request, RequestClass Class,
                      TimePoint Now, QueueDecisions &Decisions) {
  Admitted_.insert_or_assign(Request, AdmittedRequest{Class, Now});
  ++state(Class).Admitted;
  if (Class == RequestClass::Long)
    LongAdmittedAt_ = Now;
  Decisions.Admitted.push_back(Request);
}

void PoolQueue::shedOverflow(QueueDecisions &Decisions) {
  std::size_t Limit = std::max(MinWaitingLimit, WaitingPerSlot * Window_.Base);
  while (Short_.Waiting.size() + Long_.Waiting.size() > Limit) {
    RequestClass Class =
        Long_.Waiting.empty() ? RequestClass::Short : RequestClass::Long;
    std::optional<WaitingRequest> Shed = state(Class).Waiting.shed();
    Decisions.Refused.push_back({Shed->Request, overloadedError(Class)});
  }
}

void PoolQueue::refuseUnservable(RequestClass Class, TimePoint Now,
                                 QueueDecisions &Decisions) {
  Duration Needed = minServiceTime(Class);
  for (WaitingRequest &W : state(Class).Waiting.removeDueBefore(Now + Needed))
    Decisions.Refused.push_back(
        {W.Request, noCapacityError(predictedWait(Class, W.Customer))});
}

Error PoolQueue::noCapacityError(Duration Wait) const {
  return {ErrorKind::NoCapacityInTime,
          "Pool " + Pool_.str() +
              " cannot serve the request within its deadline; try again after "
              "the stated time, or allow more time.",
          retryAfter(Wait)};
}

Error PoolQueue::overloadedError(RequestClass Class) {
  double Waiting = static_cast<double>(state(Class).Waiting.size() + 1);
  return {ErrorKind::Overloaded,
          "Too many requests wait for pool " + Pool_.str() +
              "; try again after the stated time.",
          retryAfter(fromSeconds(Waiting / releasesPerSecond(Class)))};
}

Duration PoolQueue::expectedWait(RequestClass Class,
                                 const CustomerId &Customer) const {
  std::lock_guard Lock(Mutex_);
  return predictedWait(Class, Customer);
}

std::uint32_t PoolQueue::admitted() const {
  std::lock_guard Lock(Mutex_);
  return static_cast<std::uint32_t>(Admitted_.size());
}

bool PoolQueue::isFull() const {
  std::lock_guard Lock(Mutex_);
  return Admitted_.size() >= limit() &&
         !(Short_.Waiting.empty() && Long_.Waiting.empty());
}

AdmissionController::PoolStats PoolQueue::poolStats(TimePoint Now) const {
  std::lock_guard Lock(Mutex_);
  AdmissionController::PoolStats View;
  View.Admitted = static_cast<std::uint32_t>(Admitted_.size());
  View.Waiting =
      static_cast<std::uint32_t>(Short_.Waiting.size() + Long_.Waiting.size());
  for (const ClassState *S : {&Short_, &Long_})
    if (auto Oldest = S->Waiting.oldestArrival())
      View.OldestWait = std::max(View.OldestWait, Now - *Oldest);
  return View;
}

Duration PoolQueue::meanServiceTime(RequestClass Class) const {
  std::lock_guard Lock(Mutex_);
  return fromSeconds(state(Class).ServiceSeconds);
}

} // namespace celerybeam::detail
