#include "booking/internal/copysender.h"

#include <algorithm>
#include <utility>

namespace celerybeam::detail {

namespace {

constexpr Duration Heartbeat = std::chrono::seconds(1);
constexpr Duration ResendAfter = std::chrono::milliseconds(300);
/// Clocks of two hosts may run at slightly different rates.
constexpr Duration PromiseMargin = std::chrono::milliseconds(500);
constexpr Duration RefusalMemory = std::chrono::seconds(3);
constexpr std::size_t EntriesPerCopy = 200;
constexpr std::size_t OpenCopies = 32;

} // namespace

void CopySender::begin(ChangeNumber Durable) {
  Durable_ = Durable;
  Progress_.clear();
  RefusedAt_ = TimePoint();
}

void CopySender::send(const LedgerTable &Table, std::uint64_t Epoch,
                      Effects &Out) {
  TimePoint Now = Context_.Time.Now();
  for (const HostId &Peer : regionPeers(Context_.Board)) {
    auto [It, IsNew] = Progress_.try_emplace(Peer);
    PeerProgress &P = It->second;
    if (IsNew)
      P.Acknowledged = P.LastSentUpTo = Durable_;
    bool HasMore = Table.lastChange() > P.LastSentUpTo;
    bool Unanswered = P.LastSentUpTo > P.Acknowledged;
    if (HasMore || Now - P.LastSent >= Heartbeat ||
        (Unanswered && Now - P.LastSent >= ResendAfter))
      sendTo(Peer, P, Table, Epoch, Out);
  }
}

void CopySender::sendTo(const HostId &Peer, PeerProgress &P,
                        const LedgerTable &Table, std::uint64_t Epoch,
                        Effects &Out) {
  messages::Envelope Message;
  messages::IntentCopy &Copy = *Message.mutable_intent_copy();
  Copy.set_shard(Shard_);
  Copy.set_epoch(Epoch);
  Copy.set_serial(NextSerial_++);
  Sent S;
  S.At = Context_.Time.Now();
  for (auto &E : Table.changedSince(P.Acknowledged, EntriesPerCopy, S.UpTo))
    *Copy.add_entries() = std::move(E);
  P.LastSent = S.At;
  P.LastSentUpTo = S.UpTo;
  P.Open.emplace(Copy.serial(), S);
  if (P.Open.size() > OpenCopies)
    P.Open.erase(P.Open.begin());
  Out.add([Send = Context_.Peers.Send, Peer, Message] { Send(Peer, Message); });
}

void CopySender::flushed(std::uint64_t Epoch, Effects &Out) {
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

void CopySender::acknowledged(const HostId &Peer,
                              const messages::IntentCopyAck &Ack) {
  auto It = Progress_.find(Peer);
  if (It == Progress_.end())
    return;
  auto Node = It->second.Open.extract(Ack.serial());
  if (Node.empty())
    return;
  if (Ack.refused()) {
    RefusedAt_ = Context_.Time.Now();
    It->second.PromisedUntil = TimePoint();
    return;
  }
  PeerProgress &P = It->second;
  P.Acknowledged = std::max(P.Acknowledged, Node.mapped().UpTo);
  P.PromisedUntil =
      std::max(P.PromisedUntil, Node.mapped().At + PromiseTime - PromiseMargin);
}

bool CopySender::holds(ChangeNumber Change) const {
  TimePoint Now = Context_.Time.Now();
  std::size_t Hosts = 1;
  for (const HostId &Peer : regionPeers(Context_.Board)) {
    auto It = Progress_.find(Peer);
    if (It != Progress_.end() && It->second.Acknowledged >= Change &&
        It->second.PromisedUntil > Now)
      ++Hosts;
  }
  return !refused() && isMajority(Context_.Board, Hosts);
}

bool CopySender::refused() const {
  return RefusedAt_ != TimePoint() &&
         Context_.Time.Now() - RefusedAt_ < RefusalMemory;
}

} // namespace celerybeam::detail
