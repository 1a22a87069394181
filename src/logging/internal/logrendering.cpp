#include <array>
#include <ctime>

#include <nlohmann/json.hpp>

#include "logging/logsetup.h"

namespace celerybeam {

namespace {

constexpr std::size_t FractionDigits = 3;

constexpr std::array LevelNames = {
    std::pair{LogLevel::Debug, std::string_view("debug")},
    std::pair{LogLevel::Info, std::string_view("info")},
    std::pair{LogLevel::Warning, std::string_view("warning")},
    std::pair{LogLevel::Error, std::string_view("error")},
};

/// Level names for text lines, all of the same width.
std::string_view textLevel(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return "DEBUG";
  case LogLevel::Info:
    return "INFO ";
  case LogLevel::Warning:
    return "WARN ";
  case LogLevel::Error:
    return "ERROR";
  }
  return "ERROR";
}

std::string renderTime(std::chrono::system_clock::time_point Time) {
  auto Millis = std::chrono::floor<std::chrono::milliseconds>(Time);
  auto Seconds = std::chrono::floor<std::chrono::seconds>(Millis);
  std::time_t Clock = std::chrono::system_clock::to_time_t(Seconds);
  std::tm Calendar{};
  gmtime_r(&Clock, &Calendar);
  std::array<char, sizeof("2026-12-04T03:05:42")> Text{};
  std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%S", &Calendar);
  std::string Fraction = std::to_string((Millis - Seconds).count());
  Fraction.insert(0, FractionDigits - Fraction.size(), '0');
  return std::string(Text.data()) + '.' + Fraction + 'Z';
}

nlohmann::json jsonOf(const LogValue &Value) {
  return std::visit([](const auto &V) { return nlohmann::json(V); },
                    Value.get());
}

std::string dump(const nlohmann::ordered_json &Json) {
  return Json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Quotes a text only if it has characters that need it.
std::string renderValue(const LogValue &Value) {
  const auto *Text = std::get_if<std::string>(&Value.get());
  bool Plain = Text != nullptr && !Text->empty();
  for (std::size_t I = 0; Plain && I < Text->size(); ++I) {
    char C = (*Text)[I];
    Plain = C > ' ' && C < '\x7f' && C != '"' && C != '=' && C != '\\';
  }
  return Plain ? *Text : dump(jsonOf(Value));
}

/// Replaces control characters, so that a sentence stays on one line.
std::string oneLine(std::string Text) {
  for (char &C : Text) {
    if (static_cast<unsigned char>(C) < ' ')
      C = ' ';
  }
  return Text;
}

} // namespace

std::string_view logLevelName(LogLevel Level) {
  for (const auto &[Each, Name] : LevelNames) {
    if (Each == Level)
      return Name;
  }
  return "error";
}

Result<LogLevel> parseLogLevel(std::string_view Name) {
  for (const auto &[Level, Each] : LevelNames) {
    if (Each == Name)
      return Level;
  }
  return makeError(ErrorKind::InvalidSettings,
                   "\"" + std::string(Name) +
                       "\" is no log level; write debug, info, warning or "
                       "error.");
}

std::string renderLogText(const LogRecord &Record) {
  std::string Line = renderTime(Record.Time);
  Line += ' ';
  Line += textLevel(Record.Level);
  Line += " [" + Record.Part + "] " + oneLine(Record.Sentence);
  for (const LogField &Field : Record.Fields)
    Line += ' ' + Field.Name + '=' + renderValue(Field.Value);
  return Line;
}

std::string renderLogJson(const LogRecord &Record) {
  nlohmann::ordered_json Line;
  Line["time"] = renderTime(Record.Time);
  Line["level"] = logLevelName(Record.Level);
  Line["part"] = Record.Part;
  Line["message"] = Record.Sentence;
  for (const LogField &Field : Record.Fields)
    Line[Field.Name] = jsonOf(Field.Value);
  return dump(Line);
}

} // namespace celerybeam
