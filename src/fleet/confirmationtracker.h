#ifndef CELERYBEAM_FLEET_CONFIRMATIONTRACKER_H
#define CELERYBEAM_FLEET_CONFIRMATIONTRACKER_H

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "fleet/storemirror.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Tells another host until when the tables of a revision were complete, in
/// terms of a time stamp of that host.
struct TablesConfirmation {
  /// The receiver's latest time stamp, and how long ago it arrived.
  TimePoint Stamp{};
  Duration Held{};
  /// Time since the sender's tables were certainly complete.
  Duration Age{};
  StoreRevision Of;
};

/// Tracks the latest time at which this host's copy of the operator's tables
/// was certainly complete: it has all changes that the store acknowledged
/// before.
///
/// Handles this load pattern: "a key is removed while hosts are cut off from
/// the store, or stand still". No message reaches them, so the right to resolve
/// keys has to end by itself, and is extended by confirmations. Watchers of the
/// store confirm by the start of each consistent read. The others get the age
/// of a watcher's confirmation with the updates: each host sends time stamps of
/// its own clock, and gets the latest one back with how long it was held and
/// the age. The time that follows is never too late, however long a datagram
/// was on its way or in a socket. Not thread-safe.
class ConfirmationTracker {
public:
  struct Hooks {
    /// The revision up to which this host has applied all changes.
    std::function<StoreRevision()> Applied;
    /// The revision of the newest change among them. Others need no more to be
    /// complete, and do not learn of later revisions without a change.
    std::function<StoreRevision()> LastChange;
  };

  ConfirmationTracker(Runtime R, Hooks H);

  /// Records that a consistent read of the store, begun at this time, has been
  /// applied.
  void confirmByRead(TimePoint Begun);
  /// Records another host's confirmation. One of a revision that has not been
  /// applied here takes effect once it has.
  void received(const TablesConfirmation &From);
  /// Ends or resumes confirmations: a version that cannot be read may have
  /// removed keys.
  void setReadable(bool Readable) { Readable_ = Readable; }

  /// Unset before the first confirmation.
  std::optional<TimePoint> confirmedAt();
  /// Whether a request that arrived at this time may be handled by the tables,
  /// of which none may be used for longer than Lifetime.
  bool covers(TimePoint Arrived, Duration Lifetime);

  /// Records a time stamp that another host sent.
  void recordStamp(const std::string &Ip, TimePoint Stamp);
  /// The confirmation for a host; unset while there is none, without a stamp of
  /// that host, or if one was made within MinInterval.
  std::optional<TablesConfirmation> confirmationFor(const std::string &Ip);

  static constexpr Duration MinInterval = std::chrono::milliseconds(100);
  /// Stamps of hosts without an update for longer are dropped.
  static constexpr Duration StampRetention = std::chrono::minutes(1);

private:
  struct Confirmation {
    TimePoint At{};
    StoreRevision Of;
  };
  struct HeldStamp {
    TimePoint Stamp{};
    TimePoint ArrivedAt{};
    TimePoint LastAnswer{};
  };

  void adopt(const Confirmation &Made);
  void dropOldStamps();

  Runtime Runtime_;
  Hooks Hooks_;
  TimePoint StartedAt_;
  bool Readable_ = true;
  std::optional<Confirmation> Latest_;
  /// A later one whose revision has not been applied here.
  std::optional<Confirmation> Awaited_;
  std::unordered_map<std::string, HeldStamp> Stamps_;
  TimePoint NextCleanup_{};
};

} // namespace celerybeam

#endif
