#ifndef CELERYBEAM_ROUTING_INTERNAL_PREFIXMEMORY_H
#define CELERYBEAM_ROUTING_INTERNAL_PREFIXMEMORY_H

#include <array>
#include <cstdint>
#include <list>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "routing/routingtypes.h"

namespace celerybeam::detail {

/// Where this host sent a prompt that shares leading blocks with another.
struct PrefixMatch {
  /// Hash of the endpoint, as in Candidate::Hash.
  std::uint64_t Endpoint = 0;
  /// Leading blocks that both prompts share.
  std::size_t Blocks = 0;
};

/// Remembers to which endpoint each prompt block was sent last; the least
/// recently used blocks are forgotten. Thread-safe.
class PrefixMemory {
public:
  /// Blocks remembered at most.
  static constexpr std::size_t Capacity = std::size_t{1} << 16U;

  void remember(const PrefixBlocks &Blocks, std::uint64_t Endpoint);

  /// The endpoint that got the longest shared prefix.
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

  void rememberBlock(std::uint64_t Block, std::uint64_t Endpoint);
  std::optional<std::uint64_t> endpointOf(std::uint64_t Block) const;

  std::array<Shard, ShardCount> Shards_;
};

} // namespace celerybeam::detail

#endif
