#ifndef CELERYBEAM_TESTS_FAKES_FAKEMODE_H
#define CELERYBEAM_TESTS_FAKES_FAKEMODE_H

#include <mutex>
#include <optional>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "fakescheduler.h"
#include "fakeserver.h"

namespace celerybeam::fakes {

/// How an engine or runner behaves at the moment. Thread-safe.
class FakeMode {
public:
  FakeMode(FakeScheduler &Scheduler, CrashHook Crash);

  /// Serves PUT /control/mode?mode=M with M one of ok, leaving, stall, crash,
  /// crossed, slow:<factor>, crash-on:<word>, crash-before, crash-after.
  FakeReply control(const FakeRequest &R);

  bool is(const std::string &Name);

  /// The refusal of a leaving stand-in.
  std::optional<FakeReply> refuse();

  bool crashesOn(const std::string &Prompt);

  /// Adds the headers that name the exchange and tell the load.
  FakeReply mark(const FakeRequest &R, FakeReply Reply);

  /// The load page without the models.
  nlohmann::json loadPage(const FakeScheduler::Limits &L);

private:
  std::string name();

  FakeScheduler &Scheduler_;
  const CrashHook Crash_;
  std::mutex Mutex_;
  std::string Name_ = "ok";
};

} // namespace celerybeam::fakes

#endif
