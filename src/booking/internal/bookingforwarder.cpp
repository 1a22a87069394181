#include "booking/internal/bookingforwarder.h"

#include <algorithm>
#include <utility>

namespace celerybeam::detail {

namespace {

constexpr Duration ResendInterval = std::chrono::seconds(1);
constexpr Duration RetryDelayAfterRefusal = std::chrono::milliseconds(200);
/// The owner's deadline is this much earlier than the caller's, so that its
/// reply arrives in time.
constexpr Duration OwnerDeadlineReserve = std::chrono::milliseconds(60);
constexpr std::chrono::milliseconds CallerRetryAfter{1000};

bool mayTryAnotherHost(const Result<BookingOutcome> &Outcome) {
  return !Outcome && Outcome.error().Kind == ErrorKind::NotReady;
}

bool didNotRun(const Result<BookingOutcome> &Outcome) {
  return !Outcome && (Outcome.error().Kind == ErrorKind::NotReady ||
                      Outcome.error().Kind == ErrorKind::NoEndpoint ||
                      Outcome.error().Kind == ErrorKind::Overloaded);
}

} // namespace

messages::BookingReply toWire(const Result<BookingOutcome> &Outcome) {
  using Wire = messages::BookingReply;
  Wire Reply;
  if (!Outcome) {
    messages::WireError &E = *Reply.mutable_error();
    E.set_kind(static_cast<std::uint32_t>(Outcome.error().Kind));
    E.set_text(Outcome.error().Message);
    E.set_has_retry_after(Outcome.error().RetryAfter.has_value());
    if (Outcome.error().RetryAfter)
      E.set_retry_after_ms(
          static_cast<std::uint32_t>(Outcome.error().RetryAfter->count()));
    return Reply;
  }
  switch (Outcome->State) {
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
  Reply.set_status(static_cast<std::uint32_t>(Outcome->Status));
  Reply.set_content_type(Outcome->ContentType);
  Reply.set_answer(Outcome->Response);
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
  O.Response = Reply.answer();
  if (Reply.outcome() == Wire::DONE)
    O.State = BookingState::Done;
  else if (Reply.outcome() == Wire::NOT_RUN)
    O.State = BookingState::NotRun;
  else if (Reply.outcome() == Wire::RUNNING)
    O.State = BookingState::Running;
  return O;
}

void BookingForwarder::start(Request R, Effects &Out) {
  std::uint64_t Id = NextCallId_++;
  Call &C = Calls_[Id];
  C.CallerRequest = std::move(R);
  send(Id, C, Out);
}

HostId BookingForwarder::targetFor(const Call &C) const {
  if (!C.OwnerHint.empty())
    return C.OwnerHint;
  std::vector<HostId> Ranking =
      ownerRanking(Context_.Board, C.CallerRequest.Shard, HostId());
  return Ranking.empty() ? Context_.Board.self().Id
                         : Ranking[C.Attempt % Ranking.size()];
}

void BookingForwarder::send(std::uint64_t Id, Call &C, Effects &Out) {
  HostId Target = targetFor(C);
  C.NextSendAt = Context_.Time.Now() + ResendInterval;
  auto [It, IsNew] = C.OpenRequests.try_emplace(Target);
  if (IsNew)
    It->second =
        Context_.OwnerName + "/" + std::to_string(NextRequestNumber_++);
  if (Target != Context_.Board.self().Id) {
    sendMessage(Target, It->second, C.CallerRequest, Out);
    return;
  }
  BookingWaiter Waiter;
  Waiter.Name = It->second;
  Waiter.Deadline = C.CallerRequest.Deadline - OwnerDeadlineReserve;
  Waiter.Reply = [this, Id, Target](const Result<BookingOutcome> &Outcome,
                                    Effects &) {
    // Processed at the next tick, because code further up the stack may still
    // use the call.
    LocalReplies_.push_back({Id, Target, Outcome});
  };
  Serve_(C.CallerRequest, std::move(Waiter), Out);
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
    Duration Remaining =
        R.Deadline - Context_.Time.Now() - OwnerDeadlineReserve;
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
        std::max<Duration::rep>(Remaining.count(), 0) / 1000));
  }
  Out.add([Send = Context_.Peers.Send, To, Message] { Send(To, Message); });
}

void BookingForwarder::handleReply(const HostId &From,
                                   const messages::BookingReply &Reply,
                                   Effects &Out) {
  for (auto It = Calls_.begin(); It != Calls_.end(); ++It) {
    auto OpenRequest = It->second.OpenRequests.find(From);
    if (OpenRequest == It->second.OpenRequests.end() ||
        OpenRequest->second != Reply.request_id())
      continue;
    if (processReply(It->second, From, fromWire(Reply), HostId(Reply.owner()),
                     Out))
      Calls_.erase(It);
    return;
  }
}

bool BookingForwarder::processReply(Call &C, const HostId &From,
                                    const Result<BookingOutcome> &Outcome,
                                    const HostId &OwnerHint, Effects &Out) {
  if (didNotRun(Outcome))
    C.OpenRequests.erase(From);
  if (!mayTryAnotherHost(Outcome)) {
    bool MayStillRun = didNotRun(Outcome) && !C.OpenRequests.empty();
    complete(C, MayStillRun ? outcomeAtDeadline(C) : Outcome, Out);
    return true;
  }
  C.LastRefusal = Outcome.error();
  C.OwnerHint = OwnerHint == From ? HostId() : OwnerHint;
  ++C.Attempt;
  C.NextSendAt = Context_.Time.Now() + RetryDelayAfterRefusal;
  return false;
}

Result<BookingOutcome> BookingForwarder::outcomeAtDeadline(const Call &C) {
  if (!C.CallerRequest.Order || !C.OpenRequests.empty())
    return makeError(ErrorKind::OutcomeUnknown,
                     "the owner of the booking has not answered; ask GET "
                     "/v1/bookings/<key>, it may have run",
                     CallerRetryAfter);
  if (C.LastRefusal)
    return tl::unexpected(*C.LastRefusal);
  return makeError(ErrorKind::NotReady,
                   "no host can take the booking now; it did not run, send "
                   "it again",
                   CallerRetryAfter);
}

void BookingForwarder::complete(Call &C, const Result<BookingOutcome> &Outcome,
                                Effects &Out) {
  Out.add([Done = std::move(C.CallerRequest.Done), Outcome] { Done(Outcome); });
}

void BookingForwarder::tick(Effects &Out) {
  for (const LocalReply &Local : std::exchange(LocalReplies_, {})) {
    auto It = Calls_.find(Local.Id);
    if (It != Calls_.end() &&
        processReply(It->second, Local.From, Local.Outcome, HostId(), Out))
      Calls_.erase(It);
  }
  TimePoint Now = Context_.Time.Now();
  for (auto It = Calls_.begin(); It != Calls_.end();) {
    Call &C = It->second;
    if (Now + BookingController::TickInterval >= C.CallerRequest.Deadline) {
      // If this process was paused past the deadline, another host may have
      // received and run the booking since. It must not be reported as "not
      // run".
      if (Now > C.CallerRequest.Deadline)
        C.OpenRequests.try_emplace(Context_.Board.self().Id);
      complete(C, outcomeAtDeadline(C), Out);
      It = Calls_.erase(It);
      continue;
    }
    if (Now >= C.NextSendAt) {
      std::optional<PeerRecord> R = Context_.Board.peers().find(targetFor(C));
      if (R && R->State != PeerState::Alive) {
        C.OwnerHint = HostId();
        ++C.Attempt;
      }
      send(It->first, C, Out);
    }
    ++It;
  }
}

} // namespace celerybeam::detail
