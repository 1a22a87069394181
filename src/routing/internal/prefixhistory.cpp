#include "routing/internal/prefixhistory.h"

namespace celerybeam::detail {

void PrefixHistory::record(const PrefixBlocks &Blocks, std::uint64_t Endpoint) {
  for (std::uint64_t Block : Blocks)
    recordBlock(Block, Endpoint);
}

void PrefixHistory::recordBlock(std::uint64_t Block, std::uint64_t Endpoint) {
  Shard &S = Shards_[Block % ShardCount];
  std::lock_guard Lock(S.Mutex);
  auto It = S.Index.find(Block);
  if (It != S.Index.end()) {
    It->second->Endpoint = Endpoint;
    S.Order.splice(S.Order.begin(), S.Order, It->second);
    return;
  }
  S.Order.push_front({Block, Endpoint});
  S.Index.emplace(Block, S.Order.begin());
  if (S.Order.size() <= Capacity / ShardCount)
    return;
  S.Index.erase(S.Order.back().Block);
  S.Order.pop_back();
}

std::optional<std::uint64_t>
PrefixHistory::endpointOf(std::uint64_t Block) const {
  const Shard &S = Shards_[Block % ShardCount];
  std::lock_guard Lock(S.Mutex);
  auto It = S.Index.find(Block);
  if (It == S.Index.end())
    return std::nullopt;
  return It->second->Endpoint;
}

std::optional<PrefixMatch>
PrefixHistory::find(const PrefixBlocks &Blocks) const {
  for (std::size_t Count = Blocks.size(); Count > 0; --Count)
    if (auto Endpoint = endpointOf(Blocks[Count - 1]))
      return PrefixMatch{*Endpoint, Count};
  return std::nullopt;
}

} // namespace celerybeam::detail
