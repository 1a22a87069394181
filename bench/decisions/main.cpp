#include <iostream>
#include <string>
#include <vector>

#include <boost/program_options.hpp>

#include "decisions/fleet.h"

using namespace celerybeam;
using namespace celerybeam::bench;

namespace {

/// Requests a second that the eighteen engines serve when all slots are busy.
constexpr double Capacity = 17;

struct Scenario {
  std::string Name;
  /// Offered load, as a share of the capacity.
  double Load = 0.6;
  bool ShortOnly = false;
  std::vector<double> RegionWeights = {1, 1, 1};
  std::size_t SlowEngines = 0;
  unsigned Resends = 0;
};

std::vector<Scenario> scenarios() {
  return {
      {"mix", 0.6},
      {"short-only", 0.6, true},
      {"stragglers", 0.6, false, {1, 1, 1}, 2},
      {"peak", 0.55, false, {4, 1, 1}},
      {"load-1x", 1},
      {"load-2x", 2},
      {"load-3x", 3},
      {"load-3x-resent", 3, false, {1, 1, 1}, 0, 5},
  };
}

std::vector<Policy> policies() {
  return {Policy::Random, Policy::RoundRobin, Policy::LeastLoad,
          Policy::AllKnowing, Policy::Celerybeam};
}

RunPlan planOf(const Scenario &S, Policy Rule, const UserProfile &User,
               Duration Length, std::uint64_t Seed) {
  RunPlan Plan;
  Plan.Rule = Rule;
  Plan.User = User;
  Plan.Load.Seed = Seed;
  Plan.Load.Length = Length;
  Plan.Load.RequestsPerSecond = S.Load * Capacity;
  Plan.Load.RegionWeights = S.RegionWeights;
  Plan.Load.ShortOnly = S.ShortOnly;
  Plan.SlowEngines = S.SlowEngines;
  Plan.Resends = S.Resends;
  return Plan;
}

} // namespace

int main(int Argc, char **Argv) {
  namespace options = boost::program_options;
  std::string OnlyUser;
  std::string OnlyScenario;
  std::string OnlyPolicy;
  unsigned Seconds = 600;
  std::uint64_t Seed = 1;
  options::options_description Described(
      "Compares routing and admission with "
      "simple policies on the same arrivals");
  Described.add_options()("help", "shows this text");
  Described.add_options()("user", options::value(&OnlyUser),
                          "umusozi or karaganda; both by default");
  Described.add_options()("scenario", options::value(&OnlyScenario),
                          "one scenario; all by default");
  Described.add_options()("policy", options::value(&OnlyPolicy),
                          "one policy; all by default");
  Described.add_options()("seconds", options::value(&Seconds),
                          "virtual seconds of arrivals");
  Described.add_options()("seed", options::value(&Seed),
                          "seed of the arrivals");
  options::variables_map Given;
  options::store(options::parse_command_line(Argc, Argv, Described), Given);
  options::notify(Given);
  if (Given.count("help")) {
    std::cout << Described;
    return 0;
  }
  for (const UserProfile &User : {umusozi(), karaganda()}) {
    if (!OnlyUser.empty() && OnlyUser != User.Name)
      continue;
    std::cout << User.Name << ", seed " << Seed << ", " << Seconds
              << " s of arrivals" << std::endl;
    printHeader();
    for (const Scenario &S : scenarios()) {
      if (!OnlyScenario.empty() && OnlyScenario != S.Name)
        continue;
      for (Policy Rule : policies()) {
        if (!OnlyPolicy.empty() && OnlyPolicy != policyName(Rule))
          continue;
        RunPlan Plan =
            planOf(S, Rule, User, std::chrono::seconds(Seconds), Seed);
        printRow(S.Name, policyName(Rule), Fleet(Plan).run());
      }
    }
  }
}
