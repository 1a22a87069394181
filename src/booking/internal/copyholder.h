#ifndef CELERYBEAM_BOOKING_INTERNAL_COPYHOLDER_H
#define CELERYBEAM_BOOKING_INTERNAL_COPYHOLDER_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "blackboard/idtypes.h"
#include "framework/runtime.h"
#include "messages/peer.pb.h"

namespace celerybeam::detail {

/// For how long an acknowledged copy binds the peer to the owner.
constexpr Duration PromiseTime = std::chrono::seconds(5);
/// For how long an agreement binds the peer to the host that asked.
constexpr Duration AgreementTime = std::chrono::seconds(10);

/// What this host keeps for the owners of shards while they go on without
/// the store: copies of intents, and to whom it is bound. An acknowledged
/// copy promises to agree to no other owner for a while; an agreement to a
/// new owner refuses copies of the old one for a while. Owner and taker both
/// need a majority of the region's hosts, so that they cannot both go on.
/// Not thread-safe.
class CopyHolder {
public:
  explicit CopyHolder(TimePoint StartedAt) : StartedAt_(StartedAt) {}

  /// Keeps a copy; refuses when bound to another host or in reach of the
  /// store. Gives no answer soon after the start, when an earlier life may
  /// still be bound.
  std::optional<messages::IntentCopyAck> keep(const HostId &Owner,
                                              const messages::IntentCopy &Copy,
                                              bool StoreReached, TimePoint Now);
  /// Hands out the copies, and agrees to a new owner unless bound.
  messages::IntentCopyReply agree(const HostId &Taker,
                                  const messages::IntentCopyQuery &Query,
                                  TimePoint Now);
  /// The owner that went on without a store that this host does reach; empty
  /// when there was none since the time.
  HostId cutOffOwner(std::uint32_t Shard, TimePoint Since) const;

private:
  struct Held {
    std::map<std::string, messages::LedgerEntry> Copies;
    HostId PromisedTo;
    TimePoint PromisedUntil{};
    HostId AgreedTo;
    /// Owners of earlier epochs are refused for good: the taker may own the
    /// shard by now, in reach of a store that this host does not reach.
    std::uint64_t AgreedEpoch = 0;
    TimePoint AgreedUntil{};
    HostId CutOffOwner;
    TimePoint CutOffOwnerSeen{};
  };

  TimePoint StartedAt_;
  std::map<std::uint32_t, Held> Shards_;
};

} // namespace celerybeam::detail

#endif
