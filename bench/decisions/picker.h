#ifndef CELERYBEAM_BENCH_DECISIONS_PICKER_H
#define CELERYBEAM_BENCH_DECISIONS_PICKER_H

#include <cstdint>
#include <vector>

#include "blackboard/blackboard.h"
#include "decisions/engine.h"

namespace celerybeam::bench {

/// How requests are placed. Celerybeam is the code under test; the others are
/// what it is compared with.
enum class Policy { Random, RoundRobin, LeastLoad, AllKnowing, Celerybeam };

const char *policyName(Policy P);

/// Picks an engine of one region by a simple rule; one for each host.
class Picker {
public:
  Picker(Policy Rule, std::vector<Engine *> Engines)
      : Rule_(Rule), Engines_(std::move(Engines)) {}

  Engine &pick(const Arrival &Request, Blackboard &Board, std::uint64_t Draw);

private:
  Engine &leastReported(Blackboard &Board, std::uint64_t Draw);
  /// Sees every cache and the load of this moment.
  Engine &allKnowing(const Arrival &Request);

  Policy Rule_;
  std::vector<Engine *> Engines_;
  std::size_t Next_ = 0;
};

} // namespace celerybeam::bench

#endif
