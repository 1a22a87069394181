#include "configuration/internal/headwatcher.h"

#include <algorithm>
#include <utility>

#include "configuration/internal/storeretry.h"

namespace celerybeam::detail {

namespace {

constexpr Duration FirstRetry = std::chrono::milliseconds(200);
constexpr Duration MaxRetry = std::chrono::seconds(5);
// Wait after a successful call. It prevents a busy loop with a store that
// replies to watches immediately.
constexpr Duration MinWait = std::chrono::milliseconds(200);
// Wait before a store without tables is read again.
constexpr Duration EmptyWait = std::chrono::seconds(1);
// Time beyond the watch's own wait after which no reply is expected.
constexpr Duration ReplyMargin = std::chrono::seconds(10);
constexpr double MinPauseFactor = 0.5;

double drawPauseFactor(const Runtime &R) {
  constexpr std::uint64_t Steps = 1024;
  return MinPauseFactor +
         static_cast<double>(R.Random() % Steps) / static_cast<double>(Steps);
}

} // namespace

HeadWatcher::HeadWatcher(StoreHooks Store, Runtime R,
                         std::function<Revision()> InForce,
                         std::function<void(TablesRevision)> OnRevision)
    : Store_(std::move(Store)), Runtime_(std::move(R)),
      InForce_(std::move(InForce)), OnRevision_(std::move(OnRevision)) {}

void HeadWatcher::tick(ReadPace Pace, Duration Pause) {
  StoreVersion After = 0;
  CallNumber Number = 0;
  {
    std::lock_guard Lock(Mutex_);
    TimePoint Now = Runtime_.Now();
    if (!isDueLocked(Now, Pace, Pause))
      return;
    IsBusy_ = HasCalled_ = true;
    Number = ++Current_;
    GiveUpAt_ = Now + WatchWait + ReplyMargin;
    After = Version_;
  }
  call(Pace, After, Number);
}

bool HeadWatcher::isDueLocked(TimePoint Now, ReadPace Pace,
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

void HeadWatcher::call(ReadPace Pace, StoreVersion After, CallNumber Number) {
  auto OnReply = [Weak = weak_from_this(), Number](Result<StoreValue> Reply) {
    if (auto Self = Weak.lock())
      Self->takeHead(Number, std::move(Reply));
  };
  if (Pace == ReadPace::Watch && After != 0)
    Store_.Watch({headKey(), After, WatchWait}, std::move(OnReply));
  else
    Store_.Get(headKey(), std::move(OnReply));
}

void HeadWatcher::takeHead(CallNumber Number, Result<StoreValue> Reply) {
  bool IsEmpty = !Reply && Reply.error().Kind == ErrorKind::NotFound;
  if (!Reply && !IsEmpty)
    return end(Number, false);
  Result<ConfigurationHead> Head = ConfigurationHead();
  if (Reply)
    Head = decodeHead(Reply->Data);
  {
    std::lock_guard Lock(Mutex_);
    IsEmpty_ = IsEmpty;
    if (Reply)
      Version_ = std::max(Version_, Reply->Version);
  }
  if (!Head)
    return end(Number, false);
  if (Head->Current.Number <= InForce_())
    return end(Number, true);
  readRecord(Number, Head->Current.Record);
}

void HeadWatcher::readRecord(CallNumber Number, const ChunkId &Record) {
  std::shared_ptr<const ChunkCache> Cache;
  {
    std::lock_guard Lock(Mutex_);
    Cache = Cache_;
  }
  readRevision(Store_, Record, std::move(Cache),
               [Weak = weak_from_this(), Number](Result<ReadRevision> Reply) {
                 if (auto Self = Weak.lock())
                   Self->takeRevision(Number, std::move(Reply));
               });
}

void HeadWatcher::takeRevision(CallNumber Number, Result<ReadRevision> Reply) {
  if (Reply) {
    {
      std::lock_guard Lock(Mutex_);
      Cache_ = Reply->Chunks;
    }
    OnRevision_(std::move(Reply->Content));
  } else {
    // The next call reads the head again instead of waiting for a newer one.
    std::lock_guard Lock(Mutex_);
    Version_ = 0;
  }
  end(Number, Reply.has_value());
}

void HeadWatcher::end(CallNumber Number, bool Succeeded) {
  std::lock_guard Lock(Mutex_);
  if (Number != Current_)
    return;
  IsBusy_ = false;
  LastEnd_ = Runtime_.Now();
  PauseFactor_ = drawPauseFactor(Runtime_);
  if (Succeeded) {
    Failures_ = 0;
    Wait_ = IsEmpty_ ? EmptyWait : MinWait;
    return;
  }
  Wait_ = backOff(Runtime_, Failures_++, FirstRetry, MaxRetry);
}

bool HeadWatcher::storeIsEmpty() const {
  std::lock_guard Lock(Mutex_);
  return IsEmpty_;
}

} // namespace celerybeam::detail
