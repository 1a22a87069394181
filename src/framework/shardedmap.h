#ifndef CELERYBEAM_FRAMEWORK_SHARDEDMAP_H
#define CELERYBEAM_FRAMEWORK_SHARDEDMAP_H

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace celerybeam {

/// A thread-safe hash map in shards, each with its own lock. Functions passed
/// in run under the lock of one shard: they must be short and must not call
/// the same map.
template <typename Key, typename Value, std::size_t ShardCount = 16>
class ShardedMap {
public:
  std::optional<Value> find(const Key &K) const {
    const Shard &S = shardOf(K);
    std::lock_guard Lock(S.Mutex);
    auto It = S.Map.find(K);
    if (It == S.Map.end())
      return std::nullopt;
    return It->second;
  }

  void set(const Key &K, Value V) {
    Shard &S = shardOf(K);
    std::lock_guard Lock(S.Mutex);
    S.Map.insert_or_assign(K, std::move(V));
  }

  /// Inserts unless the key is present; true when inserted.
  bool insert(const Key &K, Value V) {
    Shard &S = shardOf(K);
    std::lock_guard Lock(S.Mutex);
    return S.Map.try_emplace(K, std::move(V)).second;
  }

  bool erase(const Key &K) {
    Shard &S = shardOf(K);
    std::lock_guard Lock(S.Mutex);
    return S.Map.erase(K) > 0;
  }

  /// Removes one entry if the predicate is true for its value.
  template <typename Predicate>
  bool eraseIfMatches(const Key &K, Predicate Remove) {
    Shard &S = shardOf(K);
    std::lock_guard Lock(S.Mutex);
    auto It = S.Map.find(K);
    if (It == S.Map.end() || !Remove(It->second))
      return false;
    S.Map.erase(It);
    return true;
  }

  /// Removes an entry and returns its value.
  std::optional<Value> take(const Key &K) {
    Shard &S = shardOf(K);
    std::lock_guard Lock(S.Mutex);
    auto Node = S.Map.extract(K);
    if (Node.empty())
      return std::nullopt;
    return std::move(Node.mapped());
  }

  /// Changes a value in place; false when the key is absent.
  template <typename Function> bool update(const Key &K, Function Change) {
    Shard &S = shardOf(K);
    std::lock_guard Lock(S.Mutex);
    auto It = S.Map.find(K);
    if (It == S.Map.end())
      return false;
    Change(It->second);
    return true;
  }

  /// Changes a value in place, default-constructing it when absent, and
  /// returns what the function returns.
  template <typename Function> auto upsert(const Key &K, Function Change) {
    Shard &S = shardOf(K);
    std::lock_guard Lock(S.Mutex);
    return Change(S.Map[K]);
  }

  /// Visits every entry, one shard at a time.
  template <typename Function> void forEach(Function Visit) const {
    for (const Shard &S : Shards_) {
      std::lock_guard Lock(S.Mutex);
      for (const auto &[K, V] : S.Map)
        Visit(K, V);
    }
  }

  /// Removes the entries for which the predicate is true; returns how many.
  template <typename Predicate> std::size_t eraseIf(Predicate Remove) {
    std::size_t Count = 0;
    for (Shard &S : Shards_) {
      std::lock_guard Lock(S.Mutex);
      Count += std::erase_if(
          S.Map, [&](const auto &E) { return Remove(E.first, E.second); });
    }
    return Count;
  }

  std::size_t size() const {
    std::size_t Count = 0;
    for (const Shard &S : Shards_) {
      std::lock_guard Lock(S.Mutex);
      Count += S.Map.size();
    }
    return Count;
  }

private:
  struct Shard {
    mutable std::mutex Mutex;
    std::unordered_map<Key, Value> Map;
  };

  const Shard &shardOf(const Key &K) const {
    return Shards_[std::hash<Key>()(K) % ShardCount];
  }
  Shard &shardOf(const Key &K) {
    return Shards_[std::hash<Key>()(K) % ShardCount];
  }

  std::array<Shard, ShardCount> Shards_;
};

} // namespace celerybeam

#endif
