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

/// Ledger shards of a region; changing it needs an empty ledger.
constexpr std::uint32_t ShardCount = 8;
/// A key this far in the future is refused.
constexpr UnixMillis FutureLimit = std::chrono::minutes(5);
/// How long the answer to a probe of the store counts against an owner; longer
/// than the pause between two sendings of a copy.
constexpr Duration FreshContact = std::chrono::milliseconds(400);
/// A refused request stays refused when a copy of it arrives late.
constexpr Duration RefusalMemory = std::chrono::minutes(2);

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

/// The controller's state under its lock, kept alive by no callback.
class BookingController::Impl {
public:
  Impl(Blackboard &Board, Runtime R, StoreHooks Store, PeerHooks Peers,
       EndpointHooks Calls, RunnerPicker Pick);

  void enter(const std::function<void(Effects &)> &Step);
  void book(BookingOrder Order, Completion<BookingOutcome> Done);
  void query(const CustomerId &Customer, const Uuid7 &Key, TimePoint Deadline,
             Completion<BookingOutcome> Done);
  void take(const messages::Envelope &Message, Effects &Out);
  void tick(Effects &Out);
  void leave(Completion<void> Done, Effects &Out);

private:
  bool keyIsInTime(UnixMillis CreatedAt) const;
  void serve(const detail::BookingForwarder::Request &R, BookingWaiter Waiter,
             Effects &Out);
  void takeRequest(const HostId &From, const messages::BookingRequest &Wire,
                   Effects &Out);
  void takeQuery(const HostId &From, const messages::BookingQuery &Wire,
                 Effects &Out);
  void takeCopy(const HostId &From, const messages::IntentCopy &Copy,
                Effects &Out);
  void probeStore(std::uint32_t Shard, Effects &Out);
  void takeCopyQuery(const HostId &From, const messages::IntentCopyQuery &Query,
                     Effects &Out);
  BookingWaiter remoteWaiter(const HostId &To, const std::string &RequestName,
                             const std::string &Key, TimePoint Deadline);
  void reply(const HostId &To, const std::string &RequestName,
             const std::string &Key, const Result<BookingOutcome> &Answer,
             Effects &Out);
  bool releasedAll() const;
  void sendTo(const HostId &To, messages::Envelope Message, Effects &Out);

  /// Callbacks hold it weakly and so find out that the controller is gone.
  struct Gate {
    std::mutex Mutex;
    Impl *Owner = nullptr;
  };

  std::shared_ptr<Gate> Gate_ = std::make_shared<Gate>();
  detail::BookingContext Context_;
  std::vector<std::unique_ptr<ShardOwner>> Shards_;
  detail::BookingForwarder Forwarder_;
  std::map<std::string, TimePoint> RefusedRequests_;
  Completion<void> LeaveDone_;
  /// Whether a probe of the store is under way.
  bool Probing_ = false;
  /// When the latest probe that was answered began.
  TimePoint ProbeOkAt_{};

public:
  ~Impl() {
    std::lock_guard Lock(Gate_->Mutex);
    Gate_->Owner = nullptr;
  }
};

BookingController::Impl::Impl(Blackboard &Board, Runtime R, StoreHooks Store,
                              PeerHooks Peers, EndpointHooks Calls,
                              RunnerPicker Pick)
    : Context_{Board,
               std::move(R),
               std::move(Store),
               std::move(Peers),
               std::move(Calls),
               std::move(Pick),
               nullptr,
               Board.self().Id.str() + "#" +
                   std::to_string(Board.self().Number),
               {},
               detail::CopyHolder(TimePoint())},
      Forwarder_(Context_, [this](const detail::BookingForwarder::Request &Q,
                                  BookingWaiter Waiter, Effects &Out) {
        serve(Q, std::move(Waiter), Out);
      }) {
  Context_.Copies = detail::CopyHolder(Context_.Time.Now());
  Gate_->Owner = this;
  Context_.Enter = [Weak = std::weak_ptr<Gate>(Gate_)](
                       const std::function<void(Effects &)> &Step) {
    std::shared_ptr<Gate> G = Weak.lock();
    if (!G)
      return;
    Effects Out;
    {
      std::lock_guard Lock(G->Mutex);
      if (G->Owner == nullptr)
        return;
      Step(Out);
    }
    Out.run();
  };
  for (std::uint32_t Shard = 0; Shard < ShardCount; ++Shard)
    Shards_.push_back(std::make_unique<ShardOwner>(Context_, Shard));
}

void BookingController::Impl::enter(
    const std::function<void(Effects &)> &Step) {
  Context_.Enter(Step);
}

bool BookingController::Impl::keyIsInTime(UnixMillis CreatedAt) const {
  UnixMillis Now = Context_.Time.WallNow();
  auto Kept = std::chrono::duration_cast<UnixMillis>(Retention);
  return CreatedAt > Now - Kept && CreatedAt < Now + FutureLimit;
}

void BookingController::Impl::book(BookingOrder Order,
                                   Completion<BookingOutcome> Done) {
  if (!keyIsInTime(Order.Key.createdAt())) {
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
  enter([&](Effects &Out) { Forwarder_.start(std::move(Request), Out); });
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
  enter([&](Effects &Out) { Forwarder_.start(std::move(Request), Out); });
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

void BookingController::Impl::reply(const HostId &To,
                                    const std::string &RequestName,
                                    const std::string &Key,
                                    const Result<BookingOutcome> &Answer,
                                    Effects &Out) {
  messages::Envelope Message;
  messages::BookingReply &Reply = *Message.mutable_booking_reply();
  Reply = detail::toWire(Answer);
  Reply.set_request_id(RequestName);
  Reply.set_key(Key);
  if (!Answer) {
    ErrorKind Kind = Answer.error().Kind;
    if (Kind == ErrorKind::NotReady || Kind == ErrorKind::NoEndpoint ||
        Kind == ErrorKind::Overloaded)
      RefusedRequests_[RequestName] = Context_.Time.Now();
    HostId Owner = Shards_[shardOf(Key)]->recordOwner();
    if (Kind == ErrorKind::NotReady && Owner != Context_.Board.self().Id)
      Reply.set_owner(Owner.str());
  }
  sendTo(To, std::move(Message), Out);
}

BookingWaiter BookingController::Impl::remoteWaiter(
    const HostId &To, const std::string &RequestName, const std::string &Key,
    TimePoint Deadline) {
  BookingWaiter Waiter;
  Waiter.Name = RequestName;
  Waiter.Deadline = Deadline;
  Waiter.Reply = [=, this](const Result<BookingOutcome> &Answer, Effects &Out) {
    reply(To, RequestName, Key, Answer, Out);
  };
  return Waiter;
}

void BookingController::Impl::takeRequest(const HostId &From,
                                          const messages::BookingRequest &Wire,
                                          Effects &Out) {
  Result<Uuid7> Key = Uuid7::parse(Wire.key());
  if (!Key || !keyIsInTime(Key->createdAt())) {
    reply(From, Wire.request_id(), Wire.key(), expiredKey(Wire.key()), Out);
    return;
  }
  TablesSnapshot Tables = Context_.Board.tables();
  const RouteRow *Route = Tables->findRoute(RouteName(Wire.route()));
  if (Route == nullptr || RefusedRequests_.count(Wire.request_id()) > 0) {
    reply(From, Wire.request_id(), Wire.key(),
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
  Order.Waiter = remoteWaiter(
      From, Wire.request_id(), Order.Key,
      Context_.Time.Now() + std::chrono::milliseconds(Wire.remaining_ms()));
  ShardOwner &Shard = *Shards_[shardOf(Order.Key)];
  Shard.book(std::move(Order), Out);
}

void BookingController::Impl::takeQuery(const HostId &From,
                                        const messages::BookingQuery &Wire,
                                        Effects &Out) {
  Result<Uuid7> Key = Uuid7::parse(Wire.key());
  if (!Key)
    return;
  Shards_[shardOf(Key->str())]->query(
      CustomerId(Wire.customer()), Key->str(),
      remoteWaiter(From, Wire.request_id(), Key->str(), TimePoint::max()), Out);
}

void BookingController::Impl::takeCopy(const HostId &From,
                                       const messages::IntentCopy &Copy,
                                       Effects &Out) {
  if (Copy.shard() >= ShardCount)
    return;
  TimePoint Now = Context_.Time.Now();
  ShardOwner &Shard = *Shards_[Copy.shard()];
  Shard.outcomesTold(Copy);
  // At the start of an outage this host may not have noticed it yet; its word
  // would stop an owner who has. The owner sends the copy again.
  bool Believed = Context_.Contact.reached(Now);
  if (Believed && !Shard.owned() && Now - ProbeOkAt_ > FreshContact) {
    probeStore(Copy.shard(), Out);
    return;
  }
  bool StoreReached = Believed || Shard.owned();
  std::optional<messages::IntentCopyAck> Ack =
      Context_.Copies.keep(From, Copy, StoreReached, Now);
  if (!Ack)
    return;
  messages::Envelope Message;
  *Message.mutable_intent_copy_ack() = *Ack;
  sendTo(From, std::move(Message), Out);
}

void BookingController::Impl::probeStore(std::uint32_t Shard, Effects &Out) {
  if (std::exchange(Probing_, true))
    return;
  StoreKey Key(detail::ledgerKey(Context_.Board, Shard));
  TimePoint Began = Context_.Time.Now();
  auto Take = [this, Began](const Result<StoreValue> &Value) {
    Probing_ = false;
    bool Answered = Value || Value.error().Kind == ErrorKind::NotFound;
    if (Answered) {
      ProbeOkAt_ = Began;
      Context_.Contact.succeeded(Context_.Time.Now());
    } else {
      Context_.Contact.failed(Context_.Time.Now());
    }
  };
  Out.add([Get = Context_.Store.Get, Enter = Context_.Enter, Key, Take] {
    Get(Key, [Enter, Take](const Result<StoreValue> &Value) {
      Enter([&](Effects &) { Take(Value); });
    });
  });
}

void BookingController::Impl::takeCopyQuery(
    const HostId &From, const messages::IntentCopyQuery &Query, Effects &Out) {
  if (Query.shard() >= ShardCount)
    return;
  messages::Envelope Message;
  messages::IntentCopyReply &Reply = *Message.mutable_intent_copy_reply();
  if (Shards_[Query.shard()]->mayYield()) {
    Reply = Context_.Copies.agree(From, Query, Context_.Time.Now());
  } else {
    Reply.set_shard(Query.shard());
    Reply.set_query(Query.query());
    Reply.set_refused(true);
  }
  sendTo(From, std::move(Message), Out);
}

void BookingController::Impl::take(const messages::Envelope &Message,
                                   Effects &Out) {
  HostId From(Message.from());
  switch (Message.body_case()) {
  case messages::Envelope::kBookingRequest:
    takeRequest(From, Message.booking_request(), Out);
    return;
  case messages::Envelope::kBookingReply:
    Forwarder_.answered(From, Message.booking_reply(), Out);
    return;
  case messages::Envelope::kBookingQuery:
    takeQuery(From, Message.booking_query(), Out);
    return;
  case messages::Envelope::kIntentCopy:
    takeCopy(From, Message.intent_copy(), Out);
    return;
  case messages::Envelope::kIntentCopyAck:
    if (Message.intent_copy_ack().shard() < ShardCount)
      Shards_[Message.intent_copy_ack().shard()]->copyAcknowledged(
          From, Message.intent_copy_ack());
    return;
  case messages::Envelope::kIntentCopyQuery:
    takeCopyQuery(From, Message.intent_copy_query(), Out);
    return;
  case messages::Envelope::kIntentCopyReply:
    if (Message.intent_copy_reply().shard() < ShardCount)
      Shards_[Message.intent_copy_reply().shard()]->agreed(
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
    return Context_.Time.Now() - Refused.second > RefusalMemory;
  });
  if (LeaveDone_ && releasedAll())
    Out.add([Done = std::exchange(LeaveDone_, nullptr)] { Done({}); });
}

bool BookingController::Impl::releasedAll() const {
  if (!Forwarder_.idle())
    return false;
  for (const auto &Shard : Shards_)
    if (!Shard->released())
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
                                     EndpointHooks Calls, RunnerPicker Pick)
    : Impl_(std::make_unique<Impl>(Board, std::move(R), std::move(Store),
                                   std::move(Peers), std::move(Calls),
                                   std::move(Pick))) {}
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
  Impl_->enter([&](Effects &Out) { Impl_->take(Message, Out); });
}

void BookingController::tick() {
  Impl_->enter([&](Effects &Out) { Impl_->tick(Out); });
}

void BookingController::leave(Completion<void> Done) {
  Impl_->enter([&](Effects &Out) { Impl_->leave(std::move(Done), Out); });
}

} // namespace celerybeam
