#include "decisions/engine.h"

#include <algorithm>
#include <utility>

namespace celerybeam::bench {

namespace {

constexpr Duration PrefillPerToken = std::chrono::microseconds(200);
constexpr Duration TokenGap = std::chrono::milliseconds(20);
/// Growth of the token gap with each further request in the batch.
constexpr double BatchSlowdown = 0.08;
/// Tokens between two events, to keep the run short.
constexpr std::uint32_t TokensPerEvent = 5;
constexpr Duration LoadHistory = std::chrono::seconds(3);
constexpr double MicrosPerSecond = 1e6;

} // namespace

std::size_t PrefixCache::cached(const PrefixBlocks &Blocks) const {
  std::size_t Count = 0;
  while (Count < Blocks.size() && Index_.contains(Blocks[Count]))
    ++Count;
  return Count;
}

void PrefixCache::insert(const PrefixBlocks &Blocks) {
  // The leading blocks end up as the most recently used.
  for (auto Block = Blocks.rbegin(); Block != Blocks.rend(); ++Block) {
    auto It = Index_.find(*Block);
    if (It != Index_.end())
      Order_.erase(It->second);
    Order_.push_front(*Block);
    Index_[*Block] = Order_.begin();
  }
  while (Order_.size() > Capacity_) {
    Index_.erase(Order_.back());
    Order_.pop_back();
  }
}

Duration Engine::scaled(Duration D) const {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(D.count()) * Slowdown_));
}

void Engine::submit(const AttemptId &Attempt, const Arrival &Request,
                    TimePoint Deadline, EngineObserver Observer) {
  auto W = std::make_shared<Work>();
  W->Attempt = Attempt;
  W->Request = Request;
  W->Deadline = Deadline;
  W->Observer = std::move(Observer);
  W->TokensLeft = Request.AnswerTokens;
  int Priority = Request.Class == RequestClass::Short ? 0 : 1;
  Waiting_.emplace(QueuePlace(Priority, NextPlace_++), W);
  startWaiting();
}

void Engine::startWaiting() {
  while (Running_.size() < Slots && !Waiting_.empty()) {
    WorkPtr W = Waiting_.extract(Waiting_.begin()).mapped();
    if (W->Deadline <= Time_.now())
      W->Observer.OnEnd(false);
    else
      start(W);
  }
  recordLoad();
}

void Engine::start(const WorkPtr &W) {
  Running_.emplace(W->Attempt, W);
  W->StartedAt = Time_.now();
  std::size_t Cached = Cache_.cached(W->Request.Blocks);
  auto CachedTokens = static_cast<std::uint32_t>(Cached) * BlockTokens;
  CachedTokens_ += CachedTokens;
  PromptTokens_ += W->Request.promptTokens();
  std::uint32_t Cold =
      W->Request.promptTokens() - CachedTokens + W->Request.ResumedTokens;
  Duration Prefill = PrefillPerToken * Cold + TokenGap;
  Time_.after(scaled(Prefill), [this, W] { firstToken(W); });
}

bool Engine::isRunning(const WorkPtr &W) const {
  auto It = Running_.find(W->Attempt);
  return It != Running_.end() && It->second == W;
}

void Engine::firstToken(const WorkPtr &W) {
  if (!isRunning(W))
    return;
  Cache_.insert(W->Request.Blocks);
  --W->TokensLeft;
  W->Observer.OnFirstToken();
  scheduleTokens(W);
}

void Engine::scheduleTokens(const WorkPtr &W) {
  if (!isRunning(W))
    return;
  std::uint32_t Tokens = std::min(TokensPerEvent, W->TokensLeft);
  double Batch = 1 + BatchSlowdown * (running() - 1);
  auto Gap = Duration(static_cast<Duration::rep>(
      static_cast<double>(TokenGap.count()) * Batch));
  Time_.after(scaled(Gap * Tokens), [this, W, Tokens] {
    if (!isRunning(W))
      return;
    W->TokensLeft -= Tokens;
    if (W->TokensLeft == 0)
      return finish(W);
    W->Observer.OnProgress(Tokens);
    scheduleTokens(W);
  });
}

void Engine::finish(const WorkPtr &W) {
  Running_.erase(W->Attempt);
  SlotSeconds_ += static_cast<double>((Time_.now() - W->StartedAt).count()) /
                  MicrosPerSecond;
  W->Observer.OnEnd(true);
  startWaiting();
}

void Engine::cancel(const AttemptId &Attempt) {
  std::erase_if(Waiting_,
                [&](const auto &E) { return E.second->Attempt == Attempt; });
  auto Node = Running_.extract(Attempt);
  if (!Node.empty())
    SlotSeconds_ +=
        static_cast<double>((Time_.now() - Node.mapped()->StartedAt).count()) /
        MicrosPerSecond;
  startWaiting();
}

void Engine::recordLoad() {
  TimePoint Now = Time_.now();
  Loads_.push_back({Now, running(), waiting()});
  while (Loads_.size() > 1 && Loads_[1].At + LoadHistory < Now)
    Loads_.pop_front();
}

LoadReport Engine::reportedLoad(Duration Lag) const {
  LoadReport Report;
  Report.MeasuredAt = Time_.now() - Lag;
  for (const LoadSample &S : Loads_) {
    if (S.At > Report.MeasuredAt)
      break;
    Report.Running = S.Running;
    Report.Waiting = S.Waiting;
  }
  return Report;
}

} // namespace celerybeam::bench
