#include <algorithm>
#include <utility>

#include "booking/internal/shardowner.h"

namespace celerybeam::detail {

namespace {

using State = messages::LedgerEntry;

constexpr std::chrono::milliseconds RetryAfter{1000};
/// A booking is not started when less than this is left for it.
constexpr Duration DispatchReserve = std::chrono::milliseconds(50);
/// Without the store an outcome is told after this even if it is not held
/// elsewhere yet.
constexpr Duration OutcomeHold = std::chrono::seconds(1);
/// Callers' clocks may be ahead of the hosts' by this much.
constexpr UnixMillis ClockSkew = std::chrono::seconds(10);
constexpr std::size_t MaxKeptAnswerBytes = 4096;

Error unknownOutcome(const std::string &Why) {
  return {ErrorKind::OutcomeUnknown,
          Why + "; ask GET /v1/bookings/<key> and do not book again under a "
                "new key before it tells"};
}

Error notRun(ErrorKind Kind, const std::string &Why) {
  return {Kind, Why + "; the booking did not run, send it again", RetryAfter};
}

BookingOutcome outcomeOf(const messages::LedgerEntry &Wire) {
  BookingOutcome O;
  O.State =
      Wire.state() == State::DONE ? BookingState::Done : BookingState::NotRun;
  O.Status = static_cast<int>(Wire.status());
  O.ContentType = Wire.content_type();
  O.Answer = Wire.answer();
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

void ShardOwner::tell(Live &L, const Result<BookingOutcome> &R, Effects &Out) {
  for (const BookingWaiter &W : std::exchange(L.Waiters, {}))
    W.Reply(R, Out);
}

void ShardOwner::book(OwnedOrder Order, Effects &Out) {
  if (LedgerTable::Entry *E = Table_.find(Order.Key)) {
    bookKnown(*E, std::move(Order), Out);
    return;
  }
  if (std::optional<Error> No = refusal(Order)) {
    Order.Waiter.Reply(tl::unexpected(*No), Out);
    return;
  }
  bookNew(std::move(Order), Out);
}

void ShardOwner::bookKnown(LedgerTable::Entry &E, OwnedOrder Order,
                           Effects &Out) {
  if (!sameBooking(E.Wire, Order)) {
    Order.Waiter.Reply(
        makeError(ErrorKind::KeyReused,
                  "the key " + Order.Key +
                      " belongs to another booking; make a new key for each"),
        Out);
    return;
  }
  auto It = Live_.find(Order.Key);
  if (It != Live_.end()) {
    addWaiter(It->second.Waiters, std::move(Order.Waiter));
    return;
  }
  if (E.Wire.state() == State::NOT_RUN && !isSafe(E.Change)) {
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
  if (!repeatIsSafe(E, Order)) {
    Order.Waiter.Reply(tl::unexpected(unknownOutcome(
                           "the booking was sent to a runner and its answer "
                           "was lost")),
                       Out);
    return;
  }
  Live &L = Live_[Order.Key];
  addWaiter(L.Waiters, std::move(Order.Waiter));
  L.Where = Context_.Board.endpoints()
                .find(EndpointId(E.Wire.runner()))
                ->Descriptor.Where;
  L.Order = std::move(Order);
  L.Repeat = L.Pending = true;
}

bool ShardOwner::repeatIsSafe(const LedgerTable::Entry &E,
                              const OwnedOrder &Order) const {
  if (Phase_ != Phase::Owned || E.Wire.runner().empty())
    return false;
  TablesSnapshot Tables = Context_.Board.tables();
  const PoolRow *Pool = Tables->findPool(Order.Pool);
  return Pool != nullptr && Pool->Checks == RunnerCheck::Key &&
         Context_.Board.endpoints().find(EndpointId(E.Wire.runner()));
}

std::optional<Error> ShardOwner::refusal(const OwnedOrder &Order) const {
  if (Phase_ != Phase::Owned || Releasing_)
    return notRun(ErrorKind::NotReady, "no host owns the ledger shard yet");
  if (InOutage_ && Copies_.refused())
    return notRun(ErrorKind::NotReady,
                  "this host is cut off from the platform's store");
  if (Doubtful_ && Order.CreatedAt < TakenOverAt_ + ClockSkew)
    return unknownOutcome("the key is older than this host's ownership, and "
                          "what ran before it is not known in full");
  if (!Table_.hasRoom())
    return notRun(ErrorKind::Overloaded, "the ledger shard is full");
  return std::nullopt;
}

void ShardOwner::bookNew(OwnedOrder Order, Effects &Out) {
  std::optional<EndpointDescriptor> Runner = Context_.Pick(Order.Pool, {});
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
  Live &L = Live_[Order.Key];
  L.Where = Runner->Where;
  L.Pending = true;
  addWaiter(L.Waiters, std::move(Order.Waiter));
  L.Order = std::move(Order);
  writeThrough(Out);
  withoutStore(Out);
}

void ShardOwner::dispatchReady(Effects &Out) {
  TimePoint Now = Context_.Time.Now();
  for (auto &[Key, L] : Live_) {
    if (!L.Pending || L.Outcome)
      continue;
    LedgerTable::Entry *E = Table_.find(Key);
    bool TooLate =
        std::none_of(L.Waiters.begin(), L.Waiters.end(), [&](const auto &W) {
          return W.Deadline > Now + DispatchReserve;
        });
    if (TooLate || E == nullptr)
      withdraw(L, "the deadline passed before the booking could start", Out);
    else if (isSafe(E->Change))
      dispatch(L, *E, Out);
  }
}

void ShardOwner::dispatch(Live &L, LedgerTable::Entry &E, Effects &Out) {
  L.Pending = false;
  E.Dispatched = E.InFlight = true;
  RunnerCall Call;
  Call.Key = L.Order.Key;
  Call.Number = ++L.Number;
  Call.Epoch = Epoch_;
  Call.Runner = EndpointId(E.Wire.runner());
  Call.Where = L.Where;
  Call.Head = L.Order.Head;
  Call.Body = L.Order.Body;
  startRunnerCall(Context_, Call, Out,
                  [this, Key = Call.Key,
                   Number = Call.Number](const RunnerResult &R, Effects &Next) {
                    finish(Key, Number, R, Next);
                  });
}

void ShardOwner::finish(const std::string &Key, AttemptNumber Number,
                        const RunnerResult &R, Effects &Out) {
  auto It = Live_.find(Key);
  LedgerTable::Entry *E = Table_.find(Key);
  if (It == Live_.end() || E == nullptr || It->second.Number != Number)
    return;
  Live &L = It->second;
  E->InFlight = false;
  switch (R.What) {
  case RunnerResult::Kind::NoWork:
    noWorkDone(L, *E);
    break;
  case RunnerResult::Kind::Unknown:
    settle(L, *E, State::UNKNOWN,
           tl::unexpected(unknownOutcome("the runner's answer was lost")));
    break;
  case RunnerResult::Kind::Answered:
    E->Wire.set_status(static_cast<std::uint32_t>(R.Status));
    E->Wire.set_content_type(R.ContentType);
    if (R.Answer.size() <= MaxKeptAnswerBytes)
      E->Wire.set_answer(R.Answer);
    settle(
        L, *E, State::DONE,
        BookingOutcome{BookingState::Done, R.Status, R.ContentType, R.Answer});
    forwardOutcome(*E, Out);
    break;
  }
  tellOutcomes(Out);
}

void ShardOwner::noWorkDone(Live &L, LedgerTable::Entry &E) {
  if (L.Repeat) {
    settle(L, E, State::UNKNOWN,
           tl::unexpected(
               unknownOutcome("the runner of the first call cannot be asked")));
    return;
  }
  L.Excluded.emplace_back(E.Wire.runner());
  std::optional<EndpointDescriptor> Next =
      Phase_ == Phase::Owned ? Context_.Pick(L.Order.Pool, L.Excluded)
                             : std::nullopt;
  if (Next) {
    E.Wire.set_runner(Next->Id.str());
    Table_.touch(E);
    L.Where = Next->Where;
    L.Pending = true;
    return;
  }
  BookingOutcome O;
  O.State = BookingState::NotRun;
  settle(L, E, State::NOT_RUN, O);
}

void ShardOwner::settle(Live &L, LedgerTable::Entry &E,
                        messages::LedgerEntry::State NewState,
                        Result<BookingOutcome> Outcome) {
  E.Wire.set_state(NewState);
  Table_.touch(E);
  L.Pending = false;
  L.Outcome = std::move(Outcome);
  L.OutcomeAt = Context_.Time.Now();
}

void ShardOwner::withdraw(Live &L, const std::string &Reason, Effects &Out) {
  LedgerTable::Entry *E = Table_.find(L.Order.Key);
  L.Pending = false;
  if (L.Repeat) {
    tell(L, tl::unexpected(unknownOutcome(Reason)), Out);
    L.Outcome = tl::unexpected(unknownOutcome(Reason));
    return;
  }
  // This process never dispatches it from here on, and no other owner
  // dispatches an intent that it finds.
  Error No = notRun(ErrorKind::NotReady, Reason);
  tell(L, tl::unexpected(No), Out);
  L.Outcome = tl::unexpected(No);
  if (E == nullptr)
    return;
  if (E->Change > Writer_.attempted() && !InOutage_) {
    Table_.erase(L.Order.Key);
    return;
  }
  E->Wire.set_state(State::NOT_RUN);
  Table_.touch(*E);
}

void ShardOwner::forwardOutcome(const LedgerTable::Entry &E, Effects &Out) {
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

void ShardOwner::tellOutcomes(Effects &Out) {
  TimePoint Now = Context_.Time.Now();
  for (auto It = Live_.begin(); It != Live_.end();) {
    Live &L = It->second;
    LedgerTable::Entry *E = Table_.find(It->first);
    if (!L.Outcome) {
      ++It;
      continue;
    }
    bool Safe = E == nullptr || isSafe(E->Change);
    bool IsNotRun = *L.Outcome && (*L.Outcome)->State == BookingState::NotRun;
    bool NoStore = InOutage_ || Phase_ != Phase::Owned;
    // "Not run" is said only once it is recorded; what has run may be told.
    bool MayTell = Safe || !*L.Outcome ||
                   (!IsNotRun && NoStore && Now - L.OutcomeAt >= OutcomeHold);
    bool Abandoned = L.Waiters.empty() && Phase_ != Phase::Owned;
    if (!MayTell && !Abandoned) {
      ++It;
      continue;
    }
    tell(L, *L.Outcome, Out);
    It = Live_.erase(It);
  }
}

void ShardOwner::expireWaiters(Effects &Out) {
  TimePoint Now = Context_.Time.Now();
  for (auto &[Key, L] : Live_) {
    // The answer is known to be final but not recorded in time.
    bool Ran =
        L.Outcome && *L.Outcome && (*L.Outcome)->State == BookingState::Done;
    Result<BookingOutcome> Answer = tl::unexpected(
        unknownOutcome("the booking was sent to a runner that has not "
                       "answered by the deadline"));
    if (Ran)
      Answer = *L.Outcome;
    std::erase_if(L.Waiters, [&](const BookingWaiter &W) {
      if (W.Deadline > Now)
        return false;
      W.Reply(Answer, Out);
      return true;
    });
  }
}

void ShardOwner::query(const CustomerId &Customer, const std::string &Key,
                       const BookingWaiter &Waiter, Effects &Out) {
  LedgerTable::Entry *E = Table_.find(Key);
  bool Known = E != nullptr && E->Wire.customer() == Customer.str();
  if (!Known && Phase_ != Phase::Owned) {
    Waiter.Reply(makeError(ErrorKind::NotReady,
                           "no host owns the ledger shard yet; ask again",
                           RetryAfter),
                 Out);
    return;
  }
  if (!Known && Doubtful_) {
    Waiter.Reply(tl::unexpected(unknownOutcome(
                     "the ledger shard was taken over in an outage")),
                 Out);
    return;
  }
  if (!Known) {
    Waiter.Reply(
        makeError(ErrorKind::NotFound, "no booking with the key " + Key +
                                           "; check the key and the customer"),
        Out);
    return;
  }
  BookingOutcome O;
  if (E->Wire.state() == State::DONE ||
      (E->Wire.state() == State::NOT_RUN && isSafe(E->Change)))
    O = outcomeOf(E->Wire);
  else if (E->InFlight || Live_.count(Key) > 0)
    O.State = BookingState::Running;
  Waiter.Reply(O, Out);
}

} // namespace celerybeam::detail
