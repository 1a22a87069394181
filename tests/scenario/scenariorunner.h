#ifndef CELERYBEAM_TESTS_SCENARIO_SCENARIORUNNER_H
#define CELERYBEAM_TESTS_SCENARIO_SCENARIORUNNER_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "scenario/scenariotypes.h"
#include "scenario/world.h"

namespace celerybeam::testing {

/// Why a step failed; empty on success.
using StepResult = tl::expected<void, std::string>;

/// Carries out a scenario. Words are explained in docs/SCENARIOS.md.
class ScenarioRunner {
public:
  explicit ScenarioRunner(std::uint64_t Seed);
  ~ScenarioRunner();

  /// Runs all steps, then checks the rules that always hold. Stops at the
  /// first fault.
  tl::expected<void, ScenarioFault> run(const Scenario &Steps);

  World &world() { return *World_; }

private:
  using Action = std::function<StepResult(const Step &)>;

  void addSetupVerbs();
  void addFaultVerbs();
  void addCallVerbs();
  void addExpectations();
  StepResult carryOut(const Step &S);
  StepResult expect(const Step &S);

  StepResult addHosts(const Step &S);
  StepResult addEndpoints(const Step &S, PoolKind Kind);
  StepResult applyTables(const Step &S);
  StepResult sendRequest(const Step &S);
  StepResult sendBooking(const Step &S);
  StepResult startLoad(const Step &S);
  void loadArrival(const Step &S, const std::string &Name, unsigned Index,
                   TimePoint Until);
  StepResult eachHost(const Step &S,
                      const std::function<void(const HostId &)> &Do);
  StepResult eachEndpoint(const Step &S,
                          const std::function<void(FakeEndpoint &)> &Do);
  StepResult loseMessages(const Step &S);

  StepResult expectCall(const Step &S);
  StepResult expectLoad(const Step &S);
  StepResult expectRevision(const Step &S);
  StepResult expectEntries(const Step &S);
  StepResult expectArrivals(const Step &S);

  std::unique_ptr<World> World_;
  std::map<std::string, Action> Verbs_;
  std::map<std::string, Action> Expectations_;
  std::map<std::string, std::string> Keys_;
  std::map<std::string, std::map<EndpointId, unsigned>> Marks_;
  TableTexts Texts_;
  TimePoint Start_{};
};

} // namespace celerybeam::testing

#endif
