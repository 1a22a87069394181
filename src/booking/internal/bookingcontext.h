#ifndef CELERYBEAM_BOOKING_INTERNAL_BOOKINGCONTEXT_H
#define CELERYBEAM_BOOKING_INTERNAL_BOOKINGCONTEXT_H

#include <functional>
#include <string>
#include <vector>

#include "blackboard/blackboard.h"
#include "booking/bookingcontroller.h"
#include "booking/internal/effects.h"
#include "booking/internal/intentcopystore.h"

namespace celerybeam::detail {

/// Records when calls to the store succeeded and failed, to decide whether
/// this host reaches the store.
struct StoreReachability {
  TimePoint LastSuccessAt{};
  TimePoint LastFailureAt{};
  /// Since then calls have succeeded without a failure or a long gap.
  TimePoint UninterruptedSince{};

  void recordSuccess(TimePoint Now);
  void recordFailure(TimePoint Now);
  bool isReachable(TimePoint Now) const;
};

/// State and hooks that the parts of one booking controller share. All of it
/// is used under the controller's lock; hooks are only called through Effects.
struct BookingContext {
  Blackboard &Board;
  Runtime Time;
  StoreHooks Store;
  PeerHooks Peers;
  EndpointHooks Calls;
  RunnerPicker PickRunner;
  /// Runs a function under the lock and its effects after the lock is
  /// released. Does nothing once the controller is destroyed.
  std::function<void(std::function<void(Effects &)>)> RunLocked;
  /// Names this instance of this host as an owner in the store:
  /// "host#incarnation".
  std::string OwnerName;
  StoreReachability Reachability;
  IntentCopyStore Copies;
};

/// The store key of the record of a ledger shard in this host's region.
StoreKey ledgerKey(const Blackboard &Board, std::uint32_t Shard);

/// The host part of an owner name.
HostId hostOfOwner(const std::string &OwnerName);

/// Other hosts of this region that count towards a majority: all known hosts
/// that are not leaving, also those that are considered dead.
std::vector<HostId> regionPeers(const Blackboard &Board);

/// Whether a number of hosts, including this one, is a majority of the region.
bool isMajority(const Blackboard &Board, std::size_t Hosts);

/// Live hosts of this region, in order of preference as owner of a shard.
std::vector<HostId> ownerRanking(const Blackboard &Board, std::uint32_t Shard,
                                 const HostId &Excluded);

} // namespace celerybeam::detail

#endif
