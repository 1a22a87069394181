#ifndef CELERYBEAM_ROUTING_INTERNAL_PREFIXHISTORY_H
#define CELERYBEAM_ROUTING_INTERNAL_PREFIXHISTORY_H

#include <array>
#include <cstdint>
#include <list>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "routing/routingtypes.h"

namespace celerybeam::detail {

/// The endpoint to which this host sent an earlier prompt with the same leading
/// blocks.
struct PrefixMatch {
  /// Hash of the endpoint, as in Candidate::Hash.
  std::uint64_t Endpoint = 0;
  /// Number of leading blocks that both prompts share.
  std::size_t Blocks = 0;
};

/// Records to which endpoint this host last sent each prompt block. The router
/// looks here for an endpoint that has a prompt's prefix in its cache. The
/// least recently used blocks are evicted. Thread-safe.
class PrefixHistory {
public:
  /// Maximum number of recorded blocks.
  static constexpr std::size_t Capacity = std::size_t{1} << 16U;

  void record(const PrefixBlocks &Blocks, std::uint64_t Endpoint);

  /// The endpoint that received the longest common prefix; empty if none did.
  std::optional<PrefixMatch> find(const PrefixBlocks &Blocks) const;

private:
  struct Entry {
    std::uint64_t Block = 0;
    std::uint64_t Endpoint = 0;
  };
  struct Shard {
    mutable std::mutex Mutex;
    /// Most recently used first.
    std::list<Entry> Order;
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> Index;
  };
  static constexpr std::size_t ShardCount = 16;

  void recordBlock(std::uint64_t Block, std::uint64_t Endpoint);
  std::optional<std::uint64_t> endpointOf(std::uint64_t Block) const;

  std::array<Shard, ShardCount> Shards_;
};

} // namespace celerybeam::detail

#endif
