#include "scenario/scenariofile.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include "scenario/scenarioparser.h"

namespace celerybeam::testing {

namespace {

tl::expected<Scenario, ScenarioFault> readFile(const std::string &Path) {
  std::ifstream In(Path);
  if (!In)
    return tl::unexpected(
        ScenarioFault{0, Path + " cannot be read; check the path"});
  std::ostringstream Text;
  Text << In.rdbuf();
  return parseScenario(Text.str());
}

} // namespace

tl::expected<Scenario, ScenarioFault> loadScenario(const std::string &Path) {
  auto Steps = readFile(Path);
  if (!Steps)
    return Steps;
  auto Setups = std::filesystem::path(Path).parent_path() / "setups";
  Scenario All;
  for (Step &S : *Steps) {
    if (S.verb() != "use" || S.Words.size() != 2) {
      All.push_back(std::move(S));
      continue;
    }
    auto Setup = readFile((Setups / (S.Words[1] + ".scn")).string());
    if (!Setup)
      return tl::unexpected(ScenarioFault{S.Line, Setup.error().Message});
    for (Step &Inner : *Setup) {
      // A fault of the setup is reported at the line that uses it.
      Inner.Line = S.Line;
      All.push_back(std::move(Inner));
    }
  }
  return All;
}

} // namespace celerybeam::testing
