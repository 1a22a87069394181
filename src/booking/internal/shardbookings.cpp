#include <algorithm>
#include <utility>

#include "booking/internal/shardowner.h"

namespace celerybeam::detail {

namespace {

using State = messages::LedgerEntry;

constexpr std::chrono::milliseconds RetryAfter{1000};
/// A booking is not dispatched with less than this time before its deadline.
constexpr Duration DispatchReserve = std::chrono::milliseconds(50);
/// During a store outage, or once the shard is lost, the response of a runner
/// is reported after this time even if it is not in the store or at a majority
/// of hosts.
constexpr Duration MaxOutcomeDelay = std::chrono::seconds(1);
/// Callers' clocks may be this much ahead of the hosts' clocks.
constexpr UnixMillis MaxClockLead = std::chrono::seconds(10);
constexpr std::size_t MaxStoredResponseBytes = 4096;

Error unknownOutcome(const std::string &Reason) {
  return {ErrorKind::OutcomeUnknown,
          Reason + "; ask GET /v1/bookings/<key> and do not book again under a "
                   "new key before it tells"};
}

Error notRun(ErrorKind Kind, const std::string &Reason) {
  return {Kind, Reason + "; the booking did not run, send it again",
          RetryAfter};
}

BookingOutcome outcomeOf(const messages::LedgerEntry &Wire) {
  BookingOutcome O;
  O.State =
      Wire.state() == State::DONE ? BookingState::Done : BookingState::NotRun;
  O.Status = static_cast<int>(Wire.status());
  O.ContentType = Wire.content_type();
  O.Response = Wire.answer();
  return O;
}

bool sameBooking(const messages::LedgerEntry &Wire, const OwnedOrder &Order) {
  return Wire.customer() == Order.Customer.str() &&
         Wire.route() == Order.Route.str() &&
         Wire.payload_digest() == Order.PayloadDigest;
}

void addWaiter(std::vector<BookingWaiter> &Waiters, BookingWaiter Waiter) {
  std::erase_if(Waiters,
                [&](const BookingWaiter &W) { return W.Name == Waiter.Name; });
  Waiters.push_back(std::move(Waiter));
}

} // namespace

void ShardOwner::replyToWaiters(ActiveBooking &Booking,
                                const Result<BookingOutcome> &R, Effects &Out) {
  for (const BookingWaiter &W : std::exchange(Booking.Waiters, {}))
    W.Reply(R, Out);
}

void ShardOwner::book(OwnedOrder Order, Effects &Out) {
  if (LedgerTable::Entry *E = Table_.find(Order.Key)) {
    bookKnownKey(*E, std::move(Order), Out);
    return;
  }
  if (std::optional<Error> Refusal = refusalFor(Order)) {
    Order.Waiter.Reply(tl::unexpected(*Refusal), Out);
    return;
  }
  bookNewKey(std::move(Order), Out);
}

void ShardOwner::bookKnownKey(LedgerTable::Entry &E, OwnedOrder Order,
                              Effects &Out) {
  if (!sameBooking(E.Wire, Order)) {
    Order.Waiter.Reply(
        makeError(ErrorKind::KeyReused,
                  "the key " + Order.Key +
                      " belongs to another booking; make a new key for each"),
        Out);
    return;
  }
  auto It = ActiveBookings_.find(Order.Key);
  if (It != ActiveBookings_.end()) {
    addWaiter(It->second.Waiters, std::move(Order.Waiter));
    return;
  }
  if (E.Wire.state() == State::NOT_RUN && !isCommitted(E.Change)) {
    Order.Waiter.Reply(
        tl::unexpected(
            notRun(ErrorKind::NotReady, "its withdrawal is not recorded yet")),
        Out);
    return;
  }
  if (E.Wire.state() == State::DONE || E.Wire.state() == State::NOT_RUN) {
    Order.Waiter.Reply(outcomeOf(E.Wire), Out);
    return;
  }
  if (!isRepeatSafe(E, Order)) {
    Order.Waiter.Reply(tl::unexpected(unknownOutcome(
                           "the booking was sent to a runner and its answer "
                           "was lost")),
                       Out);
    return;
  }
  ActiveBooking &Booking = ActiveBookings_[Order.Key];
  addWaiter(Booking.Waiters, std::move(Order.Waiter));
  Booking.Where = Context_.Board.endpoints()
                      .find(EndpointId(E.Wire.runner()))
                      ->Descriptor.Where;
  Booking.Order = std::move(Order);
  Booking.IsRepeat = Booking.AwaitsDispatch = true;
}

bool ShardOwner::isRepeatSafe(const LedgerTable::Entry &E,
                              const OwnedOrder &Order) const {
  if (Phase_ != Phase::Owned || E.Wire.runner().empty())
    return false;
  TablesSnapshot Tables = Context_.Board.tables();
  const PoolRow *Pool = Tables->findPool(Order.Pool);
  return Pool != nullptr && Pool->Checks == RunnerCheck::Key &&
         Context_.Board.endpoints().find(EndpointId(E.Wire.runner()));
}

std::optional<Error> ShardOwner::refusalFor(const OwnedOrder &Order) const {
  if (Phase_ != Phase::Owned || Releasing_)
    return notRun(ErrorKind::NotReady, "no host owns the ledger shard yet");
  if (InOutage_ && Replicator_.wasRefused())
    return notRun(ErrorKind::NotReady,
                  "this host is cut off from the platform's store");
  if (MayMissIntents_ && Order.CreatedAt < TakenOverAt_ + MaxClockLead)
    return unknownOutcome("the key is older than this host's ownership, and "
                          "what ran before it is not known in full");
  if (!Table_.hasSpace())
    return notRun(ErrorKind::Overloaded, "the ledger shard is full");
  return std::nullopt;
}

void ShardOwner::bookNewKey(OwnedOrder Order, Effects &Out) {
  std::optional<EndpointDescriptor> Runner =
      Context_.PickRunner(Order.Pool, {});
  if (!Runner) {
    Order.Waiter.Reply(
        tl::unexpected(notRun(ErrorKind::NoEndpoint, "no runner of pool \"" +
                                                         Order.Pool.str() +
                                                         "\" takes work")),
        Out);
    return;
  }
  messages::LedgerEntry Wire;
  Wire.set_key(Order.Key);
  Wire.set_customer(Order.Customer.str());
  Wire.set_route(Order.Route.str());
  Wire.set_payload_digest(Order.PayloadDigest);
  Wire.set_state(State::INTENT);
  Wire.set_epoch(Epoch_);
  Wire.set_runner(Runner->Id.str());
  Table_.put(std::move(Wire));
  ActiveBooking &Booking = ActiveBookings_[Order.Key];
  Booking.Where = Runner->Where;
  Booking.AwaitsDispatch = true;
  addWaiter(Booking.Waiters, std::move(Order.Waiter));
  Booking.Order = std::move(Order);
  writeToStore(Out);
  replicateDuringOutage(Out);
}

void ShardOwner::dispatchReady(Effects &Out) {
  TimePoint Now = Context_.Time.Now();
  for (auto &[Key, Booking] : ActiveBookings_) {
    if (!Booking.AwaitsDispatch || Booking.Outcome)
      continue;
    LedgerTable::Entry *E = Table_.find(Key);
    bool DeadlinePassed = std::none_of(
        Booking.Waiters.begin(), Booking.Waiters.end(),
        [&](const auto &W) { return W.Deadline > Now + DispatchReserve; });
    if (DeadlinePassed || E == nullptr)
      withdraw(Booking, "the deadline passed before the booking could start",
               Out);
    else if (isCommitted(E->Change))
      dispatch(Booking, *E, Out);
  }
}

void ShardOwner::dispatch(ActiveBooking &Booking, LedgerTable::Entry &E,
                          Effects &Out) {
  Booking.AwaitsDispatch = false;
  E.Dispatched = E.InFlight = true;
  RunnerCall Call;
  Call.Key = Booking.Order.Key;
  Call.Attempt = ++Booking.Attempt;
  Call.Epoch = Epoch_;
  Call.Runner = EndpointId(E.Wire.runner());
  Call.Where = Booking.Where;
  Call.Head = Booking.Order.Head;
  Call.Body = Booking.Order.Body;
  startRunnerCall(Context_, Call, Out,
                  [this, Key = Call.Key, Attempt = Call.Attempt](
                      const RunnerResult &R, Effects &Next) {
                    finishCall(Key, Attempt, R, Next);
                  });
}

void ShardOwner::finishCall(const std::string &Key, AttemptNumber Attempt,
                            const RunnerResult &R, Effects &Out) {
  auto It = ActiveBookings_.find(Key);
  LedgerTable::Entry *E = Table_.find(Key);
  if (It == ActiveBookings_.end() || E == nullptr ||
      It->second.Attempt != Attempt)
    return;
  ActiveBooking &Booking = It->second;
  E->InFlight = false;
  switch (R.ResultKind) {
  case RunnerResult::Kind::NoWork:
    handleNoWork(Booking, *E);
    break;
  case RunnerResult::Kind::Unknown:
    setOutcome(Booking, *E, State::UNKNOWN,
               tl::unexpected(unknownOutcome("the runner's answer was lost")));
    break;
  case RunnerResult::Kind::Responded:
    E->Wire.set_status(static_cast<std::uint32_t>(R.Status));
    E->Wire.set_content_type(R.ContentType);
    if (R.ResponseBody.size() <= MaxStoredResponseBytes)
      E->Wire.set_answer(R.ResponseBody);
    setOutcome(Booking, *E, State::DONE,
               BookingOutcome{BookingState::Done, R.Status, R.ContentType,
                              R.ResponseBody});
    sendOutcomeToOwner(*E, Out);
    break;
  }
  deliverOutcomes(Out);
}

void ShardOwner::handleNoWork(ActiveBooking &Booking, LedgerTable::Entry &E) {
  if (Booking.IsRepeat) {
    setOutcome(Booking, E, State::UNKNOWN,
               tl::unexpected(unknownOutcome(
                   "the runner of the first call cannot be asked")));
    return;
  }
  Booking.Excluded.emplace_back(E.Wire.runner());
  std::optional<EndpointDescriptor> Next =
      Phase_ == Phase::Owned
          ? Context_.PickRunner(Booking.Order.Pool, Booking.Excluded)
          : std::nullopt;
  if (Next) {
    E.Wire.set_runner(Next->Id.str());
    Table_.markChanged(E);
    Booking.Where = Next->Where;
    Booking.AwaitsDispatch = true;
    return;
  }
  BookingOutcome O;
  O.State = BookingState::NotRun;
  setOutcome(Booking, E, State::NOT_RUN, O);
}

void ShardOwner::setOutcome(ActiveBooking &Booking, LedgerTable::Entry &E,
                            messages::LedgerEntry::State NewState,
                            Result<BookingOutcome> Outcome) {
  E.Wire.set_state(NewState);
  Table_.markChanged(E);
  Booking.AwaitsDispatch = false;
  Booking.Outcome = std::move(Outcome);
  Booking.OutcomeAt = Context_.Time.Now();
}

void ShardOwner::withdraw(ActiveBooking &Booking, const std::string &Reason,
                          Effects &Out) {
  LedgerTable::Entry *E = Table_.find(Booking.Order.Key);
  Booking.AwaitsDispatch = false;
  if (Booking.IsRepeat) {
    replyToWaiters(Booking, tl::unexpected(unknownOutcome(Reason)), Out);
    Booking.Outcome = tl::unexpected(unknownOutcome(Reason));
    return;
  }
  // From now on this process does not dispatch the booking, and no other
  // owner dispatches an intent that it finds in the ledger.
  Error Refusal = notRun(ErrorKind::NotReady, Reason);
  replyToWaiters(Booking, tl::unexpected(Refusal), Out);
  Booking.Outcome = tl::unexpected(Refusal);
  if (E == nullptr)
    return;
  if (E->Change > Writer_.attempted() && !InOutage_) {
    Table_.erase(Booking.Order.Key);
    return;
  }
  E->Wire.set_state(State::NOT_RUN);
  Table_.markChanged(*E);
}

void ShardOwner::sendOutcomeToOwner(const LedgerTable::Entry &E, Effects &Out) {
  HostId Owner = recordOwner();
  if (Phase_ == Phase::Owned || Owner.empty() ||
      Owner == Context_.Board.self().Id)
    return;
  messages::Envelope Message;
  Message.mutable_intent_copy()->set_shard(Shard_);
  Message.mutable_intent_copy()->set_epoch(Epoch_);
  *Message.mutable_intent_copy()->add_entries() = E.Wire;
  Out.add(
      [Send = Context_.Peers.Send, Owner, Message] { Send(Owner, Message); });
}

void ShardOwner::deliverOutcomes(Effects &Out) {
  TimePoint Now = Context_.Time.Now();
  for (auto It = ActiveBookings_.begin(); It != ActiveBookings_.end();) {
    ActiveBooking &Booking = It->second;
    LedgerTable::Entry *E = Table_.find(It->first);
    if (!Booking.Outcome) {
      ++It;
      continue;
    }
    bool Committed = E == nullptr || isCommitted(E->Change);
    bool IsNotRun =
        *Booking.Outcome && (*Booking.Outcome)->State == BookingState::NotRun;
    bool StoreUnavailable = InOutage_ || Phase_ != Phase::Owned;
    // "Not run" is only reported once it is recorded. The outcome of a
    // booking that ran may be reported earlier.
    bool MayDeliver = Committed || !*Booking.Outcome ||
                      (!IsNotRun && StoreUnavailable &&
                       Now - Booking.OutcomeAt >= MaxOutcomeDelay);
    bool Abandoned = Booking.Waiters.empty() && Phase_ != Phase::Owned;
    if (!MayDeliver && !Abandoned) {
      ++It;
      continue;
    }
    replyToWaiters(Booking, *Booking.Outcome, Out);
    It = ActiveBookings_.erase(It);
  }
}

void ShardOwner::expireWaiters(Effects &Out) {
  TimePoint Now = Context_.Time.Now();
  for (auto &[Key, Booking] : ActiveBookings_) {
    // The final outcome is known but was not committed in time.
    bool Ran = Booking.Outcome && *Booking.Outcome &&
               (*Booking.Outcome)->State == BookingState::Done;
    Result<BookingOutcome> WaiterReply = tl::unexpected(
        unknownOutcome("the booking was sent to a runner that has not "
                       "answered by the deadline"));
    if (Ran)
      WaiterReply = *Booking.Outcome;
    std::erase_if(Booking.Waiters, [&](const BookingWaiter &W) {
      if (W.Deadline > Now)
        return false;
      W.Reply(WaiterReply, Out);
      return true;
    });
  }
}

void ShardOwner::query(const CustomerId &Customer, const std::string &Key,
                       const BookingWaiter &Waiter, Effects &Out) {
  LedgerTable::Entry *E = Table_.find(Key);
  bool IsKnown = E != nullptr && E->Wire.customer() == Customer.str();
  if (!IsKnown && Phase_ != Phase::Owned) {
    Waiter.Reply(makeError(ErrorKind::NotReady,
                           "no host owns the ledger shard yet; ask again",
                           RetryAfter),
                 Out);
    return;
  }
  if (!IsKnown && MayMissIntents_) {
    Waiter.Reply(tl::unexpected(unknownOutcome(
                     "the ledger shard was taken over in an outage")),
                 Out);
    return;
  }
  if (!IsKnown) {
    Waiter.Reply(
        makeError(ErrorKind::NotFound, "no booking with the key " + Key +
                                           "; check the key and the customer"),
        Out);
    return;
  }
  BookingOutcome O;
  if (E->Wire.state() == State::DONE ||
      (E->Wire.state() == State::NOT_RUN && isCommitted(E->Change)))
    O = outcomeOf(E->Wire);
  else if (E->InFlight || ActiveBookings_.count(Key) > 0)
    O.State = BookingState::Running;
  Waiter.Reply(O, Out);
}

} // namespace celerybeam::detail
