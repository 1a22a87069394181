#ifndef CELERYBEAM_HTTPCLIENT_INTERNAL_SUSPECTHOSTS_H
#define CELERYBEAM_HTTPCLIENT_INTERNAL_SUSPECTHOSTS_H

#include <chrono>
#include <mutex>
#include <string>
#include <unordered_map>

namespace celerybeam {

/// Servers to which a connection became unresponsive; calls to them use fresh
/// connections.
///
/// When one idle connection is unresponsive, others to the same server may be
/// as well. All of them have exceeded the idle limit once the span is over.
/// Thread-safe.
class SuspectHosts {
public:
  using Clock = std::chrono::steady_clock;

  /// \param Span  how long a server stays suspect.
  explicit SuspectHosts(std::chrono::seconds Span);

  void markSuspect(const std::string &Origin, Clock::time_point Now);
  bool isSuspect(const std::string &Origin, Clock::time_point Now);

private:
  const std::chrono::seconds Span_;
  std::mutex Mutex_;
  std::unordered_map<std::string, Clock::time_point> Until_;
};

} // namespace celerybeam

#endif
