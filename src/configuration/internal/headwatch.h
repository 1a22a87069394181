#ifndef CELERYBEAM_CONFIGURATION_INTERNAL_HEADWATCH_H
#define CELERYBEAM_CONFIGURATION_INTERNAL_HEADWATCH_H

#include <functional>
#include <memory>
#include <mutex>

#include "configuration/internal/revisionreader.h"
#include "framework/runtime.h"

namespace celerybeam::detail {

/// How eagerly a host reads the head in the store.
enum class ReadPace {
  /// A long poll at all times.
  Watch,
  /// Reads with a pause.
  Paused,
};

/// Reads the head from the store and hands on the revisions that it names.
/// One store call at a time; failures are retried with back-off. Thread-safe.
class HeadWatch : public std::enable_shared_from_this<HeadWatch> {
public:
  /// \param InForce  the revision in force on this host.
  /// \param Take     takes a revision that is higher.
  HeadWatch(StoreHooks Store, Runtime R, std::function<Revision()> InForce,
            std::function<void(TablesRevision)> Take);

  /// Starts the next call when it is due.
  /// \param Pause  mean time between two reads for ReadPace::Paused.
  void tick(ReadPace Pace, Duration Pause);

  /// Whether the store's last word is that there are no tables.
  bool storeIsEmpty() const;

  /// How long one watch waits at the store.
  static constexpr Duration WatchWait = std::chrono::seconds(10);

private:
  using CallNumber = std::uint64_t;

  bool isDueLocked(TimePoint Now, ReadPace Pace, Duration Pause) const;
  void call(ReadPace Pace, StoreVersion After, CallNumber Number);
  void takeHead(CallNumber Number, Result<StoreValue> Answer);
  void takeRevision(CallNumber Number, Result<ReadRevision> Answer);
  void readRecord(CallNumber Number, const ChunkId &Record);
  void end(CallNumber Number, bool Succeeded);

  StoreHooks Store_;
  Runtime Runtime_;
  std::function<Revision()> InForce_;
  std::function<void(TablesRevision)> Take_;

  mutable std::mutex Mutex_;
  /// The call that is under way; older ones may still be answered.
  CallNumber Current_ = 0;
  bool IsBusy_ = false;
  /// When a call that was never answered is given up.
  TimePoint GiveUpAt_{};
  bool HasCalled_ = false;
  TimePoint LastEnd_{};
  /// Least wait after LastEnd_.
  Duration Wait_{};
  /// Factor of the pause, drawn for each call so that hosts spread out.
  double PauseFactor_ = 1;
  int Failures_ = 0;
  bool IsEmpty_ = false;
  StoreVersion Version_ = 0;
  std::shared_ptr<const ChunkCache> Cache_;
};

} // namespace celerybeam::detail

#endif
