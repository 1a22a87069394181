#ifndef CELERYBEAM_TESTS_FAKES_FAKERUNNER_H
#define CELERYBEAM_TESTS_FAKES_FAKERUNNER_H

#include <memory>
#include <string>

#include "fakescheduler.h"
#include "fakeserver.h"

namespace celerybeam::fakes {

struct FakeRunnerSettings {
  enum class Check { None, Key, Fencing };

  FakeScheduler::Limits Limits;
  Check Verifies = Check::None;
  Millis WorkTime{10};
  /// File that gets the key of each execution, one a line, so that the counts
  /// outlive a crash; empty: none.
  std::string Journal;
  CrashHook Crash = crashProcess;
};

/// Stand-in for a booking runner or a plain service, see docs/CONTRACTS.md.
/// Every call with a key counts as an execution of that key.
///
///   PUT /control/mode?mode=M  ok, leaving, stall (before the execution),
///                             crash, crash-before or crash-after (the next
///                             execution), slow:<factor>, crossed,
///   GET /control/executions   JSON object of executions by key.
class FakeRunner {
public:
  FakeRunner(std::uint16_t Port, FakeRunnerSettings Settings);
  ~FakeRunner();

  std::uint16_t port() const;
  std::string address() const;
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam::fakes

#endif
