#ifndef CELERYBEAM_TESTS_SCENARIO_SCENARIOPARSER_H
#define CELERYBEAM_TESTS_SCENARIO_SCENARIOPARSER_H

#include <string_view>

#include <tl/expected.hpp>

#include "scenario/scenariotypes.h"

namespace celerybeam::testing {

/// Reads a scenario. Empty lines and lines that begin with `#` are passed
/// over; a line whose last word is `<<` begins a block.
tl::expected<Scenario, ScenarioFault> parseScenario(std::string_view Text);

/// Reads "250ms", "1500us", "2s" or "10m".
std::optional<Duration> parseDuration(std::string_view Text);

} // namespace celerybeam::testing

#endif
