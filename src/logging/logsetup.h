#ifndef CELERYBEAM_LOGGING_LOGSETUP_H
#define CELERYBEAM_LOGGING_LOGSETUP_H

#include <chrono>
#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>

#include "framework/error.h"
#include "logging/logtypes.h"

namespace celerybeam {

/// Settings of the log.
struct LogOptions {
  LogLevel Level = LogLevel::Info;
  /// One JSON object a line instead of text.
  bool Json = false;
  /// Lines a second of one part; a burst may be BurstSeconds of them at once.
  /// 0: no limit.
  double LinesPerSecond = 100;
  double BurstSeconds = 5;
  /// Time for the lines and the rate limit.
  std::function<std::chrono::system_clock::time_point()> Now =
      std::chrono::system_clock::now;
};

/// Sends all log lines to the stream, replacing an earlier set-up. Without
/// one, lines are dropped.
void setUpLog(std::shared_ptr<std::ostream> Out, LogOptions Options);

/// Sends all log lines to standard error.
void setUpLog(LogOptions Options);

/// Ends the set-up; what waits is written first.
void tearDownLog();

/// Reads a level's name. Fails with InvalidSettings.
Result<LogLevel> parseLogLevel(std::string_view Name);

/// A line of text without its end:
/// "2026-12-04T03:05:42.123Z INFO  [gateway] Sentence. key=value".
std::string renderLogText(const LogRecord &Record);

/// The same as one JSON object:
/// {"time","level","part","message", fields...}.
std::string renderLogJson(const LogRecord &Record);

} // namespace celerybeam

#endif
