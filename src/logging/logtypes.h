#ifndef CELERYBEAM_LOGGING_LOGTYPES_H
#define CELERYBEAM_LOGGING_LOGTYPES_H

#include <chrono>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "framework/strongid.h"

namespace celerybeam {

enum class LogLevel { Debug, Info, Warning, Error };

/// The name of a level as in the settings: "debug", "info", "warning",
/// "error".
std::string_view logLevelName(LogLevel Level);

/// The value of a log field.
class LogValue {
public:
  LogValue(std::string Text) : Value_(std::move(Text)) {}
  LogValue(std::string_view Text) : Value_(std::string(Text)) {}
  LogValue(const char *Text) : Value_(std::string(Text)) {}
  LogValue(bool Yes) : Value_(Yes) {}
  LogValue(std::integral auto Number)
      : Value_(static_cast<std::int64_t>(Number)) {}
  LogValue(std::floating_point auto Number)
      : Value_(static_cast<double>(Number)) {}
  template <typename Tag>
  LogValue(const StrongId<Tag> &Id) : Value_(Id.str()) {}

  const std::variant<std::string, bool, std::int64_t, double> &get() const {
    return Value_;
  }

private:
  std::variant<std::string, bool, std::int64_t, double> Value_;
};

/// One key=value pair of a log line.
struct LogField {
  std::string Name;
  LogValue Value;
};

using LogFields = std::vector<LogField>;

/// A log line before it is rendered.
struct LogRecord {
  std::chrono::system_clock::time_point Time;
  LogLevel Level = LogLevel::Info;
  std::string Part;
  std::string Sentence;
  LogFields Fields;
};

} // namespace celerybeam

#endif
