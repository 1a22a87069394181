#include "configuration/internal/headwatch.h"

#include <algorithm>
#include <utility>

#include "configuration/internal/storeretry.h"

namespace celerybeam::detail {

namespace {

constexpr Duration FirstRetry = std::chrono::milliseconds(200);
constexpr Duration GreatestRetry = std::chrono::seconds(5);
// Keeps a store that answers watches at once from being called in a loop.
constexpr Duration LeastWait = std::chrono::milliseconds(200);
// Wait before a store without tables is asked again.
constexpr Duration EmptyWait = std::chrono::seconds(1);
// Time beyond the watch's own wait after which no answer is expected.
constexpr Duration AnswerMargin = std::chrono::seconds(10);
constexpr double LeastPauseFactor = 0.5;

double drawPauseFactor(const Runtime &R) {
  constexpr std::uint64_t Steps = 1024;
  return LeastPauseFactor +
         static_cast<double>(R.Random() % Steps) / static_cast<double>(Steps);
}

} // namespace

HeadWatch::HeadWatch(StoreHooks Store, Runtime R,
                     std::function<Revision()> InForce,
                     std::function<void(TablesRevision)> Take)
    : Store_(std::move(Store)), Runtime_(std::move(R)),
      InForce_(std::move(InForce)), Take_(std::move(Take)) {}

void HeadWatch::tick(ReadPace Pace, Duration Pause) {
  StoreVersion After = 0;
  CallNumber Number = 0;
  {
    std::lock_guard Lock(Mutex_);
    TimePoint Now = Runtime_.Now();
    if (!isDueLocked(Now, Pace, Pause))
      return;
    IsBusy_ = HasCalled_ = true;
    Number = ++Current_;
    GiveUpAt_ = Now + WatchWait + AnswerMargin;
    After = Version_;
  }
  call(Pace, After, Number);
}

bool HeadWatch::isDueLocked(TimePoint Now, ReadPace Pace,
                            Duration Pause) const {
  if (IsBusy_)
    return Now >= GiveUpAt_;
  if (!HasCalled_)
    return true;
  Duration Wait = Wait_;
  if (Pace == ReadPace::Paused)
    Wait = std::max(Wait,
                    std::chrono::duration_cast<Duration>(Pause * PauseFactor_));
  return Now - LastEnd_ >= Wait;
}

void HeadWatch::call(ReadPace Pace, StoreVersion After, CallNumber Number) {
  auto OnAnswer = [Weak = weak_from_this(), Number](Result<StoreValue> Answer) {
    if (auto Self = Weak.lock())
      Self->takeHead(Number, std::move(Answer));
  };
  if (Pace == ReadPace::Watch && After != 0)
    Store_.Watch({headKey(), After, WatchWait}, std::move(OnAnswer));
  else
    Store_.Get(headKey(), std::move(OnAnswer));
}

void HeadWatch::takeHead(CallNumber Number, Result<StoreValue> Answer) {
  bool IsEmpty = !Answer && Answer.error().Kind == ErrorKind::NotFound;
  if (!Answer && !IsEmpty)
    return end(Number, false);
  Result<ConfigurationHead> Head = ConfigurationHead();
  if (Answer)
    Head = decodeHead(Answer->Data);
  {
    std::lock_guard Lock(Mutex_);
    IsEmpty_ = IsEmpty;
    if (Answer)
      Version_ = std::max(Version_, Answer->Version);
  }
  if (!Head)
    return end(Number, false);
  if (Head->Current.Number <= InForce_())
    return end(Number, true);
  readRecord(Number, Head->Current.Record);
}

void HeadWatch::readRecord(CallNumber Number, const ChunkId &Record) {
  std::shared_ptr<const ChunkCache> Cache;
  {
    std::lock_guard Lock(Mutex_);
    Cache = Cache_;
  }
  readRevision(Store_, Record, std::move(Cache),
               [Weak = weak_from_this(), Number](Result<ReadRevision> Answer) {
                 if (auto Self = Weak.lock())
                   Self->takeRevision(Number, std::move(Answer));
               });
}

void HeadWatch::takeRevision(CallNumber Number, Result<ReadRevision> Answer) {
  if (Answer) {
    {
      std::lock_guard Lock(Mutex_);
      Cache_ = Answer->Chunks;
    }
    Take_(std::move(Answer->Content));
  } else {
    // The next call reads the head again rather than wait for a newer one.
    std::lock_guard Lock(Mutex_);
    Version_ = 0;
  }
  end(Number, Answer.has_value());
}

void HeadWatch::end(CallNumber Number, bool Succeeded) {
  std::lock_guard Lock(Mutex_);
  if (Number != Current_)
    return;
  IsBusy_ = false;
  LastEnd_ = Runtime_.Now();
  PauseFactor_ = drawPauseFactor(Runtime_);
  if (Succeeded) {
    Failures_ = 0;
    Wait_ = IsEmpty_ ? EmptyWait : LeastWait;
    return;
  }
  Wait_ = backOff(Runtime_, Failures_++, FirstRetry, GreatestRetry);
}

bool HeadWatch::storeIsEmpty() const {
  std::lock_guard Lock(Mutex_);
  return IsEmpty_;
}

} // namespace celerybeam::detail
