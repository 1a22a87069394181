#ifndef CELERYBEAM_LOGGING_INTERNAL_LINELIMIT_H
#define CELERYBEAM_LOGGING_INTERNAL_LINELIMIT_H

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace celerybeam {

/// Limits the log lines of each part with a token bucket. Thread-safe.
class LineLimit {
public:
  using TimePoint = std::chrono::system_clock::time_point;

  /// \param PerSecond  0: no limit.
  LineLimit(double PerSecond, double BurstSeconds);

  /// Takes a token. Returns nothing when the line must be dropped, else the
  /// number of lines of the part dropped since its last admitted line.
  std::optional<std::uint64_t> admit(const std::string &Part, TimePoint Now);

private:
  struct Bucket {
    double Tokens = 0;
    TimePoint At;
    std::uint64_t Dropped = 0;
  };

  const double PerSecond_;
  const double Capacity_;
  std::mutex Mutex_;
  std::unordered_map<std::string, Bucket> Buckets_;
};

} // namespace celerybeam

#endif
