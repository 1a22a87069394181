#ifndef CELERYBEAM_BENCH_DECISIONS_WORKLOAD_H
#define CELERYBEAM_BENCH_DECISIONS_WORKLOAD_H

#include <cstdint>
#include <string>
#include <vector>

#include "blackboard/tabletypes.h"
#include "framework/runtime.h"
#include "routing/routingtypes.h"

namespace celerybeam::bench {

/// Tokens of one prompt block.
constexpr std::uint32_t BlockTokens = 128;

/// One request of a caller, the same for every policy.
struct Arrival {
  Duration At{};
  /// Index of the caller's region.
  std::size_t Region = 0;
  std::string Customer;
  RequestClass Class = RequestClass::Short;
  PrefixBlocks Blocks;
  std::uint32_t AnswerTokens = 0;
  /// Answer tokens that another engine gave before this attempt.
  std::uint32_t ResumedTokens = 0;
  Duration Deadline{};

  std::uint32_t promptTokens() const {
    return static_cast<std::uint32_t>(Blocks.size()) * BlockTokens;
  }
};

/// How requests come.
struct WorkloadPlan {
  std::uint64_t Seed = 1;
  Duration Length = std::chrono::seconds(600);
  double RequestsPerSecond = 10;
  double LongShare = 0.15;
  /// Relative rates of the regions.
  std::vector<double> RegionWeights = {1, 1, 1};
  /// Whether long drafts are left out; short questions stay the same.
  bool ShortOnly = false;
};

/// Poisson arrivals of conversations: customers of unequal activity, prompts
/// that start with the route's and the customer's blocks and grow with each
/// turn.
std::vector<Arrival> makeArrivals(const WorkloadPlan &Plan);

} // namespace celerybeam::bench

#endif
