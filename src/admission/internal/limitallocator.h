#ifndef CELERYBEAM_ADMISSION_INTERNAL_LIMITALLOCATOR_H
#define CELERYBEAM_ADMISSION_INTERNAL_LIMITALLOCATOR_H

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "blackboard/blackboard.h"
#include "framework/runtime.h"

namespace celerybeam::detail {

/// Identifies the limits of a route, or of a customer on a route.
struct LimitKey {
  RouteName Route;
  /// Empty for the limits of the route as a whole.
  CustomerId Customer;

  std::string str() const;
  static std::optional<LimitKey> parse(const std::string &Text);
};

/// Limits of one key; 0 means no limit. Rates are per second and apply to the
/// whole region.
struct LimitValues {
  double Requests = 0;
  double Tokens = 0;
  std::uint32_t Concurrency = 0;

  bool any() const { return Requests > 0 || Tokens > 0 || Concurrency > 0; }
  /// The smallest share that admits a request.
  double quantum() const;
};

/// The limits of a key in the given tables; no limits for an unknown route.
LimitValues limitValues(const Tables &T, const LimitKey &Key);

/// How long a share is valid. Its holder counts from the moment of the request,
/// the allocator from the moment of the grant. The grant is later, so a share
/// ends at its holder before the allocator grants it to another host.
constexpr Duration ShareLifetime = std::chrono::seconds(2);

/// A host's request to the allocator of a limit for a share.
struct ShareRequest {
  HostId From;
  std::string Limit;
  double Wanted = 0;
  double Held = 0;
  /// Increases with each share request of the host.
  std::uint64_t Serial = 0;
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
/// hosts of the region that are alive. A granted share counts until it has
/// expired at its holder, so that lost and repeated messages and dead hosts
/// never make the shares add up to more than the limit. Thread-safe.
class LimitAllocator {
public:
  LimitAllocator(Blackboard &Board, Runtime R);

  /// The host that currently grants shares of the limit.
  HostId allocatorOf(const std::string &Limit) const;

  /// Empty when this host may not grant now; the holder repeats its request.
  std::optional<ShareGrant> grant(const ShareRequest &Request);

  /// Updates the set of hosts alive and removes limits without holders.
  void tick();

  std::size_t limits() const;

private:
  struct Holding {
    double Amount = 0;
    double Wanted = 0;
    TimePoint ExpiresAt{};
    std::uint64_t Serial = 0;
  };
  struct Record {
    std::map<HostId, Holding> Holders;
    /// Unused capacity accumulated while no host held it, in seconds of the
    /// whole limit's rate.
    double Credit = 0;
    TimePoint CreditAt{};
  };
  struct Membership {
    TimePoint Since{};
    std::vector<HostId> Hosts;
  };

  static HostId firstRanked(const std::vector<HostId> &Hosts,
                            const std::string &Limit);
  std::vector<HostId> aliveHosts() const;
  bool wasOtherAllocator(const std::string &Limit, TimePoint Now) const;
  static void expire(Record &R, TimePoint Now);
  static void accrue(Record &R, TimePoint Now);
  static bool isOutdated(const Record &R, const ShareRequest &Request);
  static double heldByOthers(const Record &R, const HostId &Host);
  static double fairAmount(const Record &R, const ShareRequest &Request,
                           double Quantum);
  static ShareGrant grantUpTo(Record &R, const ShareRequest &Request,
                              double Wanted, double Quantum, TimePoint Now);

  Blackboard &Board_;
  Runtime Runtime_;
  mutable std::mutex Mutex_;
  std::unordered_map<std::string, Record> Records_;
  /// Latest first; memberships that ended more than ShareLifetime ago are
  /// dropped.
  std::vector<Membership> History_;
};

} // namespace celerybeam::detail

#endif
