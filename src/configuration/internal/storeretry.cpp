#include "configuration/internal/storeretry.h"

#include <algorithm>
#include <utility>

namespace celerybeam::detail {

namespace {

constexpr Duration FirstWait = std::chrono::milliseconds(100);
constexpr Duration MaxWait = std::chrono::seconds(2);
constexpr int MaxDoublings = 20;

} // namespace

Duration backOff(const Runtime &R, int Attempts, Duration First, Duration Max) {
  int Doublings = std::clamp(Attempts, 0, MaxDoublings);
  Duration Wait = std::min(Max, First * (1U << Doublings));
  auto Jitter = static_cast<Duration::rep>(
      R.Random() % static_cast<std::uint64_t>(Wait.count() / 4 + 1));
  return Wait - Duration(Jitter);
}

// Callbacks hold a copy of *this, so that a retry does not depend on the
// lifetime of the object that started it.

void StoreRetry::get(const StoreKey &Key, Completion<StoreValue> Done) const {
  getAgain(Key, 0, std::move(Done));
}

void StoreRetry::getAgain(const StoreKey &Key, int Attempts,
                          Completion<StoreValue> Done) const {
  Store_.Get(Key, [Self = *this, Key, Attempts,
                   Done = std::move(Done)](Result<StoreValue> Reply) mutable {
    bool Retry = !Reply && Reply.error().Kind == ErrorKind::StoreUnreachable &&
                 Attempts + 1 < MaxAttempts;
    if (!Retry)
      return Done(std::move(Reply));
    Self.wait(Attempts, [=] { Self.getAgain(Key, Attempts + 1, Done); });
  });
}

void StoreRetry::getHead(Completion<HeadState> Done) const {
  get(headKey(), [Done = std::move(Done)](Result<StoreValue> Reply) {
    if (!Reply && Reply.error().Kind == ErrorKind::NotFound)
      return Done(HeadState{});
    if (!Reply)
      return Done(tl::make_unexpected(Reply.error()));
    Result<ConfigurationHead> Head = decodeHead(Reply->Data);
    if (!Head)
      return Done(tl::make_unexpected(Head.error()));
    Done(HeadState{std::move(*Head), Reply->Version});
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
  auto OnReply = [Self = *this, Chunks = std::move(Chunks), Attempts,
                  Done = std::move(Done)](Result<StoreVersion> Reply) mutable {
    bool Written = Reply || Reply.error().Kind == ErrorKind::StoreConflict;
    if (Written) {
      Chunks.pop_back();
      return Self.putChunk(std::move(Chunks), 0, std::move(Done));
    }
    // A chunk has the same content whoever writes it, so that a write with an
    // unknown outcome can be repeated.
    ErrorKind Kind = Reply.error().Kind;
    bool Retry = (Kind == ErrorKind::StoreUnreachable ||
                  Kind == ErrorKind::StoreOutcomeUnknown) &&
                 Attempts + 1 < MaxAttempts;
    if (!Retry)
      return Done(makeError(ErrorKind::StoreUnreachable,
                            "The platform's store did not take the tables (" +
                                Reply.error().Message +
                                "); nothing was changed, apply again later."));
    Self.wait(Attempts, [=] { Self.putChunk(Chunks, Attempts + 1, Done); });
  };
  Store_.Put(std::move(Put), std::move(OnReply));
}

StoreHooks StoreRetry::retrying() const {
  StoreHooks Hooks = Store_;
  Hooks.Get = [Self = *this](const StoreKey &Key, Completion<StoreValue> Done) {
    Self.get(Key, std::move(Done));
  };
  return Hooks;
}

void StoreRetry::wait(int Attempts, Task Next) const {
  Runtime_.After(backOff(Runtime_, Attempts, FirstWait, MaxWait),
                 std::move(Next));
}

} // namespace celerybeam::detail
