#include "configuration/internal/storeretry.h"

#include <algorithm>
#include <utility>

namespace celerybeam::detail {

namespace {

constexpr Duration FirstWait = std::chrono::milliseconds(100);
constexpr Duration GreatestWait = std::chrono::seconds(2);
constexpr int GreatestDoublings = 20;

} // namespace

Duration backOff(const Runtime &R, int Attempts, Duration First,
                 Duration Greatest) {
  int Doublings = std::clamp(Attempts, 0, GreatestDoublings);
  Duration Wait = std::min(Greatest, First * (1U << Doublings));
  auto Jitter = static_cast<Duration::rep>(
      R.Random() % static_cast<std::uint64_t>(Wait.count() / 4 + 1));
  return Wait - Duration(Jitter);
}

// The copies of *this keep a retry independent of who started it.

void StoreRetry::get(const StoreKey &Key, Completion<StoreValue> Done) const {
  getAgain(Key, 0, std::move(Done));
}

void StoreRetry::getAgain(const StoreKey &Key, int Attempts,
                          Completion<StoreValue> Done) const {
  Store_.Get(Key, [Self = *this, Key, Attempts,
                   Done = std::move(Done)](Result<StoreValue> Answer) mutable {
    bool Retry = !Answer &&
                 Answer.error().Kind == ErrorKind::StoreUnreachable &&
                 Attempts + 1 < GreatestAttempts;
    if (!Retry)
      return Done(std::move(Answer));
    Self.wait(Attempts, [=] { Self.getAgain(Key, Attempts + 1, Done); });
  });
}

void StoreRetry::getHead(Completion<HeadState> Done) const {
  get(headKey(), [Done = std::move(Done)](Result<StoreValue> Answer) {
    if (!Answer && Answer.error().Kind == ErrorKind::NotFound)
      return Done(HeadState{});
    if (!Answer)
      return Done(tl::make_unexpected(Answer.error()));
    Result<ConfigurationHead> Head = decodeHead(Answer->Data);
    if (!Head)
      return Done(tl::make_unexpected(Head.error()));
    Done(HeadState{std::move(*Head), Answer->Version});
  });
}

void StoreRetry::putChunks(std::vector<Chunk> Chunks,
                           Completion<void> Done) const {
  putChunk(std::move(Chunks), 0, std::move(Done));
}

void StoreRetry::putChunk(std::vector<Chunk> Chunks, int Attempts,
                          Completion<void> Done) const {
  if (Chunks.empty())
    return Done({});
  StorePut Put{chunkKey(Chunks.back().Id), Chunks.back().Data, 0};
  auto OnAnswer = [Self = *this, Chunks = std::move(Chunks), Attempts,
                   Done =
                       std::move(Done)](Result<StoreVersion> Answer) mutable {
    bool Written = Answer || Answer.error().Kind == ErrorKind::StoreConflict;
    if (Written) {
      Chunks.pop_back();
      return Self.putChunk(std::move(Chunks), 0, std::move(Done));
    }
    // A chunk is the same whoever writes it, so that an unknown outcome is
    // simply tried again.
    ErrorKind Kind = Answer.error().Kind;
    bool Retry = (Kind == ErrorKind::StoreUnreachable ||
                  Kind == ErrorKind::StoreOutcomeUnknown) &&
                 Attempts + 1 < GreatestAttempts;
    if (!Retry)
      return Done(makeError(ErrorKind::StoreUnreachable,
                            "The platform's store did not take the tables (" +
                                Answer.error().Message +
                                "); nothing was changed, apply again later."));
    Self.wait(Attempts, [=] { Self.putChunk(Chunks, Attempts + 1, Done); });
  };
  Store_.Put(std::move(Put), std::move(OnAnswer));
}

StoreHooks StoreRetry::retrying() const {
  StoreHooks Hooks = Store_;
  Hooks.Get = [Self = *this](const StoreKey &Key, Completion<StoreValue> Done) {
    Self.get(Key, std::move(Done));
  };
  return Hooks;
}

void StoreRetry::wait(int Attempts, Task Next) const {
  Runtime_.After(backOff(Runtime_, Attempts, FirstWait, GreatestWait),
                 std::move(Next));
}

} // namespace celerybeam::detail
