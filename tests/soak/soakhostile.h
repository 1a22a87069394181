#ifndef CELERYBEAM_TESTS_SOAK_SOAKHOSTILE_H
#define CELERYBEAM_TESTS_SOAK_SOAKHOSTILE_H

#include <random>

#include "soak/soakworld.h"

namespace celerybeam::testing {

struct HostilePlan;

/// Callers that use connections as no sound caller does: slow heads and bodies,
/// pipelining with every split, unread answers, bytes behind a close, resets,
/// half-closed connections. Their requests have ids of their own and are held
/// against the same promises.
class SoakHostile {
public:
  SoakHostile(SoakWorld &World, SoakJudge &Judge, std::uint64_t Seed);

  /// Begins; no connection is made after this time.
  void start(TimePoint Until, double ConnectionsPerSecond);
  unsigned visits() const { return Visits_; }

private:
  void next();
  void visit();
  void planSlow(HostilePlan &P, unsigned Kind);
  void planRude(HostilePlan &P, unsigned Kind);
  /// Adds a request to the plan's bytes.
  void ask(HostilePlan &P, std::size_t Body, bool Big = false,
           bool Close = false);
  void askSeries(HostilePlan &P, unsigned Least);
  Duration draw(int FromMs, int ToMs);

  SoakWorld &World_;
  SoakJudge &Judge_;
  std::mt19937_64 Random_;
  Runtime Time_;
  TimePoint Until_{};
  double PerSecond_ = 0;
  unsigned Visits_ = 0;
  unsigned Requests_ = 0;
  /// Where the next series of requests is split.
  std::size_t Split_;
};

} // namespace celerybeam::testing

#endif
