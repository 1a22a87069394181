#ifndef CELERYBEAM_DISPATCH_CRASHTRACKER_H
#define CELERYBEAM_DISPATCH_CRASHTRACKER_H

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "dispatch/crashtypes.h"

namespace celerybeam {

/// Finds out which part of prompts, or which request, makes endpoints crash, by
/// what all hosts have seen, and refuses the requests that have it.
///
/// Handles these load patterns: "requests that are all different share a part
/// under which each endpoint crashes, and share another part with sound
/// requests", and "one request crashes each endpoint that runs it, and its
/// caller sends it again to another host".
///
/// A crash counts once, however many runs it breaks off and however many hosts
/// see it, against all suspects of the runs that had not yet gone on for
/// SurvivalTime. A run that goes on for that long, or completes, clears its
/// suspects of the crashes before its first output. Of the suspects that reach
/// their limit, the ones that explain the crashes best are refused: those that
/// are in more crashes than their share of the requests makes likely. Crashes
/// that these explain don't count against others, so neither a part that all
/// requests share nor the runs beside a crash get the blame.
///
/// A refused suspect is tried again by one request at a time, at intervals that
/// grow; a trial that survives clears it. Not thread-safe.
class CrashTracker {
public:
  struct Hooks {
    /// Called for each change; must not call the tracker.
    std::function<void(const CrashChange &)> Changed;
    /// Called with each endpoint whose crash a refused suspect explains.
    std::function<void(const EndpointKey &)> Absolve;
    /// Whether this host may send the trial of that number, which has been due
    /// for some time. Unset: it may.
    std::function<bool(CrashSuspect, std::uint32_t Trial, Duration Overdue)>
        OwnsTrial;
  };

  explicit CrashTracker(Runtime R);
  ~CrashTracker();
  void setHooks(Hooks H);

  /// Counts a request that arrived at this host.
  void recordArrival(const CrashSuspects &Request);
  /// An endpoint closed or reset the connection while it ran the request. It
  /// counts as a crash unless the endpoint shows within ConfirmTime that it
  /// goes on. Runs for which survives() holds are not to be recorded.
  void recordBreak(const EndpointKey &Endpoint, const CrashSuspects &Request,
                   TimePoint SentAt);
  /// The endpoint has sent something just now.
  void recordAlive(const EndpointKey &Endpoint);
  /// The endpoint does not accept connections.
  void recordUnreachable(const EndpointKey &Endpoint);
  /// A run has gone on for SurvivalTime, or completed.
  void recordSound(const CrashSuspects &Request, TimePoint BegunAt);
  /// Whether a run with its first output at that time is known to be sound.
  bool survives(TimePoint BegunAt) const;

  /// Whether and why the request is to be refused now.
  std::optional<CrashVerdict> check(const CrashSuspects &Request);
  /// A request with the suspect is sent as its trial.
  void beginTrial(CrashSuspect Suspect);
  /// The most crashes that count against one suspect of the request; 0 for a
  /// single one.
  std::size_t crashesOf(const CrashSuspects &Request);

  /// Applies what another host reports.
  void received(const CrashNews &News);
  /// What is new for the other hosts since the last call.
  /// \param ForwardsOthers  whether to include what other hosts reported.
  CrashNews takeNews(bool ForwardsOthers);
  /// What counts now, for a host that has just started.
  CrashNews currentNews();
  /// Endpoints that broke off a run, to be asked whether they go on.
  std::vector<EndpointKey> takeProbes();

  /// Crashes after which a suspect is refused. One may be a reset connection
  /// and two a coincidence; a part has more of them by chance, since several
  /// requests share it.
  static constexpr std::size_t WholeLimit = 3;
  static constexpr std::size_t PartLimit = 5;
  /// How much more likely the crashes must be with the suspect as their cause
  /// than by chance, as a natural logarithm.
  static constexpr double MinEvidence = 4;
  /// A whole request needs no such evidence unless it is more than this share
  /// of its scope's requests.
  static constexpr double CommonShare = 0.5;
  /// A suspect that is in all crashes is refused without evidence after so many
  /// of them: there may be no requests without it.
  static constexpr std::size_t CommonWholeLimit = 6;
  static constexpr std::size_t CommonPartLimit = 8;
  /// A run that goes on for so long after its first output did not crash its
  /// endpoint by beginning.
  static constexpr Duration SurvivalTime = std::chrono::seconds(1);
  static constexpr Duration ConfirmTime = std::chrono::milliseconds(300);
  /// Bytes that an endpoint sent before its crash may be read so much later.
  static constexpr Duration AliveMargin = std::chrono::milliseconds(20);
  /// Reports of one endpoint's crashes within this time are of the same crash.
  static constexpr Duration SameCrashTime = std::chrono::milliseconds(600);
  /// A report of a run that is known arrives at most this much later. A host
  /// that is short of processor time reads datagrams seconds late, and the age
  /// in a report does not grow in transit: without this limit such hosts took
  /// each other's copies for new crashes and forwarded them without end.
  static constexpr Duration LateReportTime = std::chrono::seconds(10);
  /// Crashes of several endpoints within this time count as one.
  static constexpr Duration CommonCauseTime = std::chrono::milliseconds(200);
  static constexpr Duration Retention = std::chrono::minutes(10);
  /// From the refusal to the first trial; each further interval is longer by
  /// the factor, up to the longest.
  static constexpr Duration FirstTrialAfter = std::chrono::seconds(10);
  static constexpr int TrialFactor = 10;
  static constexpr Duration LongestTrialInterval = std::chrono::hours(24);
  /// A refused suspect that no request has is forgotten after this time.
  static constexpr Duration RefusalRetention = std::chrono::hours(48);
  /// The reports of this host are sent once more after this time, since a
  /// datagram may be lost.
  static constexpr Duration RepeatAfter = std::chrono::seconds(1);
  static constexpr std::size_t MaxCrashes = 64;
  static constexpr std::size_t MaxRunsPerCrash = 16;
  static constexpr std::size_t MaxEntries = 4096;
  static constexpr std::size_t MaxRefused = 1024;
  /// Runs of other hosts that are forwarded within LateReportTime: as many as
  /// the tracker holds.
  static constexpr std::size_t MaxForwardedRuns = MaxCrashes * MaxRunsPerCrash;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
