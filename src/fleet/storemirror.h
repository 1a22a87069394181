#ifndef CELERYBEAM_FLEET_STOREMIRROR_H
#define CELERYBEAM_FLEET_STOREMIRROR_H

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "framework/error.h"
#include "framework/runtime.h"

namespace celerybeam {

/// A revision in the store's history.
struct StoreRevision {
  /// Grows each time that the store is restored from an older copy; revision
  /// numbers then go back and are assigned again.
  std::uint64_t Era = 0;
  /// Grows by one with each change of anything in the store.
  std::uint64_t Number = 0;
  auto operator<=>(const StoreRevision &) const = default;
};

/// The latest change of one key of the store. A removal has no value.
struct StoreChange {
  std::string Key;
  std::string Value;
  StoreRevision At;
  bool Removed = false;
};

/// The keys under a prefix up to a revision, or only their changes.
struct StoreSnapshot {
  std::vector<StoreChange> Items;
  StoreRevision AsOf;
  /// Whether it holds only the changes after a revision, removals included.
  bool ChangesOnly = false;
  /// Rows after this revision were certainly written after the latest rollback
  /// of the store; zero when all were.
  StoreRevision CertainAfter{};
  /// Shortly after a rollback of the store: rows and removals from before it
  /// that are in force in place of the items, and for how long they may stay.
  /// Only in snapshots of entry hosts.
  std::vector<StoreChange> Retained = {};
  Duration SettlesIn{};
  /// Whether the entry host that made it knows of no change that it lacks.
  bool Current = false;
};

/// Describes a rollback: the store came back restored from an older copy.
struct StoreRollback {
  StoreRevision Before;
  StoreRevision After;
  /// Keys whose state from before the rollback is in force because they have
  /// not been written again since.
  std::size_t AwaitedKeys = 0;
  /// Whether the wait for them is over, so that the store's content is
  /// authoritative again.
  bool Settled = false;
};

/// The calls that a mirror makes and the events that it reports. A callback may
/// come late but never on the calling stack. The mirror ignores callbacks that
/// come after its destruction.
struct StoreMirrorHooks {
  using Answer = std::function<void(Result<StoreSnapshot>)>;
  /// Reads all keys. Errors: StoreUnreachable.
  std::function<void(Answer)> List;
  /// Like List at a fraction of the price, but the result may be some seconds
  /// old. May be empty.
  std::function<void(Answer)> ListStale;
  /// Waits up to a given time for changes after a revision. The result may be
  /// from a later era than that revision. Errors: StoreConflict when the store
  /// no longer has that history, StoreUnreachable.
  std::function<void(StoreRevision After, Duration Wait, Answer)> Watch;
  /// Longest wait of one watch call; unset for StoreMirror::WatchWait.
  std::optional<Duration> LongestWatch = {};
  /// Fetches the changes after a revision from another entry host that has
  /// applied more; that host may return all keys instead. Errors: any.
  std::function<void(StoreRevision Since, Answer)> FetchFromPeer;
  /// The version that the content of a row carries, if it carries one. A row
  /// with a higher one is newer, whatever its revision. May be empty.
  std::function<std::optional<std::uint64_t>(const StoreChange &)> VersionOf;
  /// Called for each key that was written or removed. Shortly after an outage a
  /// removed entry may be written again.
  std::function<void(const StoreChange &, bool AfterOutage)> Changed;
  /// Called after a consistent read of the store has been applied, with the
  /// time at which it began. May be empty.
  std::function<void(TimePoint Begun)> Read;
  /// Called when the store becomes unreachable or reachable again.
  std::function<void(bool Reachable, const std::string &Why)> Reachability;
  /// Called when the store was rolled back to an older copy, and again when its
  /// content is authoritative again. May be empty.
  std::function<void(const StoreRollback &)> RolledBack;
};

/// Keeps a copy of one key prefix of the store. It reads the store by list and
/// watch. It fetches changes from another entry host while it follows one that
/// watches, and while the store is unreachable.
///
/// Handles these load patterns: "each change is paid for once by every host
/// that watches", and "the store is down, slow, partitioned, loses its history
/// or rejects this host". The mirror never goes back to an earlier revision
/// than it has shown.
///
/// Handles also "the store comes back from a copy some seconds old": earlier
/// content stays in force until it has been written again, for
/// RollbackSettleTime at most. An older row, or one that was removed, does not
/// reappear meanwhile. What the store returned is kept beside it, so that the
/// copy is complete up to its revision at any time and other hosts can get
/// their changes from it. Not thread-safe.
class StoreMirror {
public:
  StoreMirror(Runtime R, StoreMirrorHooks Hooks);
  ~StoreMirror();

  void start();

  /// Records that another entry host has applied changes up to this revision.
  /// \param Watches  whether it watches the store and got a response recently.
  void peerReported(StoreRevision Applied, bool Watches = false);

  /// Reads all keys from the store once more.
  void readAgain();
  /// Reads the changes after the mirror's revision from the store once, whether
  /// or not it follows. \param Done  gets the error StoreUnreachable when the
  /// store has not returned them.
  void readChanges(std::function<void(Result<void>)> Done);
  /// Applies a consistent read of the store that begins now, whether or not the
  /// mirror follows. The store does not hold the call. \param Done  gets the
  /// error StoreUnreachable when the store has not answered.
  void readNow(std::function<void(Result<void>)> Done);
  /// Applies another entry host's snapshot: its full state, or the changes
  /// since a revision that this mirror had reached when it asked.
  void applyFromPeer(const StoreSnapshot &Got);

  /// Starts a list because the response to another call showed that the store
  /// was rolled back to an older copy. A follower does nothing here: it learns
  /// of the rollback from the hosts that watch.
  void storeRolledBack(std::uint64_t Era);

  /// Whether to follow hosts that watch instead of watching.
  void setFollowing(bool Following);
  bool isFollowing() const;

  /// The changes after a revision, for another entry host; all keys if the
  /// removals since that revision are no longer known. Shortly after a rollback
  /// also what is in force from before it.
  StoreSnapshot changesSince(StoreRevision Since) const;
  /// Revision from which on another host's copy includes all that this one
  /// does. It is not before the first state that was loaded here, because
  /// earlier removals are unknown.
  StoreRevision includedFrom() const;
  /// Whether content from before a rollback of the store may be in force, so
  /// that a revision alone does not tell what another copy lacks.
  bool isSettling() const;
  /// Revision up to which all changes have been applied.
  StoreRevision revision() const;
  /// Revision of the newest applied change.
  StoreRevision lastChange() const;
  /// Whether a first state of the store has been loaded.
  bool isLoaded() const;
  /// Whether there was a recent response from the store or update from a host
  /// that watches it, and no change is known to be missing here.
  bool isCurrent() const;
  /// Like isCurrent, but changes may be missing that have been known for less
  /// than MaxLag: they are on their way.
  bool isInContact() const;
  /// Since when changes are known that are missing here; empty when there are
  /// none. Later once some of them have come. Reports of other hosts are
  /// forgotten when a read of the store that began after them does not confirm
  /// them.
  std::optional<TimePoint> behindSince() const;
  /// The newest revision that another host has reported.
  StoreRevision newestReported() const;

  /// Delay of the first watch after the first read, which may be old. Most
  /// hosts have received an update from a host that watches by then, and need
  /// no watch.
  static constexpr Duration FirstWatchDelay = std::chrono::seconds(1);
  /// Longest wait of one watch call. Each returned call is paid for, which
  /// favours a long wait; a dead connection is noticed only after it and the
  /// time-out of a call, which together must be shorter than the time that
  /// hosts have to recover from a disruption. Only a few hosts of a region
  /// watch.
  static constexpr Duration WatchWait = std::chrono::seconds(3);
  /// Time without an update from any host that watches after which a follower
  /// no longer counts as current: the time of seven such updates.
  static constexpr Duration MaxWatcherSilence = std::chrono::milliseconds(1500);
  /// Longest time in which a known change arrives from another host: that of a
  /// few updates between hosts, of which some are lost.
  static constexpr Duration MaxLag = std::chrono::seconds(1);
  /// Number of removals that are kept for hosts that ask for changes.
  static constexpr std::size_t MaxRemovals = 256;
  /// Entries that lapsed during an outage of the store are written again within
  /// about this time of its end.
  static constexpr Duration OutageGrace = std::chrono::seconds(2);
  /// Time after a rollback within which the operator and the endpoints have
  /// written again what the store lost: a few heartbeats of the endpoints, and
  /// the time in which configuration has to be in force.
  static constexpr Duration RollbackSettleTime = std::chrono::seconds(3);
  /// How long a change that a peer has applied may take to arrive from the
  /// store before it is fetched from the peer.
  static constexpr Duration PeerFetchDelay = std::chrono::milliseconds(250);

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
