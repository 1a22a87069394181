#include "fakescheduler.h"

#include <algorithm>
#include <utility>

namespace celerybeam::fakes {

FakeScheduler::Work::Work(FakeScheduler &Owner, std::string Id,
                          std::int64_t Priority)
    : Owner_(Owner), Id_(std::move(Id)), Priority_(Priority) {}

FakeScheduler::Work::~Work() { Owner_.leave(*this); }

bool FakeScheduler::Work::sleep(Millis Time) {
  std::unique_lock Lock(Owner_.Mutex_);
  auto Ended = [this] { return Cancelled_ || Owner_.Stopping_; };
  Owner_.Changed_.wait_for(Lock, Time * Owner_.Slowdown_, Ended);
  Owner_.Changed_.wait(Lock, [&] { return Ended() || !Owner_.Stalled_; });
  return !Ended();
}

FakeScheduler::FakeScheduler(const Limits &L) : Limits_(L) {}

bool FakeScheduler::queueIsFull() {
  std::lock_guard Lock(Mutex_);
  return Works_.size() - Running_ >= Limits_.Queue;
}

std::shared_ptr<FakeScheduler::Work>
FakeScheduler::enter(const std::string &Id, std::int64_t Priority) {
  auto W = std::make_shared<Work>(*this, Id, Priority);
  std::unique_lock Lock(Mutex_);
  W->Sequence_ = ++LastSequence_;
  Works_.insert(W.get());
  note();
  auto Ended = [&] { return W->Cancelled_ || Stopping_; };
  Changed_.wait(Lock, [&] { return Ended() || isNext(*W); });
  if (Ended()) {
    // The destructor takes the lock.
    Lock.unlock();
    return nullptr;
  }
  W->Running_ = true;
  ++Running_;
  note();
  Changed_.notify_all();
  return W;
}

void FakeScheduler::cancel(const std::string &Id) {
  std::lock_guard Lock(Mutex_);
  for (Work *W : Works_)
    W->Cancelled_ |= W->Id_ == Id;
  Changed_.notify_all();
}

void FakeScheduler::setStalled(bool Stalled) {
  std::lock_guard Lock(Mutex_);
  Stalled_ = Stalled;
  Changed_.notify_all();
}

void FakeScheduler::setSlowdown(double Factor) {
  std::lock_guard Lock(Mutex_);
  Slowdown_ = Factor;
}

void FakeScheduler::stop() {
  std::lock_guard Lock(Mutex_);
  Stopping_ = true;
  Changed_.notify_all();
}

FakeScheduler::Load FakeScheduler::load() {
  std::lock_guard Lock(Mutex_);
  const Clock::time_point Then = Clock::now() - Limits_.Lag;
  Load L;
  for (const auto &[When, Value] : History_)
    if (When <= Then)
      L = Value;
  return L;
}

void FakeScheduler::leave(Work &W) {
  std::lock_guard Lock(Mutex_);
  Works_.erase(&W);
  if (W.Running_)
    --Running_;
  note();
  Changed_.notify_all();
}

bool FakeScheduler::isNext(const Work &W) const {
  if (Stalled_ || Running_ >= Limits_.Slots)
    return false;
  return std::none_of(Works_.begin(), Works_.end(), [&W](const Work *Other) {
    if (Other->Running_ || Other->Cancelled_)
      return false;
    if (Other->Priority_ != W.Priority_)
      return Other->Priority_ > W.Priority_;
    return Other->Sequence_ < W.Sequence_;
  });
}

void FakeScheduler::note() {
  const Clock::time_point Now = Clock::now();
  const auto Waiting = static_cast<unsigned>(Works_.size()) - Running_;
  History_.push_back({Now, {Running_, Waiting}});
  // One entry older than the lag tells what stood at its end.
  while (History_.size() > 1 && History_[1].first <= Now - Limits_.Lag)
    History_.pop_front();
}

} // namespace celerybeam::fakes
