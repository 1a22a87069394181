#ifndef CELERYBEAM_APP_INTERNAL_ADMINPAGES_H
#define CELERYBEAM_APP_INTERNAL_ADMINPAGES_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "core/entryhost.h"
#include "framework/error.h"

namespace celerybeam {

/// What the pages say beyond what the core knows.
struct AdminFacts {
  TimePoint StartedAt{};
  /// Calls to the platform so far, and the age of its last answer.
  std::function<std::uint64_t()> PlatformCalls;
  std::function<Duration()> LastPlatformAnswerAge;
  /// Requests answered in full and refused since the start.
  std::function<std::uint64_t()> Served;
  std::function<std::uint64_t()> Refused;
  /// Requests a second and share sent away of a pool, over ten seconds.
  std::function<double(const PoolName &)> RequestsPerSecond;
  std::function<double(const PoolName &)> ShareAway;
};

/// What an operator asks of GET /admin/explain.
struct ExplainQuestion {
  RouteName Route;
  ModelName Model;
  CustomerId Customer;
  RegionId Region;
  std::string Prompt;
  /// Empty: estimated.
  std::string Class;
};

/// The JSON pages of docs/operations/admin-api.md. Thread-safe.
class AdminPages {
public:
  AdminPages(EntryHost &Host, Runtime R, AdminFacts Facts);

  std::string status() const;
  std::string entries() const;
  std::string endpoints() const;
  std::string pools() const;
  std::string drained() const;
  /// Fails with UnknownRoute or UnknownModel.
  Result<std::string> explain(const ExplainQuestion &Question) const;

private:
  EntryHost &Host_;
  Runtime Time_;
  AdminFacts Facts_;
};

} // namespace celerybeam

#endif
