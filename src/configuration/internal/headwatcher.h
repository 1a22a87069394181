#ifndef CELERYBEAM_CONFIGURATION_INTERNAL_HEADWATCHER_H
#define CELERYBEAM_CONFIGURATION_INTERNAL_HEADWATCHER_H

#include <functional>
#include <memory>
#include <mutex>

#include "configuration/internal/revisionreader.h"
#include "framework/runtime.h"

namespace celerybeam::detail {

/// How often a host reads the head in the store.
enum class ReadPace {
  /// A long poll at all times.
  Watch,
  /// Reads with a pause.
  Paused,
};

/// Reads the head from the store and reports the revisions that it names.
/// Makes one store call at a time; failures are retried with back-off.
/// Thread-safe.
class HeadWatcher : public std::enable_shared_from_this<HeadWatcher> {
public:
  /// \param InForce     the revision in force on this host.
  /// \param OnRevision  called with each revision that is higher.
  HeadWatcher(StoreHooks Store, Runtime R, std::function<Revision()> InForce,
              std::function<void(TablesRevision)> OnRevision);

  /// Starts the next call when it is due.
  /// \param Pause  mean time between two reads for ReadPace::Paused.
  void tick(ReadPace Pace, Duration Pause);

  /// Whether the store reported at the last successful read that there are no
  /// tables.
  bool storeIsEmpty() const;

  /// How long one watch waits at the store.
  static constexpr Duration WatchWait = std::chrono::seconds(10);

private:
  using CallNumber = std::uint64_t;

  bool isDueLocked(TimePoint Now, ReadPace Pace, Duration Pause) const;
  void call(ReadPace Pace, StoreVersion After, CallNumber Number);
  void takeHead(CallNumber Number, Result<StoreValue> Reply);
  void takeRevision(CallNumber Number, Result<ReadRevision> Reply);
  void readRecord(CallNumber Number, const ChunkId &Record);
  void end(CallNumber Number, bool Succeeded);

  StoreHooks Store_;
  Runtime Runtime_;
  std::function<Revision()> InForce_;
  std::function<void(TablesRevision)> OnRevision_;

  mutable std::mutex Mutex_;
  /// The call in progress; replies to older ones may still arrive.
  CallNumber Current_ = 0;
  bool IsBusy_ = false;
  /// When a call without a reply is abandoned.
  TimePoint GiveUpAt_{};
  bool HasCalled_ = false;
  TimePoint LastEnd_{};
  /// Minimum wait after LastEnd_.
  Duration Wait_{};
  /// Random factor of the pause, new for each call, so that the reads of the
  /// hosts are spread over time.
  double PauseFactor_ = 1;
  int Failures_ = 0;
  bool IsEmpty_ = false;
  StoreVersion Version_ = 0;
  std::shared_ptr<const ChunkCache> Cache_;
};

} // namespace celerybeam::detail

#endif
