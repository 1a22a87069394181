#ifndef CELERYBEAM_LOGGING_LOGGER_H
#define CELERYBEAM_LOGGING_LOGGER_H

#include <string>

#include "logging/logtypes.h"

namespace celerybeam {

/// Writes the log lines of one part of the program. Cheap to copy;
/// thread-safe.
///
/// A sentence is short and starts with a capital letter; variable data goes
/// into fields.
class Logger {
public:
  explicit Logger(std::string Part) : Part_(std::move(Part)) {}

  void debug(std::string Sentence, LogFields Fields = {}) const {
    write(LogLevel::Debug, std::move(Sentence), std::move(Fields));
  }
  void info(std::string Sentence, LogFields Fields = {}) const {
    write(LogLevel::Info, std::move(Sentence), std::move(Fields));
  }
  void warning(std::string Sentence, LogFields Fields = {}) const {
    write(LogLevel::Warning, std::move(Sentence), std::move(Fields));
  }
  void error(std::string Sentence, LogFields Fields = {}) const {
    write(LogLevel::Error, std::move(Sentence), std::move(Fields));
  }

private:
  void write(LogLevel Level, std::string Sentence, LogFields Fields) const;

  std::string Part_;
};

} // namespace celerybeam

#endif
