#ifndef CELERYBEAM_TESTS_SUPPORT_FAKESTORE_H
#define CELERYBEAM_TESTS_SUPPORT_FAKESTORE_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "framework/storehooks.h"
#include "support/virtualhost.h"

namespace celerybeam::testing {

/// What happens to one call to the store.
enum class StoreFault {
  None,
  /// The request never arrives; the client's call times out.
  LoseRequest,
  /// The call takes effect and its reply is lost.
  LoseReply,
  /// The call takes effect after the client has given up.
  DelayRequest,
  /// The request arrives twice; the client hears the first reply.
  DuplicateRequest,
};

/// The platform's key-value service on the virtual clock.
class FakeStore {
public:
  static constexpr Duration CallTimeout = std::chrono::seconds(1);

  explicit FakeStore(VirtualTime &Time,
                     Duration Latency = std::chrono::milliseconds(2));

  /// Hooks whose completions run on the host.
  StoreHooks hooks(const VirtualHost &Host);

  /// While it is down, calls fail at once without effect.
  void setDown(bool Down) { Down_ = Down; }
  /// A host that is cut off gets no reply; its calls time out.
  void setCutOff(const HostId &Host, bool CutOff);

  /// Hears of each call before its fate is decided.
  std::function<void(const HostId &)> OnCall;
  /// Decides the fate of each call (get, put, lease calls); unset: no fault.
  std::function<StoreFault()> PickFault;

  std::optional<StoreValue> read(const StoreKey &Key) const;
  /// Writes without a client, as an operator would.
  void write(const StoreKey &Key, std::string Data);
  std::uint64_t reads() const { return Reads_; }
  std::uint64_t writes() const { return Writes_; }

private:
  struct Lease {
    TimePoint Ends{};
    Duration TimeToLive{};
  };
  struct Watcher {
    StoreKey Key;
    StoreVersion After = 0;
    std::function<void()> Wake;
  };

  template <typename T>
  void call(const VirtualHost &Host, ErrorKind OnTimeout,
            std::function<Result<T>()> Effect, Completion<T> Done);
  Result<StoreValue> get(const StoreKey &Key);
  Result<StoreVersion> put(const StorePut &Put);
  Result<StoreLease> renew(const LeaseId &Id);
  void watch(const VirtualHost &Host, const StoreWatch &Watch,
             Completion<StoreValue> Done);
  void store(const StoreKey &Key, std::string Data);
  void expireLeases();
  void dropKeysOf(const LeaseId &Id);

  VirtualTime &Time_;
  Duration Latency_;
  bool Down_ = false;
  std::set<HostId> CutOff_;
  std::map<StoreKey, StoreValue> Values_;
  /// Versions outlive their values.
  std::map<StoreKey, StoreVersion> Versions_;
  std::map<StoreKey, LeaseId> Holders_;
  std::map<LeaseId, Lease> Leases_;
  std::vector<Watcher> Watchers_;
  std::uint64_t NextLease_ = 1;
  std::uint64_t Reads_ = 0;
  std::uint64_t Writes_ = 0;
};

} // namespace celerybeam::testing

#endif
