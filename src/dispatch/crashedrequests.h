#ifndef CELERYBEAM_DISPATCH_CRASHEDREQUESTS_H
#define CELERYBEAM_DISPATCH_CRASHEDREQUESTS_H

#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

#include "framework/runtime.h"

namespace celerybeam {

/// An endpoint broke off under a request.
struct CrashReport {
  std::uint64_t Fingerprint = 0;
  /// Names the event, so that it counts once however often it is told.
  std::uint64_t Event = 0;
};

/// Counts how often endpoints broke off under the same request, on any host.
///
/// Answers to "one request crashes each endpoint that runs it, and its caller
/// sends it again to another host". One success clears a request. Not
/// thread-safe.
class CrashedRequests {
public:
  explicit CrashedRequests(Runtime R) : Runtime_(std::move(R)) {}

  /// An endpoint broke off under the request; other hosts are told.
  void crashed(std::uint64_t Fingerprint);
  /// Another host saw that; it is told on if it is news here.
  void peerSaw(const CrashReport &Report);
  void succeeded(std::uint64_t Fingerprint);
  /// Whether the request is refused.
  bool isRefused(std::uint64_t Fingerprint) const;

  /// What to tell the other hosts since the last call.
  std::vector<CrashReport> takeReports();

  /// Breaks without a success after which a request is refused. One break may
  /// be a reset connection and two a coincidence.
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
