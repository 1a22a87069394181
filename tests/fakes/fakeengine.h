#ifndef CELERYBEAM_TESTS_FAKES_FAKEENGINE_H
#define CELERYBEAM_TESTS_FAKES_FAKEENGINE_H

#include <memory>
#include <string>
#include <vector>

#include "fakescheduler.h"
#include "fakeserver.h"

namespace celerybeam::fakes {

struct FakeEngineSettings {
  FakeScheduler::Limits Limits;
  Millis FirstToken{20};
  Millis TokenGap{5};
  /// Models loaded at the start.
  std::vector<std::string> Models;
  /// How long an order to load takes.
  Millis LoadTime{0};
  bool VerifyFencing = false;
  CrashHook Crash = crashProcess;
};

/// Stand-in for a model engine, see docs/CONTRACTS.md. Its tokens follow from
/// the prompt alone, so that a resumed stream goes on with the same ones.
///
///   PUT /control/mode?mode=M  ok, leaving, stall, crash, crash-on:<word in
///                             the prompt>, slow:<factor>, or crossed (answers
///                             name another request).
class FakeEngine {
public:
  FakeEngine(std::uint16_t Port, FakeEngineSettings Settings);
  ~FakeEngine();

  std::uint16_t port() const;
  std::string address() const;
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam::fakes

#endif
