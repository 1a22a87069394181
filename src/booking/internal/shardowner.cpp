#include "booking/internal/shardowner.h"

#include <algorithm>
#include <utility>

namespace celerybeam::detail {

namespace {

constexpr Duration RecordCheckInterval = std::chrono::seconds(1);
constexpr Duration VerifyInterval = std::chrono::seconds(5);
constexpr Duration OutageRetryInterval = std::chrono::milliseconds(500);
constexpr Duration AgreementTimeout = std::chrono::milliseconds(500);
/// A claim must complete while the agreements are still binding.
constexpr Duration MaxClaimTime = AgreementTime / 2;
/// How long a host that was partitioned from the store is not accepted as
/// owner.
constexpr Duration PartitionRetention = std::chrono::seconds(10);
/// If this host has reached the store without interruption for this long, there
/// was no recent outage in which an earlier owner could have run bookings
/// without the store.
constexpr Duration OutageExclusionTime = std::chrono::seconds(30);
constexpr Duration ForgetInterval = std::chrono::seconds(30);
/// Largest assumed error of callers' clocks.
constexpr UnixMillis MaxClockError = std::chrono::minutes(5);

} // namespace

ShardOwner::ShardOwner(BookingContext &Context, std::uint32_t Shard)
    : Context_(Context), Shard_(Shard), Writer_(Context, Shard),
      Replicator_(Context, Shard) {
  Writer_.OnOwnershipLost = [this](const LedgerWriter::StoredRecord &Stored,
                                   Effects &Out) {
    onOwnershipLost(Stored, Out);
  };
}

HostId ShardOwner::recordOwner() const {
  return hostOfOwner(LastRecord_.Record.owner());
}

bool ShardOwner::shouldOwn() const {
  if (Context_.Board.leaving())
    return false;
  HostId Partitioned = Context_.Copies.partitionedOwner(
      Shard_, Context_.Time.Now() - PartitionRetention);
  std::vector<HostId> Ranking =
      ownerRanking(Context_.Board, Shard_, Partitioned);
  return !Ranking.empty() && Ranking.front() == Context_.Board.self().Id;
}

bool ShardOwner::mayAgreeToTakeover() const {
  return Phase_ != Phase::Owned || Replicator_.wasRefused();
}

bool ShardOwner::isReleased() const {
  if (!Releasing_ || !ActiveBookings_.empty() || Phase_ == Phase::Claiming)
    return false;
  // During an outage the next owner gets the outcomes from the other hosts, or
  // from the record if all of them were written before the outage.
  return Phase_ != Phase::Owned ||
         (InOutage_ && isCommitted(Table_.lastChange()));
}

void ShardOwner::tick(Effects &Out) {
  TimePoint Now = Context_.Time.Now();
  if (Phase_ == Phase::Owned)
    maintain(Out);
  else if (Phase_ == Phase::AwaitingAgreement)
    countAgreements(Out);
  else if (Phase_ == Phase::Idle && !Releasing_ &&
           Now - LastCheckAt_ >= RecordCheckInterval)
    checkRecord(Out);
  deliverOutcomes(Out);
  expireWaiters(Out);
}

void ShardOwner::checkRecord(Effects &Out) {
  LastCheckAt_ = Context_.Time.Now();
  if (!shouldOwn())
    return;
  Phase_ = Phase::Reading;
  Writer_.read(Out, [this](const Result<LedgerWriter::StoredRecord> &Read,
                           Effects &Next) {
    Phase_ = Phase::Idle;
    if (Read)
      evaluateRecord(*Read, Next);
  });
}

void ShardOwner::evaluateRecord(const LedgerWriter::StoredRecord &Stored,
                                Effects &Out) {
  LastRecord_ = Stored;
  if (Stored.Record.owner().empty()) {
    MayMissIntents_ = false;
    claim(Out);
    return;
  }
  if (isOwnerGone(recordOwner()))
    requestAgreement(Out);
}

bool ShardOwner::isOwnerGone(const HostId &Owner) const {
  if (Owner == Context_.Board.self().Id)
    return true;
  if (Owner == Context_.Copies.partitionedOwner(Shard_, Context_.Time.Now() -
                                                            PartitionRetention))
    return true;
  std::optional<PeerRecord> R = Context_.Board.peers().find(Owner);
  return !R || R->State == PeerState::Dead || R->State == PeerState::Leaving;
}

void ShardOwner::requestAgreement(Effects &Out) {
  RequestedAt_ = Context_.Time.Now();
  TakeoverQuery_ = Context_.Time.Random();
  AgreedPeers_.clear();
  const HostId &Self = Context_.Board.self().Id;
  messages::Envelope Message;
  messages::IntentCopyQuery &Query = *Message.mutable_intent_copy_query();
  Query.set_shard(Shard_);
  Query.set_query(TakeoverQuery_);
  Query.set_epoch(LastRecord_.Record.epoch() + 1);
  messages::IntentCopyReply OwnReply =
      Context_.Copies.agreeToTakeover(Self, Query, RequestedAt_);
  if (OwnReply.refused())
    return;
  Phase_ = Phase::AwaitingAgreement;
  Table_.load(LastRecord_.Record);
  handleTakeoverReply(Self, OwnReply);
  for (const HostId &Peer : regionPeers(Context_.Board)) {
    Out.add(
        [Send = Context_.Peers.Send, Peer, Message] { Send(Peer, Message); });
  }
}

void ShardOwner::handleTakeoverReply(const HostId &Peer,
                                     const messages::IntentCopyReply &Reply) {
  if (Phase_ != Phase::AwaitingAgreement || Reply.query() != TakeoverQuery_ ||
      Reply.refused())
    return;
  AgreedPeers_.insert(Peer);
  for (const messages::LedgerEntry &E : Reply.entries())
    Table_.merge(E);
}

void ShardOwner::countAgreements(Effects &Out) {
  std::vector<HostId> Peers = regionPeers(Context_.Board);
  AllAgreed_ = std::all_of(Peers.begin(), Peers.end(), [&](const HostId &Id) {
    return Id == recordOwner() || AgreedPeers_.count(Id) > 0;
  });
  if (!AllAgreed_ && Context_.Time.Now() - RequestedAt_ < AgreementTimeout)
    return;
  Phase_ = Phase::Idle;
  if (!isMajority(Context_.Board, AgreedPeers_.size()))
    return;
  MayMissIntents_ = mayMissCopies();
  claim(Out);
}

bool ShardOwner::mayMissCopies() const {
  const StoreReachability &Reachability = Context_.Reachability;
  TimePoint Now = Context_.Time.Now();
  bool OutageRuledOut =
      Reachability.isReachable(Now) &&
      Now - Reachability.UninterruptedSince >= OutageExclusionTime;
  return !AllAgreed_ || !OutageRuledOut;
}

void ShardOwner::claim(Effects &Out) {
  Phase_ = Phase::Claiming;
  Table_.load(LastRecord_.Record);
  Epoch_ = LastRecord_.Record.epoch() + 1;
  TakenOverAt_ = Context_.Time.WallNow();
  messages::LedgerShard Record = recordHeader();
  Table_.write(Record);
  RequestedAt_ = Context_.Time.Now();
  Writer_.claim(
      std::move(Record), LastRecord_.Version, Table_.lastChange(), Out,
      [this](const Result<void> &Claimed, Effects &) { onClaimed(Claimed); });
}

void ShardOwner::onClaimed(const Result<void> &Claimed) {
  Phase_ = Phase::Idle;
  if (!Claimed)
    return;
  // If the process was paused, the agreements are no longer binding and must
  // be requested again.
  if (Context_.Time.Now() - RequestedAt_ > MaxClaimTime)
    return;
  Phase_ = Phase::Owned;
  InOutage_ = false;
  LastRecord_.Record = recordHeader();
}

messages::LedgerShard ShardOwner::recordHeader() const {
  messages::LedgerShard Record;
  Record.set_shard(Shard_);
  Record.set_epoch(Epoch_);
  Record.set_owner(Context_.OwnerName);
  Record.set_taken_over_at_unix_ms(
      static_cast<std::uint64_t>(TakenOverAt_.count()));
  return Record;
}

void ShardOwner::onOwnershipLost(const LedgerWriter::StoredRecord &Stored,
                                 Effects &Out) {
  LastRecord_ = Stored;
  stopOwning(Out);
}

void ShardOwner::stopOwning(Effects &Out) {
  Phase_ = Phase::Idle;
  InOutage_ = false;
  for (auto &[Key, Booking] : ActiveBookings_)
    if (Booking.AwaitsDispatch)
      withdraw(Booking, "this host lost the ledger shard", Out);
}

void ShardOwner::raiseEpoch(Effects &Out) {
  Phase_ = Phase::Claiming;
  Epoch_ = MinEpoch_;
  RequestedAt_ = Context_.Time.Now();
  messages::LedgerShard Record = recordHeader();
  Table_.write(Record);
  Writer_.replace(std::move(Record), Table_.lastChange(), Out,
                  [this](const Result<void> &Claimed, Effects &Next) {
                    onClaimed(Claimed);
                    if (Phase_ != Phase::Owned)
                      stopOwning(Next);
                  });
}

void ShardOwner::maintain(Effects &Out) {
  TimePoint Now = Context_.Time.Now();
  if (Now - LastForgetAt_ >= ForgetInterval) {
    LastForgetAt_ = Now;
    auto Retention = std::chrono::duration_cast<UnixMillis>(
        BookingController::Retention + MaxClockError * 2);
    Table_.forget(Context_.Time.WallNow() - Retention);
  }
  writeToStore(Out);
  replicateDuringOutage(Out);
  dispatchReady(Out);
}

void ShardOwner::writeToStore(Effects &Out) {
  Duration SinceLastCall = Context_.Time.Now() - Writer_.lastCallAt();
  if (Writer_.busy() ||
      (Writer_.lastCallFailed() && SinceLastCall < OutageRetryInterval))
    return;
  // A write whose result is unknown may have changed the record's version.
  if (Writer_.needsReadBack()) {
    Writer_.verify(Out);
    return;
  }
  bool InFlight =
      std::any_of(Table_.entries().begin(), Table_.entries().end(),
                  [](const auto &Item) { return Item.second.InFlight; });
  bool CanGiveUp = Releasing_ && !InFlight && ActiveBookings_.empty();
  if (CanGiveUp) {
    messages::LedgerShard Record = recordHeader();
    Record.clear_owner();
    Table_.write(Record);
    Phase_ = Phase::Claiming;
    Writer_.replace(std::move(Record), Table_.lastChange(), Out,
                    [this](const Result<void> &Written, Effects &) {
                      Phase_ = Written ? Phase::Idle : Phase::Owned;
                    });
    return;
  }
  // A peer agreed to a takeover that did not happen, and refuses the current
  // epoch.
  if (!Writer_.lastCallFailed() && MinEpoch_ > Epoch_)
    raiseEpoch(Out);
  else if (hasUnwrittenChanges())
    Writer_.commit(recordHeader(), Table_, Out);
  else if (SinceLastCall >= VerifyInterval || Writer_.lastCallFailed())
    Writer_.verify(Out);
}

void ShardOwner::replicateDuringOutage(Effects &Out) {
  if (!Writer_.lastCallFailed()) {
    if (std::exchange(InOutage_, false))
      Replicator_.sendFlushed(Epoch_, Out);
    return;
  }
  if (!std::exchange(InOutage_, true))
    Replicator_.beginOutage(Writer_.durable());
  Replicator_.sendChanges(Table_, Epoch_, Out);
  if (!Replicator_.wasRefused())
    return;
  for (auto &[Key, Booking] : ActiveBookings_)
    if (Booking.AwaitsDispatch)
      withdraw(Booking, "this host is cut off from the platform's store", Out);
}

bool ShardOwner::isCommitted(ChangeNumber Change) const {
  if (Phase_ != Phase::Owned)
    return false;
  return Change <= Writer_.durable() ||
         (InOutage_ && Replicator_.isHeldByMajority(Change));
}

void ShardOwner::handleCopyAck(const HostId &Peer,
                               const messages::IntentCopyAck &Ack) {
  if (Ack.epoch() == Epoch_)
    Replicator_.handleAck(Peer, Ack);
  MinEpoch_ = std::max(MinEpoch_, Ack.agreed_epoch());
}

void ShardOwner::mergeReportedOutcomes(const messages::IntentCopy &Copy) {
  if (Phase_ != Phase::Owned)
    return;
  for (const messages::LedgerEntry &E : Copy.entries())
    if (E.state() == messages::LedgerEntry::DONE)
      Table_.merge(E);
}

} // namespace celerybeam::detail
