#ifndef CELERYBEAM_FLEET_RECENCYCHECK_H
#define CELERYBEAM_FLEET_RECENCYCHECK_H

#include <cstdint>
#include <functional>
#include <optional>

#include "fleet/storemirror.h"
#include "framework/runtime.h"

namespace celerybeam {

/// A change of what a RecencyCheck assumes, for the log.
struct RecencyChange {
  enum class Kind {
    /// The copy may be outdated.
    Doubted,
    /// A current host or the store has confirmed it.
    Confirmed,
    /// Nobody has confirmed it in time; requests go on with it.
    Unconfirmed,
    /// It has lacked known changes for MaxLag, or nobody offers them any more;
    /// requests go on with it.
    Behind,
    /// It has lacked changes that other hosts offer for MaxOutdated; requests
    /// are refused.
    Outdated,
    /// Those changes have come.
    CaughtUp
  };
  Kind What = Kind::Doubted;
  /// Time for which the process stood still, or has known of changes that the
  /// copy lacks; zero after a start.
  Duration Gap{};
  /// Time since the copy became doubtful by a start or standstill.
  Duration Age{};
};

/// Tells whether this host's copy of the store may have missed changes because
/// its process has just started or stood still, or because known changes have
/// not come. Requests that arrived during a standstill are handled before any
/// update is, so they wait until the copy has been confirmed, for MaxWait at
/// most: a host that nobody can confirm has to go on.
///
/// A standstill is noticed by the first call after it, in whatever order the
/// event loop runs timers and sockets. Handles these load patterns: "a host
/// freezes and wakes", "hosts are killed and restarted", "no host hands over
/// the changes that it reports". Not thread-safe.
class RecencyCheck {
public:
  /// Identifies a start or standstill. A confirmation that was requested before
  /// the latest one does not count.
  struct Episode {
    std::uint64_t Value = 0;
    bool operator==(const Episode &) const = default;
  };

  struct Hooks {
    /// Requests a confirmation; called again at intervals that grow from
    /// AskInterval to LongestAskInterval. \param Round  counts the calls for an
    /// episode from zero.
    std::function<void(Episode, unsigned Round)> Ask;
    /// May be empty.
    std::function<void(const RecencyChange &)> Changed;
    /// Since when changes are known that the copy lacks; empty when there are
    /// none. May be empty.
    std::function<std::optional<TimePoint>()> BehindSince = {};
    /// Whether another host that answers has these changes. May be empty.
    std::function<bool()> IsOffered = {};
  };

  /// The copy is doubtful from the construction on.
  RecencyCheck(Runtime R, Hooks H);

  /// Call often, at intervals well below MaxGap.
  void tick();
  /// Whether requests may be handled by the copy now.
  bool mayAct();
  /// Whether the copy is known to be recent, or has been in use unconfirmed for
  /// MaxDoubt without a sign that it lacks changes. Needed before other hosts
  /// are told that it is current. It says nothing of the time since then; see
  /// ReadBarrier.
  bool isConfirmed();
  /// Whether the copy is known to be outdated and requests must not be handled
  /// by it: changes that another host offers have not come within MaxOutdated.
  /// A host that nobody offers them may be cut off and goes on.
  bool isOutdated();
  /// Records that the copy includes all that a current host or the store knew
  /// when it was asked.
  void confirm(Episode Asked);
  /// Records that a consistent read of the store, begun at this time, has been
  /// applied.
  void confirmByRead(TimePoint Begun);

  /// A longer time without a call is a standstill. A shorter one delays updates
  /// no more than a lost datagram does.
  static constexpr Duration MaxGap = std::chrono::seconds(1);
  /// Longest time that requests wait: two round trips to another region, plus a
  /// margin.
  static constexpr Duration MaxWait = std::chrono::milliseconds(500);
  /// The first two intervals between requests for a confirmation. The later
  /// ones double, since a host that several others have not confirmed by then
  /// is probably partitioned, or many hosts ask at the same time.
  static constexpr Duration AskInterval = std::chrono::milliseconds(100);
  static constexpr Duration LongestAskInterval = std::chrono::milliseconds(500);
  /// Hosts in touch have received all earlier changes by then.
  static constexpr Duration MaxDoubt = std::chrono::seconds(5);

  /// A copy that has lacked known changes for longer is not confirmed until
  /// they have come.
  static constexpr Duration MaxLag = StoreMirror::MaxLag;
  /// Hosts in touch follow a change within 3 s of its acknowledgement. Other
  /// hosts report it within half a second of that.
  static constexpr Duration MaxOutdated = std::chrono::milliseconds(2500);

private:
  /// Notices a standstill, or that a doubt has lasted for MaxWait or MaxDoubt.
  void update();
  void doubt(Duration Gap);
  /// Notices that known changes have not come, or have come at last.
  void updateLag();
  /// Whether the host may have stood still since the last call.
  bool mayHaveStoodStill() const;
  void end();
  void report(RecencyChange::Kind What, Duration Gap = {});

  Runtime Runtime_;
  Hooks Hooks_;
  Episode Episode_;
  TimePoint LastCall_;
  TimePoint AsksAt_;
  unsigned Round_ = 0;
  std::optional<TimePoint> DoubtedSince_;
  bool WaitEnded_ = false;
  bool IsBehind_ = false;
  bool IsOutdated_ = false;
};

} // namespace celerybeam

#endif
