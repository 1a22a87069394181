#ifndef CELERYBEAM_TESTS_SCENARIO_CALLERLOG_H
#define CELERYBEAM_TESTS_SCENARIO_CALLERLOG_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "blackboard/idtypes.h"
#include "booking/bookingcontroller.h"
#include "framework/error.h"
#include "framework/httptypes.h"
#include "framework/runtime.h"

namespace celerybeam::testing {

/// What a caller sent and what came back.
struct CallRecord {
  std::string Name;
  /// Set for calls of a load.
  std::string Load;
  HostId Via;
  std::string Prompt;
  std::uint64_t Tokens = 0;
  bool Stream = false;
  bool Long = false;
  /// Set for bookings.
  std::string Key;
  TimePoint StartedAt{};
  TimePoint FirstByteAt{};
  TimePoint EndedAt{};
  int Status = 0;
  std::string Body;
  bool Ended = false;
  std::optional<Error> Failure;
  /// Outcome told by the answer or a query: done, not-run, running, unknown.
  std::string Outcome;

  bool whole() const;
  bool correct() const;
};

/// All calls of a scenario, by name.
class CallerLog {
public:
  CallRecord &add(CallRecord Record);
  CallRecord *find(const std::string &Name);
  const std::map<std::string, CallRecord> &all() const { return Records_; }
  /// Calls of a load that have a class, or of both.
  std::vector<const CallRecord *> ofLoad(const std::string &Load) const;

private:
  std::map<std::string, CallRecord> Records_;
};

} // namespace celerybeam::testing

#endif
