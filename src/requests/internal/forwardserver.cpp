#include "requests/internal/forwardserver.h"

#include <optional>
#include <utility>

#include "requests/internal/forwardclient.h"
#include "requests/internal/wireerror.h"

namespace celerybeam::detail {

namespace {

template <typename Frame> AttemptId idOf(const Frame &F) {
  return {RequestId(F.request_id()), F.attempt()};
}

template <typename Frame> void setId(Frame &F, const AttemptId &Id) {
  F.set_request_id(Id.Request.str());
  F.set_attempt(Id.Number);
}

} // namespace

ForwardServer::ForwardServer(PeerHooks Peers, ForwardRunner Runner)
    : Peers_(std::move(Peers)), Runner_(std::move(Runner)) {}

void ForwardServer::handle(const messages::Envelope &Message) {
  if (Message.has_forward_request()) {
    serve(HostId(Message.from()), Message.forward_request());
    return;
  }
  if (Message.has_forward_cancel()) {
    AttemptId Id = idOf(Message.forward_cancel());
    if (Replies_.erase(Id))
      Runner_.Cancel(Id);
    return;
  }
  if (!Message.has_forward_credit())
    return;
  AttemptId Id = idOf(Message.forward_credit());
  bool Known = Replies_.update(
      Id, [&](Reply &R) { R.Credit += Message.forward_credit().chunks(); });
  if (Known)
    Runner_.Resume(Id);
}

void ForwardServer::serve(const HostId &Origin,
                          const messages::ForwardRequest &Request) {
  AttemptId Id = idOf(Request);
  if (!markSeen(Id))
    return;
  Replies_.set(Id, Reply{Origin, 0, ForwardWindowChunks});
  messages::Envelope Accepted;
  setId(*Accepted.mutable_forward_accepted(), Id);
  Peers_.Send(Origin, std::move(Accepted));
  if (Request.hops() == AllowedHops) {
    Runner_.Start(Request, replyHooks(Id));
    return;
  }
  sendEnd(Id, makeError(ErrorKind::LoopRefused,
                        "a request may cross regions once; send it to an "
                        "entry host of its own region"));
}

ResponseHooks ForwardServer::replyHooks(const AttemptId &Id) {
  ResponseHooks Hooks;
  Hooks.Head = [this, Id](const ResponseHead &Head) { sendHead(Id, Head); };
  Hooks.Chunk = [this, Id](std::string Data) {
    return sendChunk(Id, std::move(Data));
  };
  Hooks.End = [this, Id](const Result<void> &Outcome) { sendEnd(Id, Outcome); };
  return Hooks;
}

void ForwardServer::sendHead(const AttemptId &Id, const ResponseHead &Head) {
  std::optional<Reply> R = Replies_.find(Id);
  if (!R)
    return;
  messages::Envelope Out;
  messages::ForwardHead &Frame = *Out.mutable_forward_head();
  setId(Frame, Id);
  Frame.set_status(static_cast<std::uint32_t>(Head.Status));
  for (const HeaderField &Field : Head.Headers) {
    messages::Header &H = *Frame.add_headers();
    H.set_name(Field.Name);
    H.set_value(Field.Value);
  }
  Peers_.Send(R->Origin, std::move(Out));
}

Flow ForwardServer::sendChunk(const AttemptId &Id, std::string Data) {
  messages::Envelope Out;
  messages::ForwardChunk &Frame = *Out.mutable_forward_chunk();
  setId(Frame, Id);
  Frame.set_data(std::move(Data));
  HostId Origin;
  bool HasCredit = true;
  Replies_.update(Id, [&](Reply &R) {
    Origin = R.Origin;
    Frame.set_sequence(R.Chunks++);
    HasCredit = --R.Credit > 0;
  });
  if (Origin.empty())
    return Flow::Continue;
  Peers_.Send(Origin, std::move(Out));
  return HasCredit ? Flow::Continue : Flow::Pause;
}

void ForwardServer::sendEnd(const AttemptId &Id, const Result<void> &Outcome) {
  std::optional<Reply> R = Replies_.take(Id);
  if (!R)
    return;
  messages::Envelope Out;
  messages::ForwardEnd &Frame = *Out.mutable_forward_end();
  setId(Frame, Id);
  Frame.set_chunks(R->Chunks);
  if (!Outcome)
    *Frame.mutable_error() = toWire(Outcome.error());
  Peers_.Send(R->Origin, std::move(Out));
}

bool ForwardServer::markSeen(const AttemptId &Id) {
  std::lock_guard Lock(SeenMutex_);
  if (!Seen_.insert(Id).second)
    return false;
  SeenOrder_.push_back(Id);
  if (SeenOrder_.size() > MaxSeenAttempts) {
    Seen_.erase(SeenOrder_.front());
    SeenOrder_.pop_front();
  }
  return true;
}

} // namespace celerybeam::detail
