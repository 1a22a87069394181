#ifndef CELERYBEAM_TESTS_SCENARIO_SCENARIOTYPES_H
#define CELERYBEAM_TESTS_SCENARIO_SCENARIOTYPES_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "framework/error.h"
#include "framework/runtime.h"

namespace celerybeam::testing {

/// One line of a scenario: an optional time, then words and named values.
///
///     at 2s request r1 via=k1 route=quotes tokens=20
struct Step {
  /// From 1.
  unsigned Line = 0;
  /// The line as written, for reports.
  std::string Text;
  /// Virtual time since the start, when the line begins with `at`.
  std::optional<Duration> At;
  /// Span within which an expectation has to become true (`within`).
  std::optional<Duration> Within;
  std::vector<std::string> Words;
  std::map<std::string, std::string> Named;
  /// Lines of a block that ends with `end`.
  std::string Block;

  const std::string &verb() const { return Words.front(); }
};

using Scenario = std::vector<Step>;

/// A line that cannot be read or carried out.
struct ScenarioFault {
  unsigned Line = 0;
  std::string Message;
};

} // namespace celerybeam::testing

#endif
