#ifndef CELERYBEAM_TESTS_FAKES_FAKESTORE_H
#define CELERYBEAM_TESTS_FAKES_FAKESTORE_H

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "faketypes.h"

namespace celerybeam::fakes {

/// The value of a key; the version grows on also when the value goes away.
struct FakeValue {
  std::optional<std::string> Data;
  std::uint64_t Version = 0;
  std::string Lease;
};

struct FakeLease {
  Millis TimeToLive{};
  Clock::time_point Expiry;
};

/// Keys and leases of the fake platform. Thread-safe.
class FakeStore {
public:
  enum class PutStatus { Written, Conflict, NoLease };
  struct PutOutcome {
    PutStatus Status;
    std::uint64_t Version;
  };

  /// \param File  what save wrote; empty or missing: no keys yet.
  explicit FakeStore(const std::string &File);

  FakeValue get(const std::string &Key);

  /// Waits until the key's version is above After, the wait ends or stop is
  /// called.
  FakeValue waitAfter(const std::string &Key, std::uint64_t After, Millis Wait);

  PutOutcome put(const std::string &Key, std::string Data,
                 std::uint64_t Expected, const std::string &Lease);

  std::string grant(Millis TimeToLive);
  /// The time to live, or nothing when the lease has ended.
  std::optional<Millis> renew(const std::string &Lease);
  void release(const std::string &Lease);

  void stop();

  /// Writes the keys to a file; leases are not kept.
  void save(const std::string &File);

private:
  void expire();
  void drop(const std::string &Lease);
  Clock::time_point nextExpiry(Clock::time_point Latest) const;

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::map<std::string, FakeValue> Values_;
  std::map<std::string, FakeLease> Leases_;
  std::uint64_t LastLease_ = 0;
  bool Stopping_ = false;
};

} // namespace celerybeam::fakes

#endif
