#include "support/fakenetwork.h"

#include <utility>

namespace celerybeam::testing {

namespace {

constexpr Duration DefaultLatency = std::chrono::microseconds(500);
constexpr Duration ExtraDelay = std::chrono::milliseconds(700);

} // namespace

void FakeNetwork::join(const VirtualHost &Host, Incarnation Number,
                       Handler Handle) {
  Nodes_.insert_or_assign(Host.id(), Node{Host, Number, std::move(Handle)});
}

PeerHooks FakeNetwork::hooks(const VirtualHost &Host) {
  PeerHooks Hooks;
  Hooks.Send = [this, From = Host.id()](const HostId &To,
                                        messages::Envelope Message) {
    send(From, To, std::move(Message));
  };
  return Hooks;
}

void FakeNetwork::send(const HostId &From, const HostId &To,
                       messages::Envelope Message) {
  auto Sender = Nodes_.find(From);
  if (Sender == Nodes_.end() || !Sender->second.Host.running())
    return;
  Message.set_from(From.str());
  Message.set_incarnation(Sender->second.Number);
  Counts &C = Counts_[From];
  ++C.Messages;
  C.Bytes += Message.ByteSizeLong();
  MessageFault Fault = PickFault ? PickFault(Message) : MessageFault::None;
  if (Fault == MessageFault::Lose)
    return;
  Duration Delay = Latency ? Latency(From, To) : DefaultLatency;
  if (Fault == MessageFault::Delay)
    Delay += ExtraDelay;
  deliver(From, To, Message, Delay);
  if (Fault == MessageFault::Duplicate)
    deliver(From, To, Message, Delay + ExtraDelay);
}

void FakeNetwork::deliver(const HostId &From, const HostId &To,
                          const messages::Envelope &Message, Duration Delay) {
  Time_.after(Delay, [this, From, To, Message] {
    if (Connected && !Connected(From, To))
      return;
    auto It = Nodes_.find(To);
    if (It == Nodes_.end())
      return;
    const Node &N = It->second;
    N.Host.post(Duration(0), [Handle = N.Handle, Message] { Handle(Message); });
  });
}

std::uint64_t FakeNetwork::messagesSent(const HostId &Host) const {
  auto It = Counts_.find(Host);
  return It == Counts_.end() ? 0 : It->second.Messages;
}

std::uint64_t FakeNetwork::bytesSent(const HostId &Host) const {
  auto It = Counts_.find(Host);
  return It == Counts_.end() ? 0 : It->second.Bytes;
}

} // namespace celerybeam::testing
