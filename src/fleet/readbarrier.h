#ifndef CELERYBEAM_FLEET_READBARRIER_H
#define CELERYBEAM_FLEET_READBARRIER_H

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "framework/error.h"
#include "framework/runtime.h"

namespace celerybeam {

/// A change of whether confirmations can be had, for the log.
struct ReadBarrierChange {
  /// Whether the latest read has succeeded.
  bool Succeeds = false;
  /// Why it has failed.
  std::string Why;
  /// Time since the copy was last certainly complete; empty if it never was.
  std::optional<Duration> Age;
};

/// Tells for requests whether this host's copy of the tables includes all
/// changes that the store acknowledged before they arrived, and has the tables
/// read again where that is not known. That nothing new has been heard of is no
/// confirmation, however short the silence.
///
/// Handles these load patterns: "a change is acknowledged while hosts are cut
/// off from the store" and "many requests fail at the same time". One read is
/// in progress at a time, and one that begins serves all requests that arrived
/// before it (the read index of Raft: Ongaro, Consensus: Bridging Theory and
/// Practice, 6.4). While reads fail, requests are not kept waiting; each still
/// causes the next read, so that its end is noticed. Not thread-safe.
class ReadBarrier {
public:
  using Done = std::function<void(Result<void>)>;
  /// \param Confirmed  whether the copy includes what was asked for.
  using Answer = std::function<void(bool Confirmed)>;

  struct Hooks {
    /// Begins a read and applies it. Errors: any.
    std::function<void(Done)> Read;
    /// The latest time at which the copy was certainly complete.
    std::function<std::optional<TimePoint>()> ConfirmedAt;
    /// May be empty.
    std::function<void(const ReadBarrierChange &)> Changed = {};
  };

  /// \param MinInterval  shortest time between the starts of two reads.
  ReadBarrier(Runtime R, Hooks H, Duration MinInterval = Duration::zero());
  ~ReadBarrier();

  /// Whether the copy includes all that was acknowledged before this time.
  bool covers(TimePoint Time) const;
  /// Reads if the copy does not cover a time. \param AtMost  how long the
  /// answer is waited for. \param Then  gets whether the copy covers the time;
  /// never called on the calling stack.
  void await(TimePoint Time, Duration AtMost, Answer Then);

  /// A read that takes longer counts as failed, and another one may begin. The
  /// store answers within two round trips to another region, plus the interval
  /// of reads and a second source.
  static constexpr Duration MaxRead = std::chrono::seconds(1);
  /// Shortest time between the starts of two reads after one has failed.
  static constexpr Duration FailedInterval = std::chrono::milliseconds(500);

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
