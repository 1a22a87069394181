#ifndef CELERYBEAM_DISPATCH_CRASHTRACKER_H
#define CELERYBEAM_DISPATCH_CRASHTRACKER_H

#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

#include "framework/runtime.h"

namespace celerybeam {

/// An endpoint's connection broke while it ran the request.
struct CrashReport {
  std::uint64_t Fingerprint = 0;
  /// Identifies the event, so that it counts once however often it is reported.
  std::uint64_t Event = 0;
  /// Time since the latest crash under the request, in a report to a host that
  /// has just started; zero when the event has just happened.
  Duration Age{};
};

/// Counts how often endpoints crash while they run the same request, over all
/// hosts. Requests above a limit are refused.
///
/// Handles this load pattern: "one request crashes each endpoint that runs it,
/// and its caller sends it again to another host". One success resets a
/// request's count. Not thread-safe.
class CrashTracker {
public:
  explicit CrashTracker(Runtime R) : Runtime_(std::move(R)) {}

  /// An endpoint broke off while it ran the request; reports this to the other
  /// hosts. \return the request's crashes that count; 0 if there is no room.
  std::size_t recordCrash(std::uint64_t Fingerprint);
  /// Another host reported a crash; forwards the report if it is new to this
  /// host and has just happened.
  void recordPeerReport(const CrashReport &Report);
  void recordSuccess(std::uint64_t Fingerprint);
  /// Whether the request is to be refused.
  bool isRefused(std::uint64_t Fingerprint) const;

  /// All crashes that count, for a host that has just started.
  std::vector<CrashReport> recentCrashes() const;

  /// Reports for the other hosts since the last call.
  std::vector<CrashReport> takeReports();

  /// Crashes without a success after which a request is refused. One may be a
  /// reset connection and two a coincidence.
  static constexpr unsigned Limit = 3;
  static constexpr Duration Retention = std::chrono::seconds(60);
  static constexpr std::size_t MaxEntries = 4096;

private:
  struct Entry {
    std::set<std::uint64_t> Events;
    TimePoint Last{};
  };

  Runtime Runtime_;
  std::unordered_map<std::uint64_t, Entry> Entries_;
  std::vector<CrashReport> Reports_;
};

} // namespace celerybeam

#endif
