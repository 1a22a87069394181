// Runs scenario files; a failure prints the line and the trace.

#include <cstdint>
#include <iostream>
#include <string>

#include "scenario/scenariofile.h"
#include "scenario/scenariorunner.h"

namespace {

using namespace celerybeam::testing;

constexpr std::uint64_t DefaultSeed = 1;

bool runFile(const std::string &Path, std::uint64_t Seed) {
  auto Steps = loadScenario(Path);
  if (!Steps) {
    std::cerr << Path << ":" << Steps.error().Line << ": "
              << Steps.error().Message << "\n";
    return false;
  }
  ScenarioRunner Runner(Seed);
  auto Done = Runner.run(*Steps);
  if (Done)
    return true;
  std::string Line;
  for (const Step &S : *Steps)
    if (S.Line == Done.error().Line)
      Line = S.Text;
  std::cerr << Path << ":" << Done.error().Line << " (seed " << Seed
            << "): " << Done.error().Message << "\n    " << Line
            << "\ntrace:\n";
  for (const std::string &Entry : Runner.world().trace())
    std::cerr << "  " << Entry << "\n";
  return false;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count < 2) {
    std::cerr << "usage: celerybeam-scenario FILE [SEED]\n";
    return 2;
  }
  std::uint64_t Seed = Count > 2 ? std::stoull(Arguments[2]) : DefaultSeed;
  return runFile(Arguments[1], Seed) ? 0 : 1;
}
