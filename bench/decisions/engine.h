#ifndef CELERYBEAM_BENCH_DECISIONS_ENGINE_H
#define CELERYBEAM_BENCH_DECISIONS_ENGINE_H

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <unordered_map>

#include "blackboard/calltypes.h"
#include "decisions/workload.h"
#include "support/virtualtime.h"

namespace celerybeam::bench {

/// Prompt blocks in an engine's memory; the least recently used go first.
class PrefixCache {
public:
  explicit PrefixCache(std::size_t Capacity) : Capacity_(Capacity) {}

  /// Leading blocks of the prompt that are cached.
  std::size_t cached(const PrefixBlocks &Blocks) const;
  void insert(const PrefixBlocks &Blocks);

private:
  std::size_t Capacity_;
  std::list<std::uint64_t> Order_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> Index_;
};

/// What an engine tells of one attempt.
struct EngineObserver {
  std::function<void()> OnFirstToken;
  /// Tells how many tokens arrived.
  std::function<void(std::uint32_t)> OnProgress;
  /// True for a whole answer; false when the deadline passed in the queue.
  std::function<void(bool)> OnEnd;
};

/// A queueing model of a model engine: batch slots, a queue by priority, a
/// prefix cache, a first token that waits for the uncached prompt, and a
/// token pace that falls as the batch fills.
class Engine {
public:
  static constexpr std::uint32_t Slots = 4;

  Engine(testing::VirtualTime &Time, EndpointId Id)
      : Time_(Time), Id_(std::move(Id)) {}

  const EndpointId &id() const { return Id_; }
  void submit(const AttemptId &Attempt, const Arrival &Request,
              TimePoint Deadline, EngineObserver Observer);
  void cancel(const AttemptId &Attempt);

  /// Factor on all times from now on.
  void setSlowdown(double Factor) { Slowdown_ = Factor; }

  /// The load as it was some time ago.
  LoadReport reportedLoad(Duration Lag) const;
  std::uint32_t running() const {
    return static_cast<std::uint32_t>(Running_.size());
  }
  std::uint32_t waiting() const {
    return static_cast<std::uint32_t>(Waiting_.size());
  }
  const PrefixCache &cache() const { return Cache_; }

  double slotSeconds() const { return SlotSeconds_; }
  std::uint64_t cachedTokens() const { return CachedTokens_; }
  std::uint64_t promptTokens() const { return PromptTokens_; }

private:
  struct Work {
    AttemptId Attempt;
    Arrival Request;
    TimePoint Deadline{};
    EngineObserver Observer;
    TimePoint StartedAt{};
    std::uint32_t TokensLeft = 0;
  };
  using WorkPtr = std::shared_ptr<Work>;
  /// Short questions first, then in order of arrival.
  using QueuePlace = std::pair<int, std::uint64_t>;
  struct LoadSample {
    TimePoint At{};
    std::uint32_t Running = 0;
    std::uint32_t Waiting = 0;
  };

  void startWaiting();
  void start(const WorkPtr &W);
  void firstToken(const WorkPtr &W);
  void scheduleTokens(const WorkPtr &W);
  void finish(const WorkPtr &W);
  bool isRunning(const WorkPtr &W) const;
  void recordLoad();
  Duration scaled(Duration D) const;

  testing::VirtualTime &Time_;
  EndpointId Id_;
  PrefixCache Cache_{900};
  std::map<AttemptId, WorkPtr> Running_;
  std::map<QueuePlace, WorkPtr> Waiting_;
  std::deque<LoadSample> Loads_;
  std::uint64_t NextPlace_ = 0;
  double Slowdown_ = 1;
  double SlotSeconds_ = 0;
  std::uint64_t CachedTokens_ = 0;
  std::uint64_t PromptTokens_ = 0;
};

} // namespace celerybeam::bench

#endif
