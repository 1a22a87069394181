#ifndef CELERYBEAM_LIMITS_LIMITALLOCATOR_H
#define CELERYBEAM_LIMITS_LIMITALLOCATOR_H

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "limits/limittypes.h"

namespace celerybeam {

/// A host's request to the allocator of a limit for a share.
struct ShareRequest {
  HostId From;
  LimitName Limit;
  double Wanted = 0;
  double Held = 0;
  /// Increases with each share request of the host's process.
  std::uint64_t Serial = 0;
  std::int64_t HolderStart = 0;
  /// See ShareNote.
  double Needed = 0;
};

struct ShareGrant {
  double Amount = 0;
  /// Unused capacity of the limit that the holder may use at once, in seconds
  /// of the limit's rate.
  double Credit = 0;
};

/// Grants shares of the limits that this host allocates.
///
/// Each limit has one allocator: the first by rendezvous hashing among the
/// candidates. A granted share counts until it has expired at its holder, so
/// that lost and repeated messages and dead hosts never make the shares add up
/// to more than the limit. Thread-safe.
class LimitAllocator {
public:
  LimitAllocator(Runtime R, LimitHooks Hooks, LimitSettings Settings);

  /// The host that currently grants shares of the limit; empty when there is
  /// none.
  HostId allocatorOf(const LimitName &Limit) const;

  /// Empty when this host may not grant now; the holder repeats its request.
  std::optional<ShareGrant> grant(const ShareRequest &Request);

  /// Updates the candidates and removes limits without holders.
  void tick();

  std::size_t limits() const;

private:
  struct Holding {
    double Amount = 0;
    double Wanted = 0;
    TimePoint ExpiresAt{};
    std::uint64_t Serial = 0;
    std::int64_t HolderStart = 0;
  };
  struct Record {
    std::map<HostId, Holding> Holders;
    /// Unused capacity accumulated while no host held it, in seconds of the
    /// whole limit's rate.
    double Credit = 0;
    TimePoint CreditAt{};
    double MaxCredit = 1;
  };
  struct Membership {
    TimePoint Since{};
    std::vector<HostId> Hosts;
  };
  /// Latest first; memberships that ended more than a share's lifetime ago are
  /// dropped.
  using History = std::vector<Membership>;

  static HostId firstRanked(const std::vector<HostId> &Hosts,
                            const LimitName &Limit);
  History &historyOf(const LimitName &Limit) const;
  History &historyOfGroup(const std::string &Group) const;
  bool wasOtherAllocator(const LimitName &Limit, TimePoint Now) const;
  static void expire(Record &R, TimePoint Now);
  static void accrue(Record &R, TimePoint Now);
  static bool isOutdated(const Record &R, const ShareRequest &Request);
  static double heldByOthers(const Record &R, const HostId &Host);
  static double fairAmount(const Record &R, const ShareRequest &Request,
                           double Quantum);
  ShareGrant grantUpTo(Record &R, const ShareRequest &Request, double Wanted,
                       double Quantum, TimePoint Now) const;

  Runtime Runtime_;
  LimitHooks Hooks_;
  LimitSettings Settings_;
  mutable std::mutex Mutex_;
  std::unordered_map<LimitName, Record> Records_;
  mutable std::map<std::string, History> Histories_;
};

} // namespace celerybeam

#endif
