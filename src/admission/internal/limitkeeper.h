#ifndef CELERYBEAM_ADMISSION_INTERNAL_LIMITKEEPER_H
#define CELERYBEAM_ADMISSION_INTERNAL_LIMITKEEPER_H

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "blackboard/blackboard.h"
#include "framework/runtime.h"

namespace celerybeam::detail {

/// Names the limits of a route, or of a customer on a route.
struct LimitKey {
  RouteName Route;
  /// Empty for the limits of the route as a whole.
  CustomerId Customer;

  std::string str() const;
  static std::optional<LimitKey> parse(const std::string &Text);
};

/// Limits of one key; 0 means no limit. Rates are a second over the region.
struct LimitValues {
  double Requests = 0;
  double Tokens = 0;
  std::uint32_t Concurrency = 0;

  bool any() const { return Requests > 0 || Tokens > 0 || Concurrency > 0; }
  /// The smallest share that admits a request.
  double quantum() const;
};

/// The limits of a key in the tables in force.
LimitValues limitValues(const Tables &T, const LimitKey &Key);

/// For how long a share is good; counted by its holder from the moment it
/// asked, by the keeper from the moment it granted, which is later.
constexpr Duration ShareLifetime = std::chrono::seconds(2);

/// What a host asks of the keeper of a limit.
struct ShareQuestion {
  HostId From;
  std::string Limit;
  double Wanted = 0;
  double Held = 0;
  /// Grows with each question of the host.
  std::uint64_t Serial = 0;
};

struct ShareGrant {
  double Amount = 0;
  /// Saved-up time of the limit's rate, in seconds.
  double Credit = 0;
};

/// Grants shares of those limits whose keeper this host is.
///
/// Each limit has one keeper: the first by rendezvous rank among the hosts of
/// the region that are alive. What was granted counts until it has expired at
/// its holder, so that lost and repeated messages and dead hosts never make
/// the shares add up to more than the whole. Thread-safe.
class LimitKeeper {
public:
  LimitKeeper(Blackboard &Board, Runtime R);

  /// The host that grants shares of the limit now.
  HostId keeperOf(const std::string &Limit) const;

  /// Empty when this host may not grant now; the question is asked again.
  std::optional<ShareGrant> grant(const ShareQuestion &Question);

  /// Follows the hosts alive and forgets limits without holders.
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
    /// Time of the whole limit that nobody held, in seconds.
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
  bool wasOtherKeeper(const std::string &Limit, TimePoint Now) const;
  static void expire(Record &R, TimePoint Now);
  static void accrue(Record &R, TimePoint Now);
  static bool isOutdated(const Record &R, const ShareQuestion &Question);
  static double heldByOthers(const Record &R, const HostId &Host);
  static double fairAmount(const Record &R, const ShareQuestion &Question,
                           double Quantum);
  static ShareGrant grantUpTo(Record &R, const ShareQuestion &Question,
                              double Wanted, double Quantum, TimePoint Now);

  Blackboard &Board_;
  Runtime Runtime_;
  mutable std::mutex Mutex_;
  std::unordered_map<std::string, Record> Records_;
  /// The latest first; those that ended before ShareLifetime are dropped.
  std::vector<Membership> History_;
};

} // namespace celerybeam::detail

#endif
