#ifndef CELERYBEAM_FLEETHOST_INTERNAL_MIRRORCATCHUP_H
#define CELERYBEAM_FLEETHOST_INTERNAL_MIRRORCATCHUP_H

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "fleet/storemirror.h"
#include "fleethost/internal/sourceranking.h"
#include "fleethost/internal/tablefetchplan.h"

namespace celerybeam::detail {

/// What happened while a mirror lacked changes that it knew of, for the log.
struct CatchUpEvent {
  enum class Kind {
    /// A host did not hand over the changes; the first failure of each host.
    SourceFailed,
    /// The store is read, since no host has handed them over in time.
    StoreAsked,
    /// The store did not answer either.
    StoreFailed,
    /// The mirror has them. Only after one of the above.
    CaughtUp
  };
  Kind What = Kind::SourceFailed;
  MirrorPart Part = MirrorPart::OperatorTables;
  /// The host that failed, and why; the error of the store.
  std::string From;
  std::string Why;
  /// Time for which the mirror has lacked changes.
  Duration Behind{};
  /// Questions to hosts since then.
  unsigned Asked = 0;
  StoreRevision Applied;
  StoreRevision Known;
};

/// Gets a mirror the changes that it is known to lack: from other hosts, and in
/// the end from the store.
///
/// Handles these load patterns: "the host that is asked refuses, stands still
/// or hands over too little", "no other host can be reached". Asks another host
/// at once after a failure, and beside one that does not answer after a short
/// time. The store is read by hosts at different times, since each call is paid
/// for. Not thread-safe.
class MirrorCatchUp : public std::enable_shared_from_this<MirrorCatchUp> {
public:
  /// The answer may come late but never on the calling stack.
  struct Hooks {
    std::function<void(const std::string &Ip, StoreRevision Since,
                       StoreMirrorHooks::Answer)>
        Fetch;
    /// May be empty.
    std::function<void(const CatchUpEvent &)> Report;
    /// Whether a host is handing over the changes. No other one is asked
    /// meanwhile, and the store is not read: on a slow link none of them would
    /// come to an end. May be empty.
    std::function<bool()> IsReceiving = {};
    /// Ends the slowest of the transfers, or all of them. May be empty.
    std::function<void()> EndSlowest = {};
    std::function<void()> EndAll = {};
  };

  MirrorCatchUp(Runtime R, SourceRanking &Sources, StoreMirror &Mirror,
                MirrorPart Part, Hooks H);

  /// Fetches the changes after the mirror's revision for the mirror itself; see
  /// StoreMirrorHooks::FetchFromPeer.
  void fetch(StoreMirrorHooks::Answer Then);
  /// Asks for changes that a request needs. Call again while it does. \param
  /// Sender  the host that has sent the request by them; empty when unknown.
  void fetchFor(const std::string &Sender);
  /// Since when the mirror has lacked changes that other hosts report or that a
  /// request has needed; empty when it lacks none.
  std::optional<TimePoint> behindSince() const;
  /// Whether a host that answers has changes that the mirror lacks.
  bool isOffered() const;
  /// Call often. Has the store read when it is due, and notes the end of a lag.
  void tick();

  /// Time that hosts of this region have to report changes that are only
  /// reported by other regions: one interval of their updates, plus a margin.
  /// Bytes between regions are paid for.
  static constexpr Duration FarDelay = std::chrono::milliseconds(300);
  /// Time after which the store is read. By then several hosts have been asked
  /// in vain. A random part of up to the same length is added.
  static constexpr Duration StoreReadDelay = std::chrono::milliseconds(1500);
  /// Longest time between two reads; they double from StoreReadDelay on.
  static constexpr Duration LongestStoreReadDelay = std::chrono::seconds(12);
  /// Shortest time between two hosts that are given up as too slow.
  static constexpr Duration ReplaceInterval = std::chrono::seconds(1);
  /// Hosts whose failures are reported during one lag.
  static constexpr std::size_t MaxReportedSources = 8;

private:
  /// Asks the next host if one is wanted and may be asked now.
  void ask(bool ForRequest = false, const std::string &Sender = "");
  void askLater();
  void answered(const std::string &Ip, StoreRevision Expected,
                const Result<StoreSnapshot> &Got);
  void finish(Result<StoreSnapshot> Got);
  bool isReceiving() const {
    return Hooks_.IsReceiving && Hooks_.IsReceiving();
  }
  /// Makes room for another host when the ones that are asked take too long.
  void replaceSlowest();
  /// Whether to leave hosts of this region time to report the changes.
  bool awaitsNearReport() const;
  void readStore();
  /// Random, so that not all hosts read the store at the same time.
  Duration spread() const;
  void report(CatchUpEvent::Kind What, const std::string &From = "",
              const std::string &Why = "");

  Runtime Runtime_;
  SourceRanking &Sources_;
  StoreMirror &Mirror_;
  MirrorPart Part_;
  Hooks Hooks_;
  TableFetchPlan Plan_;
  /// The mirror's question, until it is answered.
  StoreMirrorHooks::Answer Pending_;
  bool AskScheduled_ = false;
  /// Changes that a request has needed. Their revision is unknown, so any
  /// change that comes, or a read of the store, ends the need.
  struct RequestNeed {
    TimePoint Since{};
    StoreRevision After;
  };
  std::optional<RequestNeed> RequestNeed_;
  /// The start of the present lag at the latest tick; what follows belongs to
  /// this lag.
  std::optional<TimePoint> BehindSince_;
  TimePoint ReadsStoreAt_{};
  Duration StoreReadInterval_{};
  bool ReadingStore_ = false;
  TimePoint ReplacedAt_{};
  unsigned Asked_ = 0;
  bool Reported_ = false;
  std::set<std::string> ReportedSources_;
};

} // namespace celerybeam::detail

#endif
