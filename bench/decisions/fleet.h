#ifndef CELERYBEAM_BENCH_DECISIONS_FLEET_H
#define CELERYBEAM_BENCH_DECISIONS_FLEET_H

#include <memory>
#include <vector>

#include "decisions/engine.h"
#include "decisions/entryhost.h"
#include "decisions/report.h"
#include "decisions/workload.h"

namespace celerybeam::bench {

/// One run: a policy, a user, what is slow, how refused callers behave.
struct RunPlan {
  Policy Rule = Policy::Celerybeam;
  UserProfile User;
  WorkloadPlan Load;
  /// Engines slowed, and the factor, from a tenth of the run on.
  std::size_t SlowEngines = 0;
  double Slowdown = 5;
  /// How often a refused caller sends its request again at once.
  unsigned Resends = 0;
};

/// Thirteen entry hosts and eighteen engines in three regions on the virtual
/// clock; runs arrivals through one policy.
class Fleet {
public:
  explicit Fleet(RunPlan Plan);
  ~Fleet();

  Outcome run();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam::bench

#endif
