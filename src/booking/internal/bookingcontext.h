#ifndef CELERYBEAM_BOOKING_INTERNAL_BOOKINGCONTEXT_H
#define CELERYBEAM_BOOKING_INTERNAL_BOOKINGCONTEXT_H

#include <functional>
#include <string>
#include <vector>

#include "blackboard/blackboard.h"
#include "booking/bookingcontroller.h"
#include "booking/internal/copyholder.h"
#include "booking/internal/effects.h"

namespace celerybeam::detail {

/// How this host gets on with the store.
struct StoreContact {
  TimePoint LastOk{};
  TimePoint LastFailure{};
  /// Since when calls have succeeded without a failure or a long gap.
  TimePoint ContinuousSince{};

  void succeeded(TimePoint Now);
  void failed(TimePoint Now);
  bool reached(TimePoint Now) const;
};

/// What the parts of one booking controller share. All of it is used under
/// the controller's lock; hooks are called by way of Effects only.
struct BookingContext {
  Blackboard &Board;
  Runtime Time;
  StoreHooks Store;
  PeerHooks Peers;
  EndpointHooks Calls;
  RunnerPicker Pick;
  /// Runs a step under the lock, unless the controller is gone, and then its
  /// effects.
  std::function<void(std::function<void(Effects &)>)> Enter;
  /// This life of this host, as owners are named in the store.
  std::string OwnerName;
  StoreContact Contact;
  CopyHolder Copies;
};

/// The store's key of a ledger shard of this host's region.
StoreKey ledgerKey(const Blackboard &Board, std::uint32_t Shard);

/// The host in an owner's name.
HostId hostOfOwner(const std::string &OwnerName);

/// Other hosts of this region that count for a majority: all that are known
/// and have not left.
std::vector<HostId> regionPeers(const Blackboard &Board);

/// Whether so many hosts, this one included, are a majority of the region.
bool isMajority(const Blackboard &Board, std::size_t Hosts);

/// Live hosts of this region in the order in which they should own a shard.
std::vector<HostId> ownerRanking(const Blackboard &Board, std::uint32_t Shard,
                                 const HostId &Without);

} // namespace celerybeam::detail

#endif
