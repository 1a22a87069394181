#include "booking/bookingcontroller.h"

#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include "booking/internal/bookingcontext.h"
#include "booking/internal/bookingforwarder.h"
#include "booking/internal/shardowner.h"
#include "framework/digest.h"
#include "framework/stablehash.h"

namespace celerybeam {

namespace {

using detail::BookingWaiter;
using detail::Effects;
using detail::OwnedOrder;
using detail::ShardOwner;

/// Number of ledger shards of a region. It may only be changed while the
/// ledger is empty, because the shard of a key depends on it.
constexpr std::uint32_t ShardCount = 8;
/// Keys whose time is further in the future are refused.
constexpr UnixMillis MaxFutureOffset = std::chrono::minutes(5);
/// How long a successful probe of the store is a reason to refuse an owner's
/// copies. Longer than the interval at which the owner resends a copy, so that
/// the result is still valid when the copy arrives again.
constexpr Duration ProbeValidity = std::chrono::milliseconds(400);
/// How long refused requests are remembered, so that a duplicate message that
/// arrives late is refused too.
constexpr Duration RefusalRetention = std::chrono::minutes(2);

std::uint32_t shardOf(const std::string &Key) {
  return static_cast<std::uint32_t>(stableHash(Key) % ShardCount);
}

std::string payloadDigest(const RequestHead &Head, const std::string &Body) {
  return sha256Hex(Head.Method + ' ' + Head.Path + '?' + Head.Query + '\n' +
                   Body);
}

tl::unexpected<Error> expiredKey(const std::string &Key) {
  return makeError(ErrorKind::ExpiredKey,
                   "the time in the key " + Key +
                       " is older than the ledger's memory or in the future; "
                       "check the clock and, if the booking never was sent, "
                       "make a new key");
}

} // namespace

/// The controller's state, protected by its lock. Callbacks do not keep it
/// alive.
class BookingController::Impl {
public:
  Impl(Blackboard &Board, Runtime R, StoreHooks Store, PeerHooks Peers,
       EndpointHooks Calls, RunnerPicker PickRunner);

  void runLocked(const std::function<void(Effects &)> &Action);
  void book(BookingOrder Order, Completion<BookingOutcome> Done);
  void query(const CustomerId &Customer, const Uuid7 &Key, TimePoint Deadline,
             Completion<BookingOutcome> Done);
  void handleMessage(const messages::Envelope &Message, Effects &Out);
  void tick(Effects &Out);
  void leave(Completion<void> Done, Effects &Out);

private:
  bool isKeyTimeAccepted(UnixMillis CreatedAt) const;
  void serve(const detail::BookingForwarder::Request &R, BookingWaiter Waiter,
             Effects &Out);
  void handleRequest(const HostId &From, const messages::BookingRequest &Wire,
                     Effects &Out);
  void handleQuery(const HostId &From, const messages::BookingQuery &Wire,
                   Effects &Out);
  void handleCopy(const HostId &From, const messages::IntentCopy &Copy,
                  Effects &Out);
  void probeStore(std::uint32_t Shard, Effects &Out);
  void handleCopyQuery(const HostId &From,
                       const messages::IntentCopyQuery &Query, Effects &Out);
  BookingWaiter makeRemoteWaiter(const HostId &To,
                                 const std::string &RequestName,
                                 const std::string &Key, TimePoint Deadline);
  void sendReply(const HostId &To, const std::string &RequestName,
                 const std::string &Key, const Result<BookingOutcome> &Outcome,
                 Effects &Out);
  bool allShardsReleased() const;
  void sendTo(const HostId &To, messages::Envelope Message, Effects &Out);

  /// Callbacks hold it weakly. Controller is null once the controller is being
  /// destroyed; they then do nothing.
  struct CallbackTarget {
    std::mutex Mutex;
    Impl *Controller = nullptr;
  };

  std::shared_ptr<CallbackTarget> Target_ = std::make_shared<CallbackTarget>();
  detail::BookingContext Context_;
  std::vector<std::unique_ptr<ShardOwner>> Shards_;
  detail::BookingForwarder Forwarder_;
  std::map<std::string, TimePoint> RefusedRequests_;
  Completion<void> LeaveDone_;
  /// Whether a probe of the store is under way.
  bool ProbeUnderWay_ = false;
  /// Start of the latest probe that reached the store.
  TimePoint SuccessfulProbeStartedAt_{};

public:
  ~Impl() {
    std::lock_guard Lock(Target_->Mutex);
    Target_->Controller = nullptr;
  }
};

BookingController::Impl::Impl(Blackboard &Board, Runtime R, StoreHooks Store,
                              PeerHooks Peers, EndpointHooks Calls,
                              RunnerPicker PickRunner)
    : Context_{Board,
               std::move(R),
               std::move(Store),
               std::move(Peers),
               std::move(Calls),
               std::move(PickRunner),
               nullptr,
               Board.self().Id.str() + "#" +
                   std::to_string(Board.self().Number),
               {},
               detail::IntentCopyStore(TimePoint())},
      Forwarder_(Context_,
                 [this](const detail::BookingForwarder::Request &CallerRequest,
                        BookingWaiter Waiter, Effects &Out) {
                   serve(CallerRequest, std::move(Waiter), Out);
                 }) {
  Context_.Copies = detail::IntentCopyStore(Context_.Time.Now());
  Target_->Controller = this;
  Context_.RunLocked = [Weak = std::weak_ptr<CallbackTarget>(Target_)](
                           const std::function<void(Effects &)> &Action) {
    std::shared_ptr<CallbackTarget> Target = Weak.lock();
    if (!Target)
      return;
    Effects Out;
    {
      std::lock_guard Lock(Target->Mutex);
      if (Target->Controller == nullptr)
        return;
      Action(Out);
    }
    Out.run();
  };
  for (std::uint32_t Shard = 0; Shard < ShardCount; ++Shard)
    Shards_.push_back(std::make_unique<ShardOwner>(Context_, Shard));
}

void BookingController::Impl::runLocked(
    const std::function<void(Effects &)> &Action) {
  Context_.RunLocked(Action);
}

bool BookingController::Impl::isKeyTimeAccepted(UnixMillis CreatedAt) const {
  UnixMillis Now = Context_.Time.WallNow();
  auto RetentionMillis = std::chrono::duration_cast<UnixMillis>(Retention);
  return CreatedAt > Now - RetentionMillis && CreatedAt < Now + MaxFutureOffset;
}

void BookingController::Impl::book(BookingOrder Order,
                                   Completion<BookingOutcome> Done) {
  if (!isKeyTimeAccepted(Order.Key.createdAt())) {
    Done(expiredKey(Order.Key.str()));
    return;
  }
  detail::BookingForwarder::Request Request;
  Request.Key = Order.Key.str();
  Request.Shard = shardOf(Request.Key);
  Request.Customer = Order.Customer;
  Request.Deadline = Order.Deadline;
  Request.Done = std::move(Done);
  OwnedOrder &Owned = Request.Order.emplace();
  Owned.Key = Request.Key;
  Owned.CreatedAt = Order.Key.createdAt();
  Owned.Customer = std::move(Order.Customer);
  Owned.Route = std::move(Order.Route);
  Owned.Pool = std::move(Order.Pool);
  Owned.PayloadDigest =
      payloadDigest(Order.Head, Order.Body ? *Order.Body : std::string());
  Owned.Head = std::move(Order.Head);
  Owned.Body = std::move(Order.Body);
  runLocked([&](Effects &Out) { Forwarder_.start(std::move(Request), Out); });
}

void BookingController::Impl::query(const CustomerId &Customer,
                                    const Uuid7 &Key, TimePoint Deadline,
                                    Completion<BookingOutcome> Done) {
  detail::BookingForwarder::Request Request;
  Request.Key = Key.str();
  Request.Shard = shardOf(Request.Key);
  Request.Customer = Customer;
  Request.Deadline = Deadline;
  Request.Done = std::move(Done);
  runLocked([&](Effects &Out) { Forwarder_.start(std::move(Request), Out); });
}

void BookingController::Impl::serve(const detail::BookingForwarder::Request &R,
                                    BookingWaiter Waiter, Effects &Out) {
  ShardOwner &Shard = *Shards_[R.Shard];
  if (!R.Order) {
    Shard.query(R.Customer, R.Key, Waiter, Out);
    return;
  }
  OwnedOrder Order = *R.Order;
  Order.Waiter = std::move(Waiter);
  Shard.book(std::move(Order), Out);
}

void BookingController::Impl::sendTo(const HostId &To,
                                     messages::Envelope Message, Effects &Out) {
  Out.add([Send = Context_.Peers.Send, To, Message = std::move(Message)] {
    Send(To, Message);
  });
}

void BookingController::Impl::sendReply(const HostId &To,
                                        const std::string &RequestName,
                                        const std::string &Key,
                                        const Result<BookingOutcome> &Outcome,
                                        Effects &Out) {
  messages::Envelope Message;
  messages::BookingReply &Reply = *Message.mutable_booking_reply();
  Reply = detail::toWire(Outcome);
  Reply.set_request_id(RequestName);
  Reply.set_key(Key);
  if (!Outcome) {
    ErrorKind Kind = Outcome.error().Kind;
    if (Kind == ErrorKind::NotReady || Kind == ErrorKind::NoEndpoint ||
        Kind == ErrorKind::Overloaded)
      RefusedRequests_[RequestName] = Context_.Time.Now();
    HostId Owner = Shards_[shardOf(Key)]->recordOwner();
    if (Kind == ErrorKind::NotReady && Owner != Context_.Board.self().Id)
      Reply.set_owner(Owner.str());
  }
  sendTo(To, std::move(Message), Out);
}

BookingWaiter BookingController::Impl::makeRemoteWaiter(
    const HostId &To, const std::string &RequestName, const std::string &Key,
    TimePoint Deadline) {
  BookingWaiter Waiter;
  Waiter.Name = RequestName;
  Waiter.Deadline = Deadline;
  Waiter.Reply = [=, this](const Result<BookingOutcome> &Outcome,
                           Effects &Out) {
    sendReply(To, RequestName, Key, Outcome, Out);
  };
  return Waiter;
}

void BookingController::Impl::handleRequest(
    const HostId &From, const messages::BookingRequest &Wire, Effects &Out) {
  Result<Uuid7> Key = Uuid7::parse(Wire.key());
  if (!Key || !isKeyTimeAccepted(Key->createdAt())) {
    sendReply(From, Wire.request_id(), Wire.key(), expiredKey(Wire.key()), Out);
    return;
  }
  TablesSnapshot Tables = Context_.Board.tables();
  const RouteRow *Route = Tables->findRoute(RouteName(Wire.route()));
  if (Route == nullptr || RefusedRequests_.count(Wire.request_id()) > 0) {
    sendReply(From, Wire.request_id(), Wire.key(),
              makeError(ErrorKind::NotReady,
                        "the owner of the key cannot take the booking yet; it "
                        "did not run, send it again",
                        std::chrono::seconds(1)),
              Out);
    return;
  }
  OwnedOrder Order;
  Order.Key = Key->str();
  Order.CreatedAt = Key->createdAt();
  Order.Customer = CustomerId(Wire.customer());
  Order.Route = Route->Name;
  Order.Pool = Route->Pool;
  Order.PayloadDigest = Wire.payload_digest();
  Order.Head = {Wire.method(), Wire.path(), Wire.query(), {}};
  for (const messages::Header &H : Wire.headers())
    Order.Head.Headers.push_back({H.name(), H.value()});
  Order.Body = std::make_shared<const std::string>(Wire.body());
  Order.Waiter = makeRemoteWaiter(
      From, Wire.request_id(), Order.Key,
      Context_.Time.Now() + std::chrono::milliseconds(Wire.remaining_ms()));
  ShardOwner &Shard = *Shards_[shardOf(Order.Key)];
  Shard.book(std::move(Order), Out);
}

void BookingController::Impl::handleQuery(const HostId &From,
                                          const messages::BookingQuery &Wire,
                                          Effects &Out) {
  Result<Uuid7> Key = Uuid7::parse(Wire.key());
  if (!Key)
    return;
  Shards_[shardOf(Key->str())]->query(
      CustomerId(Wire.customer()), Key->str(),
      makeRemoteWaiter(From, Wire.request_id(), Key->str(), TimePoint::max()),
      Out);
}

void BookingController::Impl::handleCopy(const HostId &From,
                                         const messages::IntentCopy &Copy,
                                         Effects &Out) {
  if (Copy.shard() >= ShardCount)
    return;
  TimePoint Now = Context_.Time.Now();
  ShardOwner &Shard = *Shards_[Copy.shard()];
  Shard.mergeReportedOutcomes(Copy);
  // At the start of an outage this host may not have noticed it yet, and its
  // refusal would stop an owner that has. So it probes the store first; the
  // owner resends the copy.
  bool SeemsReachable = Context_.Reachability.isReachable(Now);
  if (SeemsReachable && !Shard.isOwner() &&
      Now - SuccessfulProbeStartedAt_ > ProbeValidity) {
    probeStore(Copy.shard(), Out);
    return;
  }
  bool StoreReached = SeemsReachable || Shard.isOwner();
  std::optional<messages::IntentCopyAck> Ack =
      Context_.Copies.storeCopy(From, Copy, StoreReached, Now);
  if (!Ack)
    return;
  messages::Envelope Message;
  *Message.mutable_intent_copy_ack() = *Ack;
  sendTo(From, std::move(Message), Out);
}

void BookingController::Impl::probeStore(std::uint32_t Shard, Effects &Out) {
  if (std::exchange(ProbeUnderWay_, true))
    return;
  StoreKey Key(detail::ledgerKey(Context_.Board, Shard));
  TimePoint StartedAt = Context_.Time.Now();
  auto HandleResult = [this, StartedAt](const Result<StoreValue> &Value) {
    ProbeUnderWay_ = false;
    bool StoreReplied = Value || Value.error().Kind == ErrorKind::NotFound;
    if (StoreReplied) {
      SuccessfulProbeStartedAt_ = StartedAt;
      Context_.Reachability.recordSuccess(Context_.Time.Now());
    } else {
      Context_.Reachability.recordFailure(Context_.Time.Now());
    }
  };
  Out.add([Get = Context_.Store.Get, RunLocked = Context_.RunLocked, Key,
           HandleResult] {
    Get(Key, [RunLocked, HandleResult](const Result<StoreValue> &Value) {
      RunLocked([&](Effects &) { HandleResult(Value); });
    });
  });
}

void BookingController::Impl::handleCopyQuery(
    const HostId &From, const messages::IntentCopyQuery &Query, Effects &Out) {
  if (Query.shard() >= ShardCount)
    return;
  messages::Envelope Message;
  messages::IntentCopyReply &Reply = *Message.mutable_intent_copy_reply();
  if (Shards_[Query.shard()]->mayAgreeToTakeover()) {
    Reply = Context_.Copies.agreeToTakeover(From, Query, Context_.Time.Now());
  } else {
    Reply.set_shard(Query.shard());
    Reply.set_query(Query.query());
    Reply.set_refused(true);
  }
  sendTo(From, std::move(Message), Out);
}

void BookingController::Impl::handleMessage(const messages::Envelope &Message,
                                            Effects &Out) {
  HostId From(Message.from());
  switch (Message.body_case()) {
  case messages::Envelope::kBookingRequest:
    handleRequest(From, Message.booking_request(), Out);
    return;
  case messages::Envelope::kBookingReply:
    Forwarder_.handleReply(From, Message.booking_reply(), Out);
    return;
  case messages::Envelope::kBookingQuery:
    handleQuery(From, Message.booking_query(), Out);
    return;
  case messages::Envelope::kIntentCopy:
    handleCopy(From, Message.intent_copy(), Out);
    return;
  case messages::Envelope::kIntentCopyAck:
    if (Message.intent_copy_ack().shard() < ShardCount)
      Shards_[Message.intent_copy_ack().shard()]->handleCopyAck(
          From, Message.intent_copy_ack());
    return;
  case messages::Envelope::kIntentCopyQuery:
    handleCopyQuery(From, Message.intent_copy_query(), Out);
    return;
  case messages::Envelope::kIntentCopyReply:
    if (Message.intent_copy_reply().shard() < ShardCount)
      Shards_[Message.intent_copy_reply().shard()]->handleTakeoverReply(
          From, Message.intent_copy_reply());
    return;
  default:
    return;
  }
}

void BookingController::Impl::tick(Effects &Out) {
  for (const auto &Shard : Shards_)
    Shard->tick(Out);
  Forwarder_.tick(Out);
  std::erase_if(RefusedRequests_, [&](const auto &Refused) {
    return Context_.Time.Now() - Refused.second > RefusalRetention;
  });
  if (LeaveDone_ && allShardsReleased())
    Out.add([Done = std::exchange(LeaveDone_, nullptr)] { Done({}); });
}

bool BookingController::Impl::allShardsReleased() const {
  if (!Forwarder_.idle())
    return false;
  for (const auto &Shard : Shards_)
    if (!Shard->isReleased())
      return false;
  return true;
}

void BookingController::Impl::leave(Completion<void> Done, Effects &) {
  LeaveDone_ = std::move(Done);
  for (const auto &Shard : Shards_)
    Shard->release();
}

BookingController::BookingController(Blackboard &Board, Runtime R,
                                     StoreHooks Store, PeerHooks Peers,
                                     EndpointHooks Calls,
                                     RunnerPicker PickRunner)
    : Impl_(std::make_unique<Impl>(Board, std::move(R), std::move(Store),
                                   std::move(Peers), std::move(Calls),
                                   std::move(PickRunner))) {}
BookingController::~BookingController() = default;

void BookingController::book(BookingOrder Order,
                             Completion<BookingOutcome> Done) {
  Impl_->book(std::move(Order), std::move(Done));
}

void BookingController::query(const CustomerId &Customer, const Uuid7 &Key,
                              TimePoint Deadline,
                              Completion<BookingOutcome> Done) {
  Impl_->query(Customer, Key, Deadline, std::move(Done));
}

void BookingController::handle(const messages::Envelope &Message) {
  Impl_->runLocked([&](Effects &Out) { Impl_->handleMessage(Message, Out); });
}

void BookingController::tick() {
  Impl_->runLocked([&](Effects &Out) { Impl_->tick(Out); });
}

void BookingController::leave(Completion<void> Done) {
  Impl_->runLocked([&](Effects &Out) { Impl_->leave(std::move(Done), Out); });
}

} // namespace celerybeam
