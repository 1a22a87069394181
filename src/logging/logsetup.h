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

/// Options of the log: level, format, rate limit and clock.
struct LogOptions {
  LogLevel Level = LogLevel::Info;
  /// One JSON object a line instead of text.
  bool Json = false;
  /// Lines per second for each part; a burst may have the lines of
  /// BurstSeconds at once, which is LinesPerSecond * BurstSeconds. 0: no
  /// limit.
  double LinesPerSecond = 100;
  double BurstSeconds = 5;
  /// The clock for the time stamps and the rate limit.
  std::function<std::chrono::system_clock::time_point()> Now =
      std::chrono::system_clock::now;
};

/// Sends all log lines to the stream, instead of an earlier one. Before the
/// first call, lines are dropped.
void setUpLog(std::shared_ptr<std::ostream> Out, LogOptions Options);

/// Sends all log lines to standard error.
void setUpLog(LogOptions Options);

/// Flushes pending lines and stops logging.
void tearDownLog();

/// Reads a level's name. Fails with InvalidSettings.
Result<LogLevel> parseLogLevel(std::string_view Name);

/// A record as a line of text without the line end:
/// "2026-12-04T03:05:42.123Z INFO  [gateway] Sentence. key=value".
std::string renderLogText(const LogRecord &Record);

/// A record as one JSON object:
/// {"time","level","part","message", fields...}.
std::string renderLogJson(const LogRecord &Record);

} // namespace celerybeam

#endif
