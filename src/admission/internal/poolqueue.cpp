#include "admission/internal/poolqueue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace celerybeam::detail {

namespace {

/// Mean service times before any request has ended, in seconds.
constexpr double AssumedShortSeconds = 1;
constexpr double AssumedLongSeconds = 8;
/// Weight of the newest service time in the average, once as many are known.
constexpr double NewestWeight = 0.05;
/// Part of the time before the latest start that a request may be predicted
/// to wait, in percent.
constexpr int WaitPercent = 50;
/// Share of the window, over time, that long drafts keep while short questions
/// wait.
constexpr double LongFloor = 0.1;
/// Time constant of the observed rate of short questions.
constexpr double RateSeconds = 5;
/// Requests that may wait, as a multiple of the window.
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

QueueVerdicts PoolQueue::submit(const AdmissionRequest &Request,
                                TimePoint Now) {
  std::lock_guard Lock(Mutex_);
  QueueVerdicts Verdicts;
  if (Request.Class == RequestClass::Short)
    observeShort(Now);
  Duration Wait = predictedWait(Request.Class, Request.Customer);
  // Predictions err: a wait that would take up most of the time there is ends
  // in a refusal too often, and late.
  Duration Spare =
      (Request.Deadline - Now - minService(Request.Class)) * WaitPercent / 100 -
      Wait;
  bool Waits = Admitted_.size() >= limit() || Wait > Duration(0);
  if (Waits && Spare < Duration(0)) {
    Verdicts.Refused.push_back({Request.Request, lateError(-Spare)});
    return Verdicts;
  }
  state(Request.Class)
      .Waiting.push({Request.Request, Request.Customer, Request.Deadline, Now,
                     1. + Request.Tokens});
  admitWhileFree(Now, Verdicts);
  shedOverflow(Verdicts);
  return Verdicts;
}

QueueVerdicts PoolQueue::finished(const RequestId &Request, TimePoint Now) {
  std::lock_guard Lock(Mutex_);
  QueueVerdicts Verdicts;
  release(Request, Now, true);
  admitWhileFree(Now, Verdicts);
  return Verdicts;
}

QueueVerdicts PoolQueue::cancel(const RequestId &Request, TimePoint Now) {
  std::lock_guard Lock(Mutex_);
  QueueVerdicts Verdicts;
  Short_.Waiting.remove(Request);
  Long_.Waiting.remove(Request);
  release(Request, Now, false);
  admitWhileFree(Now, Verdicts);
  return Verdicts;
}

QueueVerdicts PoolQueue::tick(const PoolWindow &Window, TimePoint Now) {
  std::lock_guard Lock(Mutex_);
  QueueVerdicts Verdicts;
  Window_ = Window;
  refuseLate(RequestClass::Short, Now, Verdicts);
  refuseLate(RequestClass::Long, Now, Verdicts);
  admitWhileFree(Now, Verdicts);
  return Verdicts;
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
      static_cast<double>((Now - Node.mapped().At).count()) / MicrosPerSecond;
  S.observeService(Seconds);
}

// The first times make a plain mean: with the weight of later ones, the assumed
// time would hold on for dozens of requests.
void PoolQueue::ClassState::observeService(double Seconds) {
  double Weight = std::max(NewestWeight, 1.0 / ++Served);
  double Off = Served == 1 ? 0 : std::abs(Seconds - ServiceSeconds);
  ServiceSeconds += Weight * (Seconds - ServiceSeconds);
  ServiceDeviation += Weight * (Off - ServiceDeviation);
}

std::uint32_t PoolQueue::limit() const { return Window_.Base + Window_.Extra; }

// A draft holds its slot many times longer than a question: the slots that the
// questions need, with room for their bursts, are kept free of drafts.
double PoolQueue::longLimit() const {
  double ForShort = ShortRate_ * Short_.ServiceSeconds;
  double Left = limit() - ForShort - std::sqrt(ForShort);
  double Most = std::floor(Window_.LongShare * limit());
  return std::max(1., std::min(Left, Most));
}

void PoolQueue::observeShort(TimePoint Now) {
  double Elapsed =
      static_cast<double>((Now - ShortSeenAt_).count()) / MicrosPerSecond;
  ShortRate_ = ShortRate_ * std::exp(-Elapsed / RateSeconds) + 1 / RateSeconds;
  ShortSeenAt_ = Now;
}

double PoolQueue::releasesPerSecond(RequestClass Class) const {
  double Long = Long_.Admitted / std::max(Long_.ServiceSeconds, 1e-3);
  if (Class == RequestClass::Long)
    return Short_.Waiting.empty() && Long_.Admitted > 0
               ? Long
               : LongFloor * limit() / Long_.ServiceSeconds;
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

// The time that shorter requests take: where lengths differ little, admitting
// one with less time left only wastes its slot.
Duration PoolQueue::minService(RequestClass Class) {
  const ClassState &S = state(Class);
  return fromSeconds(std::max(0., S.ServiceSeconds - S.ServiceDeviation));
}

// A small window has room for whole drafts only; admitting them at intervals
// holds the floor over time.
Duration PoolQueue::floorInterval() const {
  return fromSeconds(Long_.ServiceSeconds / (LongFloor * limit()));
}

std::optional<RequestClass> PoolQueue::nextClass(TimePoint Now) const {
  bool LongMay = !Long_.Waiting.empty() && Long_.Admitted < longLimit();
  if (LongMay && Now - LongAdmittedAt_ >= floorInterval())
    return RequestClass::Long;
  if (!Short_.Waiting.empty())
    return RequestClass::Short;
  if (LongMay)
    return RequestClass::Long;
  return std::nullopt;
}

void PoolQueue::admitWhileFree(TimePoint Now, QueueVerdicts &Verdicts) {
  while (Admitted_.size() < limit()) {
    std::optional<RequestClass> Class = nextClass(Now);
    if (!Class)
      return;
    WaitingRequest Next = *state(*Class).Waiting.pop();
    Duration Spare = Next.Deadline - Now - minService(*Class);
    bool HasWaited = Next.EnqueuedAt < Now;
    if (HasWaited && Spare < Duration(0))
      Verdicts.Refused.push_back(
          {Next.Request, lateError(predictedWait(*Class, Next.Customer))});
    else
      admit(Next.Request, *Class, Now, Verdicts);
  }
}

void PoolQueue::admit(const RequestId &Request, RequestClass Class,
                      TimePoint Now, QueueVerdicts &Verdicts) {
  Admitted_.insert_or_assign(Request, AdmittedRequest{Class, Now});
  ++state(Class).Admitted;
  if (Class == RequestClass::Long)
    LongAdmittedAt_ = Now;
  Verdicts.Admitted.push_back(Request);
}

void PoolQueue::shedOverflow(QueueVerdicts &Verdicts) {
  std::size_t Limit = std::max(MinWaitingLimit, WaitingPerSlot * Window_.Base);
  while (Short_.Waiting.size() + Long_.Waiting.size() > Limit) {
    RequestClass Class =
        Long_.Waiting.empty() ? RequestClass::Short : RequestClass::Long;
    std::optional<WaitingRequest> Shed = state(Class).Waiting.shed();
    Verdicts.Refused.push_back({Shed->Request, shedError(Class)});
  }
}

void PoolQueue::refuseLate(RequestClass Class, TimePoint Now,
                           QueueVerdicts &Verdicts) {
  Duration Needed = minService(Class);
  for (WaitingRequest &W : state(Class).Waiting.removeDueBefore(Now + Needed))
    Verdicts.Refused.push_back(
        {W.Request, lateError(predictedWait(Class, W.Customer))});
}

Error PoolQueue::lateError(Duration Wait) const {
  return {ErrorKind::NoCapacityInTime,
          "Pool " + Pool_.str() +
              " cannot serve the request within its deadline; try again after "
              "the stated time, or allow more time.",
          retryAfter(Wait)};
}

Error PoolQueue::shedError(RequestClass Class) {
  double Waiting = static_cast<double>(state(Class).Waiting.size() + 1);
  return {ErrorKind::Overloaded,
          "Too many requests wait for pool " + Pool_.str() +
              "; try again after the stated time.",
          retryAfter(fromSeconds(Waiting / releasesPerSecond(Class)))};
}

Duration PoolQueue::waitOf(RequestClass Class,
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

AdmissionController::PoolView PoolQueue::view(TimePoint Now) const {
  std::lock_guard Lock(Mutex_);
  AdmissionController::PoolView View;
  View.Admitted = static_cast<std::uint32_t>(Admitted_.size());
  View.Waiting =
      static_cast<std::uint32_t>(Short_.Waiting.size() + Long_.Waiting.size());
  for (const ClassState *S : {&Short_, &Long_})
    if (auto Oldest = S->Waiting.oldest())
      View.OldestWait = std::max(View.OldestWait, Now - *Oldest);
  return View;
}

Duration PoolQueue::meanService(RequestClass Class) const {
  std::lock_guard Lock(Mutex_);
  return fromSeconds(state(Class).ServiceSeconds);
}

} // namespace celerybeam::detail
