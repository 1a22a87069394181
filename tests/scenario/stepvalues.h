#ifndef CELERYBEAM_TESTS_SCENARIO_STEPVALUES_H
#define CELERYBEAM_TESTS_SCENARIO_STEPVALUES_H

#include <string>

#include "scenario/scenariotypes.h"

namespace celerybeam::testing {

/// The named value of a step, or the default.
std::string textOf(const Step &S, const std::string &Name,
                   const std::string &Default = "");
double numberOf(const Step &S, const std::string &Name, double Default);
Duration durationOf(const Step &S, const std::string &Name, Duration Default);

/// Checks a figure against the step's `is`, `min` and `max`. Empty when it
/// fits, else what was seen.
std::string checkBounds(const Step &S, double Figure);
std::string checkBounds(const Step &S, Duration Figure);

} // namespace celerybeam::testing

#endif
