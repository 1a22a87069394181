#ifndef CELERYBEAM_CONFIGURATION_INTERNAL_STORERETRY_H
#define CELERYBEAM_CONFIGURATION_INTERNAL_STORERETRY_H

#include <functional>
#include <optional>
#include <vector>

#include "configuration/head.h"
#include "framework/runtime.h"
#include "framework/storehooks.h"

namespace celerybeam::detail {

/// The head with the version that a write of it must expect; no head when the
/// store has none.
struct HeadState {
  std::optional<ConfigurationHead> Head;
  StoreVersion Version = 0;
};

/// Makes store calls with a bounded number of retries and back-off.
class StoreRetry {
public:
  StoreRetry(StoreHooks Store, Runtime R)
      : Store_(std::move(Store)), Runtime_(std::move(R)) {}

  /// Reads a key; StoreUnreachable is retried.
  void get(const StoreKey &Key, Completion<StoreValue> Done) const;

  /// Reads the head; a missing head is not an error.
  void getHead(Completion<HeadState> Done) const;

  /// Writes values under their content addresses, one after the other, the last
  /// one first. A value that exists already counts as written.
  void putChunks(std::vector<Chunk> Chunks, Completion<void> Done) const;

  /// Waits before the next attempt; the wait grows with the attempts made.
  void wait(int Attempts, Task Next) const;

  /// Attempts of one call after which its failure is reported.
  static constexpr int MaxAttempts = 6;

  const StoreHooks &store() const { return Store_; }
  /// The store's hooks with a Get that retries.
  StoreHooks retrying() const;
  const Runtime &runtime() const { return Runtime_; }

private:
  void getAgain(const StoreKey &Key, int Attempts,
                Completion<StoreValue> Done) const;
  void putChunk(std::vector<Chunk> Chunks, int Attempts,
                Completion<void> Done) const;

  StoreHooks Store_;
  Runtime Runtime_;
};

/// Returns a wait that doubles with each attempt up to Max, shortened by a
/// random jitter of up to a quarter, so that hosts that failed at the same time
/// do not retry at the same time.
Duration backOff(const Runtime &R, int Attempts, Duration First, Duration Max);

} // namespace celerybeam::detail

#endif
