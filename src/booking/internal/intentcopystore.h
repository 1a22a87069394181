#ifndef CELERYBEAM_BOOKING_INTERNAL_INTENTCOPYSTORE_H
#define CELERYBEAM_BOOKING_INTERNAL_INTENTCOPYSTORE_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "blackboard/idtypes.h"
#include "framework/runtime.h"
#include "messages/peer.pb.h"

namespace celerybeam::detail {

/// How long an acknowledged copy binds the peer to the owner.
constexpr Duration PromiseTime = std::chrono::seconds(5);
/// How long an agreement binds the peer to the host that requested it.
constexpr Duration AgreementTime = std::chrono::seconds(10);

/// Holds copies of the intents of shard owners that work without the store
/// during an outage, and records which owner this host is bound to.
///
/// By acknowledging a copy, this host promises not to agree to another owner
/// for PromiseTime. By agreeing to a new owner, it refuses copies of other
/// owners for AgreementTime. The old and the new owner both need a majority of
/// the region's hosts, so only one of them can run bookings. Not thread-safe.
class IntentCopyStore {
public:
  explicit IntentCopyStore(TimePoint StartedAt) : StartedAt_(StartedAt) {}

  /// Stores a copy. Refuses when this host is bound to another owner or
  /// reaches the store. For AgreementTime after the start it returns nothing
  /// instead of a promise, because the previous instance of this host may
  /// still be bound to another owner.
  std::optional<messages::IntentCopyAck>
  storeCopy(const HostId &Owner, const messages::IntentCopy &Copy,
            bool StoreReached, TimePoint Now);
  /// Agrees to a new owner and returns the copies; refuses while bound to
  /// another host. It also refuses for PromiseTime after the start, because
  /// the previous instance of this host may still be bound by a promise.
  messages::IntentCopyReply
  agreeToTakeover(const HostId &NewOwner,
                  const messages::IntentCopyQuery &Query, TimePoint Now);
  /// Returns the owner that sent copies, so did not reach the store, while this
  /// host reached it; empty when there was none after Since.
  HostId partitionedOwner(std::uint32_t Shard, TimePoint Since) const;

private:
  /// Copies and bindings of one shard.
  struct ShardCopies {
    std::map<std::string, messages::LedgerEntry> Copies;
    HostId PromisedTo;
    TimePoint PromisedUntil{};
    HostId AgreedTo;
    /// Owners of earlier epochs are refused permanently: the new owner may
    /// already own the shard, through a store that this host does not reach.
    std::uint64_t AgreedEpoch = 0;
    TimePoint AgreedUntil{};
    HostId PartitionedOwner;
    TimePoint PartitionedOwnerSeenAt{};
  };

  TimePoint StartedAt_;
  std::map<std::uint32_t, ShardCopies> Shards_;
};

} // namespace celerybeam::detail

#endif
