#include "requests/internal/forwardclient.h"

#include <optional>
#include <utility>

#include "requests/internal/wireerror.h"

namespace celerybeam::detail {

namespace {

constexpr std::uint32_t CreditBatchChunks = ForwardWindowChunks / 4;

template <typename Frame> AttemptId idOf(const Frame &F) {
  return {RequestId(F.request_id()), F.attempt()};
}

void sendCancel(const PeerHooks &Peers, const HostId &Host,
                const AttemptId &Id) {
  messages::Envelope Out;
  Out.mutable_forward_cancel()->set_request_id(Id.Request.str());
  Out.mutable_forward_cancel()->set_attempt(Id.Number);
  Peers.Send(Host, std::move(Out));
}

} // namespace

ForwardClient::ForwardClient(PeerHooks Peers, Runtime R)
    : Peers_(std::move(Peers)), Time_(std::move(R)) {}

void ForwardClient::start(const HostId &Host, messages::ForwardRequest Request,
                          CallObserver Observer) {
  Call NewCall;
  NewCall.Host = Host;
  NewCall.Observer = std::move(Observer);
  AttemptId Id = idOf(Request);
  Calls_.set(Id, std::move(NewCall));
  messages::Envelope Out;
  *Out.mutable_forward_request() = std::move(Request);
  Peers_.Send(Host, std::move(Out));
  watchAcceptance(Id);
}

void ForwardClient::watchAcceptance(const AttemptId &Id) {
  Time_.After(AcceptTimeout, [this, Id] {
    bool Unconfirmed = false;
    Calls_.update(Id, [&](Call &C) { Unconfirmed = !C.Accepted; });
    if (Unconfirmed)
      failCall(Id, ErrorKind::ConnectFailed);
  });
}

void ForwardClient::cancel(const AttemptId &Id) {
  std::optional<Call> Ended = Calls_.take(Id);
  if (Ended)
    sendCancel(Peers_, Ended->Host, Id);
}

void ForwardClient::resume(const AttemptId &Id) {
  HostId Host;
  std::uint32_t Credit = 0;
  Calls_.update(Id, [&](Call &C) {
    C.Paused = false;
    Host = C.Host;
    Credit = std::exchange(C.UncreditedChunks, 0);
  });
  if (Credit > 0)
    sendCredit(Host, Id, Credit);
}

void ForwardClient::handle(const messages::Envelope &Message) {
  HostId From(Message.from());
  if (Message.has_forward_accepted())
    Calls_.update(idOf(Message.forward_accepted()),
                  [](Call &C) { C.Accepted = true; });
  else if (Message.has_forward_head())
    handleHead(From, Message.forward_head());
  else if (Message.has_forward_chunk())
    handleChunk(From, Message.forward_chunk());
  else if (Message.has_forward_end())
    handleEnd(From, Message.forward_end());
}

void ForwardClient::handleHead(const HostId &From,
                               const messages::ForwardHead &Head) {
  std::function<void(ResponseHead)> Notify;
  Calls_.update(idOf(Head), [&](Call &C) {
    if (C.Host != From || std::exchange(C.HeadSeen, true))
      return;
    C.Accepted = true;
    Notify = C.Observer.OnHead;
  });
  if (!Notify)
    return;
  ResponseHead Out;
  Out.Status = static_cast<int>(Head.status());
  for (const messages::Header &H : Head.headers())
    Out.Headers.push_back({H.name(), H.value()});
  Notify(std::move(Out));
}

void ForwardClient::handleChunk(const HostId &From,
                                const messages::ForwardChunk &Chunk) {
  AttemptId Id = idOf(Chunk);
  std::function<Flow(std::string)> Notify;
  bool Gap = false;
  Calls_.update(Id, [&](Call &C) {
    if (C.Host != From || Chunk.sequence() < C.NextChunk)
      return;
    Gap = Chunk.sequence() > C.NextChunk || !C.HeadSeen;
    if (Gap)
      return;
    ++C.NextChunk;
    ++C.UncreditedChunks;
    Notify = C.Observer.OnData;
  });
  if (Gap)
    return failCall(Id, ErrorKind::ConnectionLost);
  if (!Notify)
    return;
  bool Pause = Notify(Chunk.data()) == Flow::Pause;
  std::uint32_t Credit = 0;
  Calls_.update(Id, [&](Call &C) {
    C.Paused = C.Paused || Pause;
    if (!C.Paused && C.UncreditedChunks >= CreditBatchChunks)
      Credit = std::exchange(C.UncreditedChunks, 0);
  });
  if (Credit > 0)
    sendCredit(From, Id, Credit);
}

void ForwardClient::handleEnd(const HostId &From,
                              const messages::ForwardEnd &End) {
  AttemptId Id = idOf(End);
  bool FromServingHost = false;
  bool Complete = false;
  Calls_.update(Id, [&](Call &C) {
    FromServingHost = C.Host == From;
    Complete = End.chunks() == C.NextChunk;
  });
  if (!FromServingHost)
    return;
  if (!Complete)
    return failCall(Id, ErrorKind::ConnectionLost);
  std::optional<Call> Ended = Calls_.take(Id);
  if (!Ended)
    return;
  Result<void> Outcome;
  if (End.has_error())
    Outcome = tl::unexpected(fromWire(End.error()));
  Ended->Observer.OnEnd(std::move(Outcome));
}

void ForwardClient::sendCredit(const HostId &Host, const AttemptId &Id,
                               std::uint32_t Chunks) {
  messages::Envelope Out;
  messages::ForwardCredit &Credit = *Out.mutable_forward_credit();
  Credit.set_request_id(Id.Request.str());
  Credit.set_attempt(Id.Number);
  Credit.set_chunks(Chunks);
  Peers_.Send(Host, std::move(Out));
}

void ForwardClient::failCall(const AttemptId &Id, ErrorKind Kind) {
  std::optional<Call> Ended = Calls_.take(Id);
  if (!Ended)
    return;
  sendCancel(Peers_, Ended->Host, Id);
  Ended->Observer.OnEnd(
      makeError(Kind, "frames from entry host " + Ended->Host.str() +
                          " are missing; the request is tried elsewhere"));
}

} // namespace celerybeam::detail
