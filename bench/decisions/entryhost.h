#ifndef CELERYBEAM_BENCH_DECISIONS_ENTRYHOST_H
#define CELERYBEAM_BENCH_DECISIONS_ENTRYHOST_H

#include <memory>
#include <vector>

#include "admission/admissioncontroller.h"
#include "blackboard/blackboard.h"
#include "decisions/engine.h"
#include "decisions/picker.h"
#include "hedging/hedgepolicy.h"
#include "membership/endpointmonitor.h"
#include "recovery/progressmonitor.h"
#include "recovery/retrybudget.h"
#include "routing/router.h"
#include "support/virtualtime.h"

namespace celerybeam::bench {

/// The names that all hosts' tables use.
const RouteRow &benchRoute(const Tables &T);
const PoolRow &benchPool(const Tables &T);

/// What differs between the two users.
struct UserProfile {
  std::string Name;
  Duration ZoneHop{};
  Duration RegionHop{};
  Duration CallerHop{};
  double LinkBytesPerSecond = 0;
  double ForwardMargin = 1.5;
  double ForwardShareCap = 0.2;
};

UserProfile umusozi();
UserProfile karaganda();

/// The decisions of one entry host, wired to engine models.
class BenchHost {
public:
  BenchHost(testing::VirtualTime &Time, HostIdentity Self,
            const UserProfile &User, Policy Rule,
            const std::vector<Engine *> &RegionEngines);

  /// Runs the periodic work of the host's controllers.
  void start();

  /// Takes a load that an engine stated in an answer.
  void heardLoad(const Engine &From);

  Blackboard Board;
  EndpointMonitor Monitor;
  AdmissionController Admission;
  Router Routes;
  HedgePolicy Hedges;
  ProgressMonitor Progress;
  RetryBudget Retries;
  Picker Simple;
  std::vector<Engine *> Engines;

private:
  void every(Duration Interval, const std::function<void()> &Work);

  testing::VirtualTime &Time_;
};

} // namespace celerybeam::bench

#endif
