#include "booking/internal/shardowner.h"

#include <algorithm>
#include <utility>

namespace celerybeam::detail {

namespace {

constexpr Duration LookInterval = std::chrono::seconds(1);
constexpr Duration VerifyInterval = std::chrono::seconds(5);
constexpr Duration OutageRetry = std::chrono::milliseconds(500);
constexpr Duration AskTime = std::chrono::milliseconds(500);
/// A claim must be made while the agreements still bind.
constexpr Duration ClaimWithin = AgreementTime / 2;
constexpr Duration CutOffMemory = std::chrono::seconds(10);
/// Contact with the store for this long rules out an outage in which an
/// earlier owner could have gone on.
constexpr Duration CertainContact = std::chrono::seconds(30);
constexpr Duration ForgetInterval = std::chrono::seconds(30);
/// Callers' clocks may be off by this much.
constexpr UnixMillis ClockSkew = std::chrono::minutes(5);

} // namespace

ShardOwner::ShardOwner(BookingContext &Context, std::uint32_t Shard)
    : Context_(Context), Shard_(Shard), Writer_(Context, Shard),
      Copies_(Context, Shard) {
  Writer_.OnLost = [this](const LedgerWriter::Stored &Stored, Effects &Out) {
    lost(Stored, Out);
  };
}

HostId ShardOwner::recordOwner() const {
  return hostOfOwner(Seen_.Record.owner());
}

bool ShardOwner::isCandidate() const {
  if (Context_.Board.leaving())
    return false;
  HostId CutOff =
      Context_.Copies.cutOffOwner(Shard_, Context_.Time.Now() - CutOffMemory);
  std::vector<HostId> Ranking = ownerRanking(Context_.Board, Shard_, CutOff);
  return !Ranking.empty() && Ranking.front() == Context_.Board.self().Id;
}

bool ShardOwner::mayYield() const {
  return Phase_ != Phase::Owned || Copies_.refused();
}

bool ShardOwner::released() const {
  if (!Releasing_ || !Live_.empty() || Phase_ == Phase::Claiming)
    return false;
  // Without the store the next owner learns the outcomes from the others, or
  // finds them in the record if all of them went there before.
  return Phase_ != Phase::Owned || (InOutage_ && isSafe(Table_.lastChange()));
}

void ShardOwner::tick(Effects &Out) {
  TimePoint Now = Context_.Time.Now();
  if (Phase_ == Phase::Owned)
    keep(Out);
  else if (Phase_ == Phase::Asking)
    countAgreements(Out);
  else if (Phase_ == Phase::Idle && !Releasing_ &&
           Now - LookedAt_ >= LookInterval)
    look(Out);
  tellOutcomes(Out);
  expireWaiters(Out);
}

void ShardOwner::look(Effects &Out) {
  LookedAt_ = Context_.Time.Now();
  if (!isCandidate())
    return;
  Phase_ = Phase::Reading;
  Writer_.read(Out,
               [this](const Result<LedgerWriter::Stored> &Read, Effects &Next) {
                 Phase_ = Phase::Idle;
                 if (Read)
                   judge(*Read, Next);
               });
}

void ShardOwner::judge(const LedgerWriter::Stored &Stored, Effects &Out) {
  Seen_ = Stored;
  if (Stored.Record.owner().empty()) {
    Doubtful_ = false;
    claim(Out);
    return;
  }
  if (ownerIsGone(recordOwner()))
    ask(Out);
}

bool ShardOwner::ownerIsGone(const HostId &Owner) const {
  if (Owner == Context_.Board.self().Id)
    return true;
  if (Owner ==
      Context_.Copies.cutOffOwner(Shard_, Context_.Time.Now() - CutOffMemory))
    return true;
  std::optional<PeerRecord> R = Context_.Board.peers().find(Owner);
  return !R || R->State == PeerState::Dead || R->State == PeerState::Leaving;
}

void ShardOwner::ask(Effects &Out) {
  AskedAt_ = Context_.Time.Now();
  Query_ = Context_.Time.Random();
  Agreed_.clear();
  const HostId &Self = Context_.Board.self().Id;
  messages::Envelope Message;
  messages::IntentCopyQuery &Query = *Message.mutable_intent_copy_query();
  Query.set_shard(Shard_);
  Query.set_query(Query_);
  Query.set_epoch(Seen_.Record.epoch() + 1);
  messages::IntentCopyReply Own = Context_.Copies.agree(Self, Query, AskedAt_);
  if (Own.refused())
    return;
  Phase_ = Phase::Asking;
  Table_.load(Seen_.Record);
  agreed(Self, Own);
  for (const HostId &Peer : regionPeers(Context_.Board)) {
    Out.add(
        [Send = Context_.Peers.Send, Peer, Message] { Send(Peer, Message); });
  }
}

void ShardOwner::agreed(const HostId &Peer,
                        const messages::IntentCopyReply &Reply) {
  if (Phase_ != Phase::Asking || Reply.query() != Query_ || Reply.refused())
    return;
  Agreed_.insert(Peer);
  for (const messages::LedgerEntry &E : Reply.entries())
    Table_.merge(E);
}

void ShardOwner::countAgreements(Effects &Out) {
  std::vector<HostId> Peers = regionPeers(Context_.Board);
  AllAgreed_ = std::all_of(Peers.begin(), Peers.end(), [&](const HostId &Id) {
    return Id == recordOwner() || Agreed_.count(Id) > 0;
  });
  if (!AllAgreed_ && Context_.Time.Now() - AskedAt_ < AskTime)
    return;
  Phase_ = Phase::Idle;
  if (!isMajority(Context_.Board, Agreed_.size()))
    return;
  Doubtful_ = copiesMayBeLost();
  claim(Out);
}

bool ShardOwner::copiesMayBeLost() const {
  const StoreContact &Contact = Context_.Contact;
  TimePoint Now = Context_.Time.Now();
  bool OutageRuledOut =
      Contact.reached(Now) && Now - Contact.ContinuousSince >= CertainContact;
  return !AllAgreed_ || !OutageRuledOut;
}

void ShardOwner::claim(Effects &Out) {
  Phase_ = Phase::Claiming;
  Table_.load(Seen_.Record);
  Epoch_ = Seen_.Record.epoch() + 1;
  TakenOverAt_ = Context_.Time.WallNow();
  messages::LedgerShard Record = header();
  Table_.write(Record);
  AskedAt_ = Context_.Time.Now();
  Writer_.claim(
      std::move(Record), Seen_.Version, Table_.lastChange(), Out,
      [this](const Result<void> &Answer, Effects &) { claimed(Answer); });
}

void ShardOwner::claimed(const Result<void> &Answer) {
  Phase_ = Phase::Idle;
  if (!Answer)
    return;
  // After a pause the agreements no longer bind; ask again.
  if (Context_.Time.Now() - AskedAt_ > ClaimWithin)
    return;
  Phase_ = Phase::Owned;
  InOutage_ = false;
  Seen_.Record = header();
}

messages::LedgerShard ShardOwner::header() const {
  messages::LedgerShard Record;
  Record.set_shard(Shard_);
  Record.set_epoch(Epoch_);
  Record.set_owner(Context_.OwnerName);
  Record.set_taken_over_at_unix_ms(
      static_cast<std::uint64_t>(TakenOverAt_.count()));
  return Record;
}

void ShardOwner::lost(const LedgerWriter::Stored &Stored, Effects &Out) {
  Seen_ = Stored;
  giveUp(Out);
}

void ShardOwner::giveUp(Effects &Out) {
  Phase_ = Phase::Idle;
  InOutage_ = false;
  for (auto &[Key, L] : Live_)
    if (L.Pending)
      withdraw(L, "this host lost the ledger shard", Out);
}

void ShardOwner::raiseEpoch(Effects &Out) {
  Phase_ = Phase::Claiming;
  Epoch_ = NextEpoch_;
  AskedAt_ = Context_.Time.Now();
  messages::LedgerShard Record = header();
  Table_.write(Record);
  Writer_.replace(std::move(Record), Table_.lastChange(), Out,
                  [this](const Result<void> &Answer, Effects &Next) {
                    claimed(Answer);
                    if (Phase_ != Phase::Owned)
                      giveUp(Next);
                  });
}

void ShardOwner::keep(Effects &Out) {
  TimePoint Now = Context_.Time.Now();
  if (Now - ForgotAt_ >= ForgetInterval) {
    ForgotAt_ = Now;
    auto Retention = std::chrono::duration_cast<UnixMillis>(
        BookingController::Retention + ClockSkew * 2);
    Table_.forget(Context_.Time.WallNow() - Retention);
  }
  writeThrough(Out);
  withoutStore(Out);
  dispatchReady(Out);
}

void ShardOwner::writeThrough(Effects &Out) {
  Duration Since = Context_.Time.Now() - Writer_.lastCall();
  if (Writer_.busy() || (Writer_.failing() && Since < OutageRetry))
    return;
  // A write whose fate is open may have changed the record's version.
  if (Writer_.needsReadBack()) {
    Writer_.verify(Out);
    return;
  }
  bool InFlight =
      std::any_of(Table_.entries().begin(), Table_.entries().end(),
                  [](const auto &Item) { return Item.second.InFlight; });
  bool GiveAway = Releasing_ && !InFlight && Live_.empty();
  if (GiveAway) {
    messages::LedgerShard Record = header();
    Record.clear_owner();
    Table_.write(Record);
    Phase_ = Phase::Claiming;
    Writer_.replace(std::move(Record), Table_.lastChange(), Out,
                    [this](const Result<void> &Answer, Effects &) {
                      Phase_ = Answer ? Phase::Idle : Phase::Owned;
                    });
    return;
  }
  // A peer agreed to a takeover that never was and refuses the old epoch.
  if (!Writer_.failing() && NextEpoch_ > Epoch_)
    raiseEpoch(Out);
  else if (dirty())
    Writer_.commit(header(), Table_, Out);
  else if (Since >= VerifyInterval || Writer_.failing())
    Writer_.verify(Out);
}

void ShardOwner::withoutStore(Effects &Out) {
  if (!Writer_.failing()) {
    if (std::exchange(InOutage_, false))
      Copies_.flushed(Epoch_, Out);
    return;
  }
  if (!std::exchange(InOutage_, true))
    Copies_.begin(Writer_.durable());
  Copies_.send(Table_, Epoch_, Out);
  if (!Copies_.refused())
    return;
  for (auto &[Key, L] : Live_)
    if (L.Pending)
      withdraw(L, "this host is cut off from the platform's store", Out);
}

bool ShardOwner::isSafe(ChangeNumber Change) const {
  if (Phase_ != Phase::Owned)
    return false;
  return Change <= Writer_.durable() || (InOutage_ && Copies_.holds(Change));
}

void ShardOwner::copyAcknowledged(const HostId &Peer,
                                  const messages::IntentCopyAck &Ack) {
  if (Ack.epoch() == Epoch_)
    Copies_.acknowledged(Peer, Ack);
  NextEpoch_ = std::max(NextEpoch_, Ack.agreed_epoch());
}

void ShardOwner::outcomesTold(const messages::IntentCopy &Copy) {
  if (Phase_ != Phase::Owned)
    return;
  for (const messages::LedgerEntry &E : Copy.entries())
    if (E.state() == messages::LedgerEntry::DONE)
      Table_.merge(E);
}

} // namespace celerybeam::detail
