#include "booking/internal/intentreplicator.h"

#include <algorithm>
#include <utility>

namespace celerybeam::detail {

namespace {

constexpr Duration HeartbeatInterval = std::chrono::seconds(1);
constexpr Duration ResendInterval = std::chrono::milliseconds(300);
/// Subtracted from a promise, because the clocks of two hosts may run at
/// slightly different rates.
constexpr Duration PromiseMargin = std::chrono::milliseconds(500);
constexpr Duration RefusalRetention = std::chrono::seconds(3);
constexpr std::size_t MaxEntriesPerCopy = 200;
constexpr std::size_t MaxOpenCopies = 32;

} // namespace

void IntentReplicator::beginOutage(ChangeNumber Durable) {
  Durable_ = Durable;
  Progress_.clear();
  RefusedAt_ = TimePoint();
}

void IntentReplicator::sendChanges(const LedgerTable &Table,
                                   std::uint64_t Epoch, Effects &Out) {
  TimePoint Now = Context_.Time.Now();
  for (const HostId &Peer : regionPeers(Context_.Board)) {
    auto [It, IsNew] = Progress_.try_emplace(Peer);
    PeerProgress &P = It->second;
    if (IsNew)
      P.Acknowledged = P.LastSentUpTo = Durable_;
    bool HasMore = Table.lastChange() > P.LastSentUpTo;
    bool Unanswered = P.LastSentUpTo > P.Acknowledged;
    if (HasMore || Now - P.LastSentAt >= HeartbeatInterval ||
        (Unanswered && Now - P.LastSentAt >= ResendInterval))
      sendTo(Peer, P, Table, Epoch, Out);
  }
}

void IntentReplicator::sendTo(const HostId &Peer, PeerProgress &P,
                              const LedgerTable &Table, std::uint64_t Epoch,
                              Effects &Out) {
  messages::Envelope Message;
  messages::IntentCopy &Copy = *Message.mutable_intent_copy();
  Copy.set_shard(Shard_);
  Copy.set_epoch(Epoch);
  Copy.set_serial(NextSerial_++);
  SentCopy Copied;
  Copied.SentAt = Context_.Time.Now();
  for (auto &E :
       Table.changedSince(P.Acknowledged, MaxEntriesPerCopy, Copied.UpTo))
    *Copy.add_entries() = std::move(E);
  P.LastSentAt = Copied.SentAt;
  P.LastSentUpTo = Copied.UpTo;
  P.OpenCopies.emplace(Copy.serial(), Copied);
  if (P.OpenCopies.size() > MaxOpenCopies)
    P.OpenCopies.erase(P.OpenCopies.begin());
  Out.add([Send = Context_.Peers.Send, Peer, Message] { Send(Peer, Message); });
}

void IntentReplicator::sendFlushed(std::uint64_t Epoch, Effects &Out) {
  for (const HostId &Peer : regionPeers(Context_.Board)) {
    messages::Envelope Message;
    messages::IntentCopy &Copy = *Message.mutable_intent_copy();
    Copy.set_shard(Shard_);
    Copy.set_epoch(Epoch);
    Copy.set_serial(NextSerial_++);
    Copy.set_flushed(true);
    Out.add(
        [Send = Context_.Peers.Send, Peer, Message] { Send(Peer, Message); });
  }
  Progress_.clear();
}

void IntentReplicator::handleAck(const HostId &Peer,
                                 const messages::IntentCopyAck &Ack) {
  auto It = Progress_.find(Peer);
  if (It == Progress_.end())
    return;
  auto Node = It->second.OpenCopies.extract(Ack.serial());
  if (Node.empty())
    return;
  if (Ack.refused()) {
    RefusedAt_ = Context_.Time.Now();
    It->second.PromisedUntil = TimePoint();
    return;
  }
  PeerProgress &P = It->second;
  P.Acknowledged = std::max(P.Acknowledged, Node.mapped().UpTo);
  P.PromisedUntil = std::max(P.PromisedUntil, Node.mapped().SentAt +
                                                  PromiseTime - PromiseMargin);
}

bool IntentReplicator::isHeldByMajority(ChangeNumber Change) const {
  TimePoint Now = Context_.Time.Now();
  std::size_t Hosts = 1;
  for (const HostId &Peer : regionPeers(Context_.Board)) {
    auto It = Progress_.find(Peer);
    if (It != Progress_.end() && It->second.Acknowledged >= Change &&
        It->second.PromisedUntil > Now)
      ++Hosts;
  }
  return !wasRefused() && isMajority(Context_.Board, Hosts);
}

bool IntentReplicator::wasRefused() const {
  return RefusedAt_ != TimePoint() &&
         Context_.Time.Now() - RefusedAt_ < RefusalRetention;
}

} // namespace celerybeam::detail
