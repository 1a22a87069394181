#ifndef CELERYBEAM_TESTS_SCENARIO_SCENARIOFILE_H
#define CELERYBEAM_TESTS_SCENARIO_SCENARIOFILE_H

#include <string>

#include <tl/expected.hpp>

#include "scenario/scenariotypes.h"

namespace celerybeam::testing {

/// Reads a scenario file. A line `use NAME` stands for the steps of
/// setups/NAME.scn beside it.
tl::expected<Scenario, ScenarioFault> loadScenario(const std::string &Path);

} // namespace celerybeam::testing

#endif
