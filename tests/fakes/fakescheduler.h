#ifndef CELERYBEAM_TESTS_FAKES_FAKESCHEDULER_H
#define CELERYBEAM_TESTS_FAKES_FAKESCHEDULER_H

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "faketypes.h"

namespace celerybeam::fakes {

/// The slots of a stand-in, with a queue by priority.
///
/// Thread-safe. Threads that wait in it wake when their work is cancelled or
/// the scheduler stops.
class FakeScheduler {
public:
  struct Load {
    unsigned Running = 0;
    unsigned Waiting = 0;
  };

  struct Limits {
    unsigned Slots = 4;
    /// Work that may wait; above it enter refuses.
    unsigned Queue = 64;
    /// Age of what load tells.
    Millis Lag{0};
  };

  /// Work in a slot; the slot is free again when it goes away. Must not
  /// outlive the scheduler.
  class Work {
  public:
    Work(FakeScheduler &Owner, std::string Id, std::int64_t Priority);
    ~Work();
    Work(const Work &) = delete;
    Work &operator=(const Work &) = delete;

    /// Waits; a slowed scheduler stretches the time and a stalled one holds
    /// it. False when the work was cancelled.
    bool sleep(Millis Time);

  private:
    friend class FakeScheduler;
    FakeScheduler &Owner_;
    const std::string Id_;
    const std::int64_t Priority_;
    std::uint64_t Sequence_ = 0;
    bool Running_ = false;
    bool Cancelled_ = false;
  };

  explicit FakeScheduler(const Limits &L);

  bool queueIsFull();

  /// Waits for a slot; null when the work was cancelled.
  std::shared_ptr<Work> enter(const std::string &Id, std::int64_t Priority);

  void cancel(const std::string &Id);
  void setStalled(bool Stalled);
  void setSlowdown(double Factor);
  /// Cancels all work, also that to come.
  void stop();

  Millis lag() const { return Limits_.Lag; }
  /// As of the lag ago.
  Load load();

private:
  void leave(Work &W);
  bool isNext(const Work &W) const;
  void note();

  const Limits Limits_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::set<Work *> Works_;
  unsigned Running_ = 0;
  std::uint64_t LastSequence_ = 0;
  std::deque<std::pair<Clock::time_point, Load>> History_;
  double Slowdown_ = 1;
  bool Stalled_ = false;
  bool Stopping_ = false;
};

} // namespace celerybeam::fakes

#endif
