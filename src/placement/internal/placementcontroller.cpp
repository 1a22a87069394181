#include "placement/placementcontroller.h"

#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "placement/internal/orderplan.h"

namespace celerybeam {

namespace {

constexpr Duration LeaseTime = std::chrono::seconds(10);
/// Taken off this host's count of its own lease, and added to its count of a
/// predecessor's.
constexpr Duration LeaseMargin = std::chrono::seconds(2);
constexpr Duration RenewEvery = LeaseTime / 3;
constexpr Duration TryEvery = std::chrono::seconds(3);

} // namespace

class PlacementController::Impl {
public:
  Impl(Blackboard &Board, Runtime R, StoreHooks Store,
       SendEngineOrder SendOrder)
      : Board_(Board), Time_(std::move(R)), Store_(std::move(Store)),
        Send_(std::move(SendOrder)),
        LeaseKey_("placement/" + Board.self().Region.str() + "/lease"),
        OrdersKey_("placement/" + Board.self().Region.str() + "/orders") {
    Gate_->Owner = this;
  }
  ~Impl() {
    std::lock_guard Lock(Gate_->Mutex);
    Gate_->Owner = nullptr;
  }

  void tick();
  bool holdsLease() const {
    std::lock_guard Lock(Gate_->Mutex);
    return held();
  }

private:
  struct Gate {
    std::mutex Mutex;
    Impl *Owner = nullptr;
  };
  /// What a completion leads to, run after the lock is released.
  struct Step {
    Task NextCall;
    std::vector<Task> Sends;
  };

  /// Wraps a store completion: runs under the lock while this lives, and what
  /// it decides runs after.
  template <typename T>
  Completion<T> then(void (Impl::*Take)(const Result<T> &, Step &));

  // What follows runs under the lock.
  bool held() const { return Lease_ && Time_.Now() < HeldUntil_; }
  bool shouldHold() const;
  Task next();
  Task seekLease();
  void leaseSeen(const Result<StoreValue> &Seen, Step &Out);
  void leaseGranted(const Result<StoreLease> &Granted, Step &Out);
  void leaseWritten(const Result<StoreVersion> &Written, Step &Out);
  void leaseRenewed(const Result<StoreLease> &Renewed, Step &Out);
  void ordersRead(const Result<StoreValue> &Read, Step &Out);
  void ordersWritten(const Result<StoreVersion> &Written, Step &Out);
  std::optional<Task> writeOrders();

  Blackboard &Board_;
  Runtime Time_;
  StoreHooks Store_;
  SendEngineOrder Send_;
  StoreKey LeaseKey_;
  StoreKey OrdersKey_;

  std::shared_ptr<Gate> Gate_ = std::make_shared<Gate>();
  bool Busy_ = false;
  TimePoint TriedAt_{};
  TimePoint AskedAt_{};
  std::optional<LeaseId> Candidate_;
  std::optional<LeaseId> Lease_;
  std::uint64_t Fencing_ = 0;
  TimePoint HeldUntil_{};
  TimePoint RenewedAt_{};
  /// A predecessor's lease may run until then.
  TimePoint PredecessorUntil_{};
  bool OrdersKnown_ = false;
  StoreVersion OrdersVersion_ = 0;
  messages::PlacementRecord Orders_;
  messages::PlacementRecord NextOrders_;
  std::vector<detail::PlannedOrder> Planned_;
};

template <typename T>
Completion<T>
PlacementController::Impl::then(void (Impl::*Take)(const Result<T> &, Step &)) {
  return [Weak = std::weak_ptr<Gate>(Gate_), Take](const Result<T> &Answer) {
    std::shared_ptr<Gate> G = Weak.lock();
    if (!G)
      return;
    Step Out;
    {
      std::lock_guard Lock(G->Mutex);
      if (G->Owner == nullptr)
        return;
      (G->Owner->*Take)(Answer, Out);
      G->Owner->Busy_ = static_cast<bool>(Out.NextCall);
    }
    for (const Task &Send : Out.Sends)
      Send();
    if (Out.NextCall)
      Out.NextCall();
  };
}

void PlacementController::Impl::tick() {
  Task Do;
  {
    std::lock_guard Lock(Gate_->Mutex);
    if (Busy_)
      return;
    Do = next();
    Busy_ = static_cast<bool>(Do);
  }
  if (Do)
    Do();
}

bool PlacementController::Impl::shouldHold() const {
  if (Board_.leaving())
    return false;
  bool First = true;
  Board_.peers().forEach([&](const HostId &Id, const PeerRecord &R) {
    if (R.Region == Board_.self().Region && R.State == PeerState::Alive &&
        Id < Board_.self().Id)
      First = false;
  });
  return First;
}

Task PlacementController::Impl::next() {
  TimePoint Now = Time_.Now();
  if (!held()) {
    Lease_.reset();
    OrdersKnown_ = false;
    if (Now - TriedAt_ < TryEvery || !shouldHold())
      return nullptr;
    TriedAt_ = Now;
    return seekLease();
  }
  if (Now - RenewedAt_ >= RenewEvery) {
    RenewedAt_ = AskedAt_ = Now;
    return [Renew = Store_.RenewLease, Id = *Lease_,
            Done = then(&Impl::leaseRenewed)] { Renew(Id, Done); };
  }
  if (!OrdersKnown_)
    return [Get = Store_.Get, Key = OrdersKey_,
            Done = then(&Impl::ordersRead)] { Get(Key, Done); };
  return writeOrders().value_or(nullptr);
}

Task PlacementController::Impl::seekLease() {
  return [Get = Store_.Get, Key = LeaseKey_, Done = then(&Impl::leaseSeen)] {
    Get(Key, Done);
  };
}

void PlacementController::Impl::leaseSeen(const Result<StoreValue> &Seen,
                                          Step &Out) {
  if (Seen || Seen.error().Kind != ErrorKind::NotFound)
    return;
  AskedAt_ = Time_.Now();
  Out.NextCall = [Grant = Store_.GrantLease, Done = then(&Impl::leaseGranted)] {
    Grant(LeaseTime, Done);
  };
}

void PlacementController::Impl::leaseGranted(const Result<StoreLease> &Granted,
                                             Step &Out) {
  if (!Granted)
    return;
  Candidate_ = Granted->Id;
  StorePut Put{LeaseKey_, Board_.self().Id.str(), 0, Candidate_};
  Out.NextCall = [PutHook = Store_.Put, Put, Done = then(&Impl::leaseWritten)] {
    PutHook(Put, Done);
  };
}

void PlacementController::Impl::leaseWritten(
    const Result<StoreVersion> &Written, Step &) {
  // After a lost reply the lease runs out by itself.
  if (!Written)
    return;
  TimePoint Now = Time_.Now();
  Lease_ = Candidate_;
  Fencing_ = *Written;
  HeldUntil_ = AskedAt_ + LeaseTime - LeaseMargin;
  RenewedAt_ = AskedAt_;
  PredecessorUntil_ = Now + LeaseTime + LeaseMargin;
}

void PlacementController::Impl::leaseRenewed(const Result<StoreLease> &Renewed,
                                             Step &) {
  if (Renewed)
    HeldUntil_ = AskedAt_ + LeaseTime - LeaseMargin;
  else if (Renewed.error().Kind == ErrorKind::LeaseLost)
    Lease_.reset();
}

void PlacementController::Impl::ordersRead(const Result<StoreValue> &Read,
                                           Step &) {
  bool Absent = !Read && Read.error().Kind == ErrorKind::NotFound;
  if (!Read && !Absent)
    return;
  Orders_.Clear();
  OrdersKnown_ = Absent || Orders_.ParseFromString(Read->Data);
  OrdersVersion_ = Absent ? 0 : Read->Version;
}

std::optional<Task> PlacementController::Impl::writeOrders() {
  UnixMillis Now = Time_.WallNow();
  NextOrders_ = detail::openOrders(Board_, Orders_, Now);
  Planned_ =
      detail::planOrders(Board_, NextOrders_, Time_.Now() < PredecessorUntil_);
  if (Planned_.empty() && NextOrders_.orders_size() == Orders_.orders_size())
    return std::nullopt;
  for (const detail::PlannedOrder &P : Planned_) {
    messages::PlacementOrder &Order = *NextOrders_.add_orders();
    Order.set_endpoint(P.Endpoint.str());
    Order.set_model(P.Model.str());
    Order.set_started_at_unix_ms(static_cast<std::uint64_t>(Now.count()));
  }
  StorePut Put{OrdersKey_, NextOrders_.SerializeAsString(), OrdersVersion_,
               std::nullopt};
  return [PutHook = Store_.Put, Put, Done = then(&Impl::ordersWritten)] {
    PutHook(Put, Done);
  };
}

void PlacementController::Impl::ordersWritten(
    const Result<StoreVersion> &Written, Step &Out) {
  if (!Written) {
    OrdersKnown_ = false;
    return;
  }
  Orders_ = NextOrders_;
  OrdersVersion_ = *Written;
  // A pause since the write may have outlasted the lease.
  if (!held())
    return;
  for (const detail::PlannedOrder &P : Planned_) {
    EngineOrder Order{EngineOrder::What::Load, P.Model, Fencing_};
    Out.Sends.emplace_back([Send = Send_, P, Order] {
      Send(P.Endpoint, P.Where, Order, [](const Result<void> &) {});
    });
  }
}

PlacementController::PlacementController(Blackboard &Board, Runtime R,
                                         StoreHooks Store,
                                         SendEngineOrder SendOrder)
    : Impl_(std::make_unique<Impl>(Board, std::move(R), std::move(Store),
                                   std::move(SendOrder))) {}
PlacementController::~PlacementController() = default;

void PlacementController::tick() { Impl_->tick(); }
bool PlacementController::holdsLease() const { return Impl_->holdsLease(); }

} // namespace celerybeam
