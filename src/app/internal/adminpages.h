#ifndef CELERYBEAM_APP_INTERNAL_ADMINPAGES_H
#define CELERYBEAM_APP_INTERNAL_ADMINPAGES_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "core/entryhost.h"
#include "framework/error.h"

namespace celerybeam {

/// Holds the values on the operator pages that the core does not know.
struct AdminPageInputs {
  TimePoint StartedAt{};
  /// Calls to the platform since the start, and the age of its last response.
  std::function<std::uint64_t()> PlatformCalls;
  std::function<Duration()> LastPlatformResponseAge;
  /// Requests that succeeded and that failed since the start.
  std::function<std::uint64_t()> Served;
  std::function<std::uint64_t()> Refused;
  /// Requests per second of a pool and the share of them forwarded to other
  /// regions, over the last ten seconds.
  std::function<double(const PoolName &)> RequestsPerSecond;
  std::function<double(const PoolName &)> ForwardedShare;
};

/// Holds the query of GET /admin/explain.
struct ExplainQuestion {
  RouteName Route;
  ModelName Model;
  CustomerId Customer;
  RegionId Region;
  std::string Prompt;
  /// "long", or anything else for short; empty: estimated.
  std::string Class;
};

/// Builds the JSON pages of docs/operations/admin-api.md. Thread-safe.
class AdminPages {
public:
  AdminPages(EntryHost &Host, Runtime R, AdminPageInputs Inputs);

  std::string status() const;
  std::string entries() const;
  std::string endpoints() const;
  std::string pools() const;
  std::string drainStarted() const;
  /// Fails with UnknownRoute or UnknownModel.
  Result<std::string> explain(const ExplainQuestion &Question) const;

private:
  EntryHost &Host_;
  Runtime Time_;
  AdminPageInputs Inputs_;
};

} // namespace celerybeam

#endif
