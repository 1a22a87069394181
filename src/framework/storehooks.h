#ifndef CELERYBEAM_FRAMEWORK_STOREHOOKS_H
#define CELERYBEAM_FRAMEWORK_STOREHOOKS_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "framework/error.h"
#include "framework/runtime.h"
#include "framework/strongid.h"

namespace celerybeam {

using StoreKey = StrongId<struct StoreKeyTag>;
using LeaseId = StrongId<struct LeaseIdTag>;

/// Version of a key's value; it grows with each write. 0: no value.
using StoreVersion = std::uint64_t;

struct StoreValue {
  std::string Data;
  StoreVersion Version = 0;
};

/// A compare-and-swap write.
struct StorePut {
  StoreKey Key;
  std::string Data;
  /// The version that the write replaces; 0 when the key must not exist.
  StoreVersion Expected = 0;
  /// The value is removed when this lease ends.
  std::optional<LeaseId> Lease = std::nullopt;
};

/// A long poll for a value newer than a version. Completes when there is one;
/// when the wait ends first, with the current value. With After 0 the key does
/// not exist then, and the value has version 0 instead of the error NotFound.
struct StoreWatch {
  StoreKey Key;
  StoreVersion After = 0;
  Duration Wait{};
};

/// A lease as the platform granted it.
struct StoreLease {
  LeaseId Id;
  Duration TimeToLive{};
};

template <typename T> using Completion = std::function<void(Result<T>)>;

/// Functions that call the platform's key-value service. Completions run once,
/// on any thread and never on the calling stack. Errors:
///   StoreUnreachable     the call did not take effect,
///   StoreOutcomeUnknown  a write may have taken effect; read it back,
///   StoreConflict        the key has another version,
///   NotFound             no such key (get, watch),
///   LeaseLost            no such lease.
struct StoreHooks {
  std::function<void(StoreKey, Completion<StoreValue>)> Get;
  std::function<void(StorePut, Completion<StoreVersion>)> Put;
  std::function<void(StoreWatch, Completion<StoreValue>)> Watch;
  std::function<void(Duration, Completion<StoreLease>)> GrantLease;
  std::function<void(LeaseId, Completion<StoreLease>)> RenewLease;
  std::function<void(LeaseId, Completion<void>)> ReleaseLease;
};

} // namespace celerybeam

#endif
