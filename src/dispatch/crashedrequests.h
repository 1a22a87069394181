#ifndef CELERYBEAM_DISPATCH_CRASHEDREQUESTS_H
#define CELERYBEAM_DISPATCH_CRASHEDREQUESTS_H

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "framework/runtime.h"

namespace celerybeam {

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
  /// Another host saw that.
  void peerSaw(std::uint64_t Fingerprint);
  void succeeded(std::uint64_t Fingerprint);
  /// Whether the request is refused.
  bool isRefused(std::uint64_t Fingerprint) const;

  /// What to tell the other hosts since the last call.
  std::vector<std::uint64_t> takeReports();

  /// Breaks without a success after which a request is refused. One break may
  /// be a reset connection and two a coincidence.
  static constexpr unsigned Limit = 3;
  static constexpr Duration Retention = std::chrono::seconds(60);
  static constexpr std::size_t MaxEntries = 4096;

private:
  struct Entry {
    unsigned Count = 0;
    TimePoint Last{};
  };
  void count(std::uint64_t Fingerprint);

  Runtime Runtime_;
  std::unordered_map<std::uint64_t, Entry> Entries_;
  std::vector<std::uint64_t> Reports_;
};

} // namespace celerybeam

#endif
