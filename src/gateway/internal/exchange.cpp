#include "gateway/internal/exchange.h"

#include <utility>

#include "gateway/errorresponse.h"

namespace celerybeam {

namespace {

constexpr std::string_view KeepAliveLine = ": keep-alive\n\n";
constexpr std::string_view EventStreamType = "text/event-stream";

} // namespace

Exchange::Exchange(ExchangeHooks Hooks, std::size_t BufferLimit,
                   bool DiscardBody)
    : Hooks_(std::move(Hooks)), BufferLimit_(BufferLimit),
      DiscardBody_(DiscardBody) {}

ResponseHooks Exchange::producer() {
  auto Self = shared_from_this();
  return {[Self](ResponseHead Head) { Self->onHead(std::move(Head)); },
          [Self](std::string Data) { return Self->onChunk(std::move(Data)); },
          [Self](const Result<void> &Outcome) { Self->onEnd(Outcome); }};
}

void Exchange::started(RequestId Id) {
  std::unique_lock Lock(Mutex_);
  Id_ = std::move(Id);
  if (GoneNotificationPending_)
    return notifyGone(std::move(Lock));
  notifyReady(std::move(Lock));
}

void Exchange::onHead(ResponseHead Head) {
  std::lock_guard Lock(Mutex_);
  if (Finished_ || HasHead_)
    return;
  EventStream_ =
      findHeader(Head.Headers, "content-type").starts_with(EventStreamType);
  Head_ = std::move(Head);
  HasHead_ = true;
  LastData_ = Clock::now();
  resume();
}

Flow Exchange::onChunk(std::string Data) {
  std::lock_guard Lock(Mutex_);
  if (Finished_ || Ended_ || Gone_ || DiscardBody_)
    return Flow::Continue;
  Buffer_.append(std::move(Data));
  LastData_ = Clock::now();
  resume();
  if (Buffer_.size() < BufferLimit_)
    return Flow::Continue;
  Paused_ = true;
  return Flow::Pause;
}

void Exchange::onEnd(const Result<void> &Outcome) {
  std::lock_guard Lock(Mutex_);
  if (Finished_ || Ended_)
    return;
  Ended_ = true;
  Paused_ = false;
  if (!Outcome && !HasHead_) {
    CallerResponse Response = errorResponse(Outcome.error());
    Head_ = std::move(Response.Head);
    HasHead_ = true;
    Buffer_.append(std::move(Response.Body));
  } else {
    Broken_ = !Outcome;
  }
  resume();
}

bool Exchange::awaitHead() {
  std::lock_guard Lock(Mutex_);
  if (HasHead_ || Ended_ || Gone_)
    return true;
  suspend();
  return false;
}

std::optional<ResponseHead> Exchange::takeHead() {
  std::lock_guard Lock(Mutex_);
  if (Gone_)
    return std::nullopt;
  return std::exchange(Head_, std::nullopt);
}

Exchange::ReadResult Exchange::read(char *Target, std::size_t Max) {
  std::unique_lock Lock(Mutex_);
  if (Gone_)
    return {ReadState::Broken};
  if (Buffer_.empty()) {
    if (Ended_)
      return {Broken_ ? ReadState::Broken : ReadState::End};
    suspend();
    return {ReadState::Suspended};
  }
  std::size_t Size = Buffer_.take(Target, Max);
  notifyReady(std::move(Lock));
  return {ReadState::Data, Size};
}

void Exchange::abort() {
  std::unique_lock Lock(Mutex_);
  if (Finished_ || Gone_)
    return;
  Gone_ = true;
  Buffer_.clear();
  resume();
  notifyGone(std::move(Lock));
}

void Exchange::finish(bool Whole) {
  std::unique_lock Lock(Mutex_);
  if (Finished_)
    return;
  Finished_ = true;
  Buffer_.clear();
  bool CallerLeft = !Whole && !Gone_;
  Gone_ = Gone_ || CallerLeft;
  if (CallerLeft)
    notifyGone(std::move(Lock));
}

void Exchange::keepAlive(Clock::time_point Now, Clock::duration Interval) {
  std::lock_guard Lock(Mutex_);
  if (Finished_ || Ended_ || Gone_ || !HasHead_ || !EventStream_)
    return;
  if (Now - LastData_ < Interval || !Buffer_.empty() ||
      !Buffer_.atEventBoundary())
    return;
  Buffer_.append(std::string(KeepAliveLine));
  LastData_ = Now;
  resume();
}

void Exchange::suspend() {
  Suspended_ = true;
  Hooks_.Suspend();
}

void Exchange::resume() {
  if (!Suspended_)
    return;
  Suspended_ = false;
  Hooks_.Resume();
}

void Exchange::notifyReady(std::unique_lock<std::mutex> Lock) {
  if (!Paused_ || !Id_ || Buffer_.size() > BufferLimit_ / 2)
    return;
  Paused_ = false;
  RequestId Id = *Id_;
  Lock.unlock();
  Hooks_.CallerReady(Id);
}

void Exchange::notifyGone(std::unique_lock<std::mutex> Lock) {
  bool MustNotify = !Ended_;
  if (!Id_) {
    GoneNotificationPending_ = MustNotify;
    return;
  }
  GoneNotificationPending_ = false;
  RequestId Id = *Id_;
  Lock.unlock();
  if (MustNotify)
    Hooks_.CallerGone(Id);
}

} // namespace celerybeam
