#include "booking/internal/intentcopystore.h"

#include <algorithm>

namespace celerybeam::detail {

std::optional<messages::IntentCopyAck>
IntentCopyStore::storeCopy(const HostId &Owner,
                           const messages::IntentCopy &Copy, bool StoreReached,
                           TimePoint Now) {
  ShardCopies &Held = Shards_[Copy.shard()];
  messages::IntentCopyAck Ack;
  Ack.set_shard(Copy.shard());
  Ack.set_epoch(Copy.epoch());
  Ack.set_serial(Copy.serial());
  if (Copy.flushed()) {
    Held.Copies.clear();
    Held.PromisedUntil = TimePoint();
    return Ack;
  }
  // The entries are stored even if the copy is refused: a dispatched booking
  // must be known whoever the owner is.
  for (const messages::LedgerEntry &E : Copy.entries())
    Held.Copies[E.key()] = E;
  bool BoundToOther = (Now < Held.AgreedUntil && Held.AgreedTo != Owner) ||
                      Copy.epoch() < Held.AgreedEpoch;
  Ack.set_agreed_epoch(Held.AgreedEpoch);
  if (StoreReached) {
    Held.PartitionedOwner = Owner;
    Held.PartitionedOwnerSeenAt = Now;
  }
  if (StoreReached || BoundToOther) {
    Ack.set_refused(true);
    return Ack;
  }
  if (Now - StartedAt_ < AgreementTime)
    return std::nullopt;
  Held.PromisedTo = Owner;
  Held.PromisedUntil = Now + PromiseTime;
  return Ack;
}

messages::IntentCopyReply
IntentCopyStore::agreeToTakeover(const HostId &NewOwner,
                                 const messages::IntentCopyQuery &Query,
                                 TimePoint Now) {
  ShardCopies &Held = Shards_[Query.shard()];
  messages::IntentCopyReply Reply;
  Reply.set_shard(Query.shard());
  Reply.set_query(Query.query());
  bool BoundByPromise = Now < Held.PromisedUntil && Held.PromisedTo != NewOwner;
  bool BoundByAgreement = Now < Held.AgreedUntil && Held.AgreedTo != NewOwner;
  bool JustStarted = Now - StartedAt_ < PromiseTime;
  if (BoundByPromise || BoundByAgreement || JustStarted) {
    Reply.set_refused(true);
    return Reply;
  }
  Held.AgreedTo = NewOwner;
  Held.AgreedUntil = Now + AgreementTime;
  Held.AgreedEpoch = std::max(Held.AgreedEpoch, Query.epoch());
  for (const auto &[Key, Copy] : Held.Copies)
    *Reply.add_entries() = Copy;
  return Reply;
}

HostId IntentCopyStore::partitionedOwner(std::uint32_t Shard,
                                         TimePoint Since) const {
  auto It = Shards_.find(Shard);
  if (It == Shards_.end() || It->second.PartitionedOwnerSeenAt <= Since)
    return {};
  return It->second.PartitionedOwner;
}

} // namespace celerybeam::detail
