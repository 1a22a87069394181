#ifndef CELERYBEAM_DISPATCH_FAIRSHARE_H
#define CELERYBEAM_DISPATCH_FAIRSHARE_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

#include "blackboard/idtypes.h"
#include "framework/customerkey.h"
#include "framework/runtime.h"

namespace celerybeam {

/// The requests among which customers share: those of one rank in a pool.
struct ShareScope {
  PoolName Pool;
  unsigned Rank = 0;
  auto operator<=>(const ShareScope &) const = default;
};

/// Start-time fair queueing of customers by the occupancy of their requests,
/// all with equal weight. Positions are in virtual time, which advances by what
/// one customer is served.
///
/// Handles this load pattern: "one customer sends a multiple of its usual load
/// and fills the queue". Each request starts at the larger of the scope's
/// virtual time and the last finish of its customer, so that the excess of one
/// customer waits behind the requests of the others, while a customer that used
/// idle capacity owes nothing for it. Requests without a customer count as one
/// customer where others have one, and are not tracked elsewhere. Not
/// thread-safe.
class FairShare {
  struct Account;
  struct ScopeState;

public:
  /// Where the account of a customer in a scope was found last, which saves the
  /// search in loops over customers. Belongs to one customer and one scope.
  class AccountCache {
    friend class FairShare;
    const ScopeState *State_ = nullptr;
    const Account *Own_ = nullptr;
    std::uint64_t Expiry_ = 0;
  };

  /// Whether any customer is tracked in the scope. Otherwise all positions in
  /// it are equal.
  bool isActive(const ShareScope &Scope) const;
  /// Whether any scope is active.
  bool isActive() const { return !Scopes_.empty(); }

  /// Position of the customer's next request to be dispatched. Those behind it
  /// follow at intervals of their occupancy.
  Duration position(const ShareScope &Scope, const CustomerId &Customer) const;
  Duration position(const ShareScope &Scope, const CustomerId &Customer,
                    AccountCache &Cache) const;

  /// Records that a request begins or ceases to wait. A customer keeps its
  /// position while any of its requests waits.
  void beginWait(const ShareScope &Scope, const CustomerId &Customer,
                 TimePoint Now);
  void endWait(const ShareScope &Scope, const CustomerId &Customer);

  /// Whether a request waits that comes before a new one of this customer.
  bool hasWaitAhead(const ShareScope &Scope, const CustomerId &Customer) const;

  /// Charges a request that is dispatched, whether it has waited or not.
  void charge(const ShareScope &Scope, const CustomerId &Customer,
              Duration Occupancy, TimePoint Now);

  /// Forgets customers without a request within the retention period.
  void expire(TimePoint Now);

  /// Number of customers tracked, over all scopes.
  std::size_t size() const;

  static constexpr Duration Retention = std::chrono::seconds(60);

private:
  struct Account {
    /// Virtual time at which its dispatched requests finish.
    Duration Finish{};
    std::size_t Waiting = 0;
    TimePoint UsedAt{};
  };
  struct ScopeState {
    Duration VirtualTime{};
    std::unordered_map<CustomerId, Account> Accounts;
  };

  static Duration positionIn(const ScopeState &State, const Account &Own);
  static Duration positionIn(const ScopeState &State,
                             const CustomerId &Customer);
  /// Null for a request without a customer in a scope that is not active.
  ScopeState *stateFor(const ShareScope &Scope, const CustomerId &Customer);

  std::map<ShareScope, ScopeState> Scopes_;
  TimePoint ExpiredAt_{};
  /// Number of searches for expired accounts. Each makes caches invalid, as
  /// accounts are erased only there.
  std::uint64_t Expiries_ = 0;
};

} // namespace celerybeam

#endif
