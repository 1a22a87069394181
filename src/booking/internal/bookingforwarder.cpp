#include "booking/internal/bookingforwarder.h"

#include <algorithm>
#include <utility>

namespace celerybeam::detail {

namespace {

constexpr Duration ResendAfter = std::chrono::seconds(1);
constexpr Duration RetryAfterRefusal = std::chrono::milliseconds(200);
/// The owner gives up this much earlier, so that its answer arrives in time.
constexpr Duration OwnerReserve = std::chrono::milliseconds(60);
constexpr std::chrono::milliseconds CallerRetryAfter{1000};

bool mayBeTriedElsewhere(const Result<BookingOutcome> &Answer) {
  return !Answer && Answer.error().Kind == ErrorKind::NotReady;
}

bool didNothing(const Result<BookingOutcome> &Answer) {
  return !Answer && (Answer.error().Kind == ErrorKind::NotReady ||
                     Answer.error().Kind == ErrorKind::NoEndpoint ||
                     Answer.error().Kind == ErrorKind::Overloaded);
}

} // namespace

messages::BookingReply toWire(const Result<BookingOutcome> &Answer) {
  using Wire = messages::BookingReply;
  Wire Reply;
  if (!Answer) {
    messages::WireError &E = *Reply.mutable_error();
    E.set_kind(static_cast<std::uint32_t>(Answer.error().Kind));
    E.set_text(Answer.error().Message);
    E.set_has_retry_after(Answer.error().RetryAfter.has_value());
    if (Answer.error().RetryAfter)
      E.set_retry_after_ms(
          static_cast<std::uint32_t>(Answer.error().RetryAfter->count()));
    return Reply;
  }
  switch (Answer->State) {
  case BookingState::Done:
    Reply.set_outcome(Wire::DONE);
    break;
  case BookingState::NotRun:
    Reply.set_outcome(Wire::NOT_RUN);
    break;
  case BookingState::Running:
    Reply.set_outcome(Wire::RUNNING);
    break;
  case BookingState::Unknown:
    Reply.set_outcome(Wire::UNKNOWN);
    break;
  }
  Reply.set_status(static_cast<std::uint32_t>(Answer->Status));
  Reply.set_content_type(Answer->ContentType);
  Reply.set_answer(Answer->Answer);
  return Reply;
}

Result<BookingOutcome> fromWire(const messages::BookingReply &Reply) {
  using Wire = messages::BookingReply;
  if (Reply.has_error()) {
    Error E{static_cast<ErrorKind>(Reply.error().kind()), Reply.error().text()};
    if (Reply.error().has_retry_after())
      E.RetryAfter = std::chrono::milliseconds(Reply.error().retry_after_ms());
    return tl::unexpected(E);
  }
  BookingOutcome O;
  O.Status = static_cast<int>(Reply.status());
  O.ContentType = Reply.content_type();
  O.Answer = Reply.answer();
  if (Reply.outcome() == Wire::DONE)
    O.State = BookingState::Done;
  else if (Reply.outcome() == Wire::NOT_RUN)
    O.State = BookingState::NotRun;
  else if (Reply.outcome() == Wire::RUNNING)
    O.State = BookingState::Running;
  return O;
}

void BookingForwarder::start(Request R, Effects &Out) {
  std::uint64_t Id = NextId_++;
  Call &C = Calls_[Id];
  C.What = std::move(R);
  send(Id, C, Out);
}

HostId BookingForwarder::targetOf(const Call &C) const {
  if (!C.Hint.empty())
    return C.Hint;
  std::vector<HostId> Ranking =
      ownerRanking(Context_.Board, C.What.Shard, HostId());
  return Ranking.empty() ? Context_.Board.self().Id
                         : Ranking[C.Try % Ranking.size()];
}

void BookingForwarder::send(std::uint64_t Id, Call &C, Effects &Out) {
  HostId Target = targetOf(C);
  C.NextSend = Context_.Time.Now() + ResendAfter;
  auto [It, IsNew] = C.Open.try_emplace(Target);
  if (IsNew)
    It->second = Context_.OwnerName + "/" + std::to_string(NextName_++);
  if (Target != Context_.Board.self().Id) {
    sendMessage(Target, It->second, C.What, Out);
    return;
  }
  BookingWaiter Waiter;
  Waiter.Name = It->second;
  Waiter.Deadline = C.What.Deadline - OwnerReserve;
  Waiter.Reply = [this, Id, Target](const Result<BookingOutcome> &Answer,
                                    Effects &) {
    // Taken up at the next tick: the call may be in use on this stack.
    Arrived_.push_back({Id, Target, Answer});
  };
  Serve_(C.What, std::move(Waiter), Out);
}

void BookingForwarder::sendMessage(const HostId &To,
                                   const std::string &RequestName,
                                   const Request &R, Effects &Out) {
  messages::Envelope Message;
  if (!R.Order) {
    messages::BookingQuery &Query = *Message.mutable_booking_query();
    Query.set_request_id(RequestName);
    Query.set_key(R.Key);
    Query.set_customer(R.Customer.str());
  } else {
    messages::BookingRequest &Wire = *Message.mutable_booking_request();
    Duration Left = R.Deadline - Context_.Time.Now() - OwnerReserve;
    Wire.set_request_id(RequestName);
    Wire.set_key(R.Key);
    Wire.set_customer(R.Customer.str());
    Wire.set_route(R.Order->Route.str());
    Wire.set_method(R.Order->Head.Method);
    Wire.set_path(R.Order->Head.Path);
    Wire.set_query(R.Order->Head.Query);
    Wire.set_payload_digest(R.Order->PayloadDigest);
    for (const HeaderField &F : R.Order->Head.Headers) {
      messages::Header &H = *Wire.add_headers();
      H.set_name(F.Name);
      H.set_value(F.Value);
    }
    if (R.Order->Body)
      Wire.set_body(*R.Order->Body);
    Wire.set_remaining_ms(static_cast<std::uint32_t>(
        std::max<Duration::rep>(Left.count(), 0) / 1000));
  }
  Out.add([Send = Context_.Peers.Send, To, Message] { Send(To, Message); });
}

void BookingForwarder::answered(const HostId &From,
                                const messages::BookingReply &Reply,
                                Effects &Out) {
  for (auto It = Calls_.begin(); It != Calls_.end(); ++It) {
    auto Open = It->second.Open.find(From);
    if (Open == It->second.Open.end() || Open->second != Reply.request_id())
      continue;
    if (take(It->second, From, fromWire(Reply), HostId(Reply.owner()), Out))
      Calls_.erase(It);
    return;
  }
}

bool BookingForwarder::take(Call &C, const HostId &From,
                            const Result<BookingOutcome> &Answer,
                            const HostId &Hint, Effects &Out) {
  if (didNothing(Answer))
    C.Open.erase(From);
  if (!mayBeTriedElsewhere(Answer)) {
    bool MayStillRun = didNothing(Answer) && !C.Open.empty();
    finish(C, MayStillRun ? atDeadline(C) : Answer, Out);
    return true;
  }
  C.Refusal = Answer.error();
  C.Hint = Hint == From ? HostId() : Hint;
  ++C.Try;
  C.NextSend = Context_.Time.Now() + RetryAfterRefusal;
  return false;
}

Result<BookingOutcome> BookingForwarder::atDeadline(const Call &C) {
  if (!C.What.Order || !C.Open.empty())
    return makeError(ErrorKind::OutcomeUnknown,
                     "the owner of the booking has not answered; ask GET "
                     "/v1/bookings/<key>, it may have run",
                     CallerRetryAfter);
  if (C.Refusal)
    return tl::unexpected(*C.Refusal);
  return makeError(ErrorKind::NotReady,
                   "no host can take the booking now; it did not run, send "
                   "it again",
                   CallerRetryAfter);
}

void BookingForwarder::finish(Call &C, const Result<BookingOutcome> &Answer,
                              Effects &Out) {
  Out.add([Done = std::move(C.What.Done), Answer] { Done(Answer); });
}

void BookingForwarder::tick(Effects &Out) {
  for (const Arrival &A : std::exchange(Arrived_, {})) {
    auto It = Calls_.find(A.Id);
    if (It != Calls_.end() && take(It->second, A.From, A.Answer, HostId(), Out))
      Calls_.erase(It);
  }
  TimePoint Now = Context_.Time.Now();
  for (auto It = Calls_.begin(); It != Calls_.end();) {
    Call &C = It->second;
    if (Now + BookingController::TickInterval >= C.What.Deadline) {
      // After a pause of this host another may have been asked and have run
      // it, so that "not run" would mislead.
      if (Now > C.What.Deadline)
        C.Open.try_emplace(Context_.Board.self().Id);
      finish(C, atDeadline(C), Out);
      It = Calls_.erase(It);
      continue;
    }
    if (Now >= C.NextSend) {
      std::optional<PeerRecord> R = Context_.Board.peers().find(targetOf(C));
      if (R && R->State != PeerState::Alive) {
        C.Hint = HostId();
        ++C.Try;
      }
      send(It->first, C, Out);
    }
    ++It;
  }
}

} // namespace celerybeam::detail
