#include "booking/internal/copyholder.h"

#include <algorithm>

namespace celerybeam::detail {

std::optional<messages::IntentCopyAck>
CopyHolder::keep(const HostId &Owner, const messages::IntentCopy &Copy,
                 bool StoreReached, TimePoint Now) {
  Held &H = Shards_[Copy.shard()];
  messages::IntentCopyAck Ack;
  Ack.set_shard(Copy.shard());
  Ack.set_epoch(Copy.epoch());
  Ack.set_serial(Copy.serial());
  if (Copy.flushed()) {
    H.Copies.clear();
    H.PromisedUntil = TimePoint();
    return Ack;
  }
  // What was dispatched is worth knowing whoever the owner is.
  for (const messages::LedgerEntry &E : Copy.entries())
    H.Copies[E.key()] = E;
  bool BoundToOther = (Now < H.AgreedUntil && H.AgreedTo != Owner) ||
                      Copy.epoch() < H.AgreedEpoch;
  Ack.set_agreed_epoch(H.AgreedEpoch);
  if (StoreReached) {
    H.CutOffOwner = Owner;
    H.CutOffOwnerSeen = Now;
  }
  if (StoreReached || BoundToOther) {
    Ack.set_refused(true);
    return Ack;
  }
  if (Now - StartedAt_ < AgreementTime)
    return std::nullopt;
  H.PromisedTo = Owner;
  H.PromisedUntil = Now + PromiseTime;
  return Ack;
}

messages::IntentCopyReply
CopyHolder::agree(const HostId &Taker, const messages::IntentCopyQuery &Query,
                  TimePoint Now) {
  Held &H = Shards_[Query.shard()];
  messages::IntentCopyReply Reply;
  Reply.set_shard(Query.shard());
  Reply.set_query(Query.query());
  bool Promised = Now < H.PromisedUntil && H.PromisedTo != Taker;
  bool Agreed = Now < H.AgreedUntil && H.AgreedTo != Taker;
  bool JustStarted = Now - StartedAt_ < PromiseTime;
  if (Promised || Agreed || JustStarted) {
    Reply.set_refused(true);
    return Reply;
  }
  H.AgreedTo = Taker;
  H.AgreedUntil = Now + AgreementTime;
  H.AgreedEpoch = std::max(H.AgreedEpoch, Query.epoch());
  for (const auto &[Key, Copy] : H.Copies)
    *Reply.add_entries() = Copy;
  return Reply;
}

HostId CopyHolder::cutOffOwner(std::uint32_t Shard, TimePoint Since) const {
  auto It = Shards_.find(Shard);
  if (It == Shards_.end() || It->second.CutOffOwnerSeen <= Since)
    return {};
  return It->second.CutOffOwner;
}

} // namespace celerybeam::detail
