#include "scenario/stepvalues.h"

#include "scenario/scenarioparser.h"

namespace celerybeam::testing {

std::string textOf(const Step &S, const std::string &Name,
                   const std::string &Default) {
  auto It = S.Named.find(Name);
  return It == S.Named.end() ? Default : It->second;
}

double numberOf(const Step &S, const std::string &Name, double Default) {
  auto It = S.Named.find(Name);
  return It == S.Named.end() ? Default : std::stod(It->second);
}

Duration durationOf(const Step &S, const std::string &Name, Duration Default) {
  auto It = S.Named.find(Name);
  if (It == S.Named.end())
    return Default;
  return parseDuration(It->second).value_or(Default);
}

std::string checkBounds(const Step &S, double Figure) {
  bool Fits = Figure >= numberOf(S, "min", Figure) &&
              Figure <= numberOf(S, "max", Figure) &&
              Figure == numberOf(S, "is", Figure);
  return Fits ? "" : "saw " + std::to_string(Figure);
}

std::string checkBounds(const Step &S, Duration Figure) {
  bool Fits = Figure >= durationOf(S, "min", Figure) &&
              Figure <= durationOf(S, "max", Figure);
  return Fits ? "" : "saw " + std::to_string(Figure.count() / 1000) + "ms";
}

} // namespace celerybeam::testing
