#include "placement/placementcontroller.h"

#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "placement/internal/orderplan.h"

namespace celerybeam {

namespace {

constexpr Duration LeaseTime = std::chrono::seconds(10);
/// Subtracted from the time for which this host trusts its own lease, and
/// added to the time for which it takes a predecessor's lease to be valid.
constexpr Duration LeaseMargin = std::chrono::seconds(2);
constexpr Duration RenewInterval = LeaseTime / 3;
constexpr Duration AttemptInterval = std::chrono::seconds(3);

} // namespace

/// The controller's state, protected by a lock. Callbacks do not keep it alive.
class PlacementController::Impl {
public:
  Impl(Blackboard &Board, Runtime R, StoreHooks Store,
       SendEngineOrder SendOrder)
      : Board_(Board), Time_(std::move(R)), Store_(std::move(Store)),
        Send_(std::move(SendOrder)),
        LeaseKey_("placement/" + Board.self().Region.str() + "/lease"),
        OrdersKey_("placement/" + Board.self().Region.str() + "/orders") {
    Target_->Controller = this;
  }
  ~Impl() {
    std::lock_guard Lock(Target_->Mutex);
    Target_->Controller = nullptr;
  }

  void tick();
  bool holdsLease() const {
    std::lock_guard Lock(Target_->Mutex);
    return leaseIsValid();
  }

private:
  /// Completions hold it weakly. Controller is null once the controller is
  /// being destroyed; they then do nothing.
  struct CallbackTarget {
    std::mutex Mutex;
    Impl *Controller = nullptr;
  };
  /// Calls that the handler of a completion requests; they run after the
  /// lock is released.
  struct FollowUp {
    Task NextCall;
    std::vector<Task> Sends;
  };

  /// Returns a store completion that runs the handler under the lock, if the
  /// controller still exists, and the calls that it requests afterwards.
  template <typename T>
  Completion<T> completion(void (Impl::*Handler)(const Result<T> &,
                                                 FollowUp &));

  // The functions below run under the lock.
  bool leaseIsValid() const { return Lease_ && Time_.Now() < LeaseValidUntil_; }
  bool shouldHoldLease() const;
  Task nextCall();
  Task readLease();
  void onLeaseRead(const Result<StoreValue> &Lease, FollowUp &Out);
  void onLeaseGranted(const Result<StoreLease> &Granted, FollowUp &Out);
  void onLeaseWritten(const Result<StoreVersion> &Written, FollowUp &Out);
  void onLeaseRenewed(const Result<StoreLease> &Renewed, FollowUp &Out);
  void onOrdersRead(const Result<StoreValue> &Stored, FollowUp &Out);
  void onOrdersWritten(const Result<StoreVersion> &Written, FollowUp &Out);
  std::optional<Task> writeOrders();

  Blackboard &Board_;
  Runtime Time_;
  StoreHooks Store_;
  SendEngineOrder Send_;
  StoreKey LeaseKey_;
  StoreKey OrdersKey_;

  std::shared_ptr<CallbackTarget> Target_ = std::make_shared<CallbackTarget>();
  bool StoreCallPending_ = false;
  TimePoint LastAttemptAt_{};
  TimePoint LeaseRequestedAt_{};
  std::optional<LeaseId> UnconfirmedLease_;
  std::optional<LeaseId> Lease_;
  std::uint64_t Fencing_ = 0;
  TimePoint LeaseValidUntil_{};
  TimePoint LastRenewalAt_{};
  /// Until then a predecessor's lease may still be valid.
  TimePoint PredecessorLeaseUntil_{};
  bool OrdersKnown_ = false;
  StoreVersion OrdersVersion_ = 0;
  messages::PlacementRecord Orders_;
  messages::PlacementRecord NextOrders_;
  std::vector<detail::PlannedOrder> PlannedOrders_;
};

template <typename T>
Completion<T> PlacementController::Impl::completion(
    void (Impl::*Handler)(const Result<T> &, FollowUp &)) {
  return [Weak = std::weak_ptr<CallbackTarget>(Target_),
          Handler](const Result<T> &Reply) {
    std::shared_ptr<CallbackTarget> Target = Weak.lock();
    if (!Target)
      return;
    FollowUp Out;
    {
      std::lock_guard Lock(Target->Mutex);
      if (Target->Controller == nullptr)
        return;
      (Target->Controller->*Handler)(Reply, Out);
      Target->Controller->StoreCallPending_ = static_cast<bool>(Out.NextCall);
    }
    for (const Task &Send : Out.Sends)
      Send();
    if (Out.NextCall)
      Out.NextCall();
  };
}

void PlacementController::Impl::tick() {
  Task Call;
  {
    std::lock_guard Lock(Target_->Mutex);
    if (StoreCallPending_)
      return;
    Call = nextCall();
    StoreCallPending_ = static_cast<bool>(Call);
  }
  if (Call)
    Call();
}

bool PlacementController::Impl::shouldHoldLease() const {
  if (Board_.leaving())
    return false;
  bool HasLowestId = true;
  Board_.peers().forEach([&](const HostId &Id, const PeerRecord &R) {
    if (R.Region == Board_.self().Region && R.State == PeerState::Alive &&
        Id < Board_.self().Id)
      HasLowestId = false;
  });
  return HasLowestId;
}

Task PlacementController::Impl::nextCall() {
  TimePoint Now = Time_.Now();
  if (!leaseIsValid()) {
    Lease_.reset();
    OrdersKnown_ = false;
    if (Now - LastAttemptAt_ < AttemptInterval || !shouldHoldLease())
      return nullptr;
    LastAttemptAt_ = Now;
    return readLease();
  }
  if (Now - LastRenewalAt_ >= RenewInterval) {
    LastRenewalAt_ = LeaseRequestedAt_ = Now;
    return [Renew = Store_.RenewLease, Id = *Lease_,
            Done = completion(&Impl::onLeaseRenewed)] { Renew(Id, Done); };
  }
  if (!OrdersKnown_)
    return [Get = Store_.Get, Key = OrdersKey_,
            Done = completion(&Impl::onOrdersRead)] { Get(Key, Done); };
  return writeOrders().value_or(nullptr);
}

Task PlacementController::Impl::readLease() {
  return [Get = Store_.Get, Key = LeaseKey_,
          Done = completion(&Impl::onLeaseRead)] { Get(Key, Done); };
}

void PlacementController::Impl::onLeaseRead(const Result<StoreValue> &Lease,
                                            FollowUp &Out) {
  if (Lease || Lease.error().Kind != ErrorKind::NotFound)
    return;
  LeaseRequestedAt_ = Time_.Now();
  Out.NextCall = [Grant = Store_.GrantLease,
                  Done = completion(&Impl::onLeaseGranted)] {
    Grant(LeaseTime, Done);
  };
}

void PlacementController::Impl::onLeaseGranted(
    const Result<StoreLease> &Granted, FollowUp &Out) {
  if (!Granted)
    return;
  UnconfirmedLease_ = Granted->Id;
  StorePut Put{LeaseKey_, Board_.self().Id.str(), 0, UnconfirmedLease_};
  Out.NextCall = [PutHook = Store_.Put, Put,
                  Done = completion(&Impl::onLeaseWritten)] {
    PutHook(Put, Done);
  };
}

void PlacementController::Impl::onLeaseWritten(
    const Result<StoreVersion> &Written, FollowUp &) {
  // If only the reply was lost, the lease expires without being used.
  if (!Written)
    return;
  TimePoint Now = Time_.Now();
  Lease_ = UnconfirmedLease_;
  Fencing_ = *Written;
  LeaseValidUntil_ = LeaseRequestedAt_ + LeaseTime - LeaseMargin;
  LastRenewalAt_ = LeaseRequestedAt_;
  PredecessorLeaseUntil_ = Now + LeaseTime + LeaseMargin;
}

void PlacementController::Impl::onLeaseRenewed(
    const Result<StoreLease> &Renewed, FollowUp &) {
  if (Renewed)
    LeaseValidUntil_ = LeaseRequestedAt_ + LeaseTime - LeaseMargin;
  else if (Renewed.error().Kind == ErrorKind::LeaseLost)
    Lease_.reset();
}

void PlacementController::Impl::onOrdersRead(const Result<StoreValue> &Stored,
                                             FollowUp &) {
  bool Absent = !Stored && Stored.error().Kind == ErrorKind::NotFound;
  if (!Stored && !Absent)
    return;
  Orders_.Clear();
  OrdersKnown_ = Absent || Orders_.ParseFromString(Stored->Data);
  OrdersVersion_ = Absent ? 0 : Stored->Version;
}

std::optional<Task> PlacementController::Impl::writeOrders() {
  UnixMillis Now = Time_.WallNow();
  NextOrders_ = detail::openOrders(Board_, Orders_, Now);
  PlannedOrders_ = detail::planOrders(Board_, NextOrders_,
                                      Time_.Now() < PredecessorLeaseUntil_);
  if (PlannedOrders_.empty() &&
      NextOrders_.orders_size() == Orders_.orders_size())
    return std::nullopt;
  for (const detail::PlannedOrder &P : PlannedOrders_) {
    messages::PlacementOrder &Order = *NextOrders_.add_orders();
    Order.set_endpoint(P.Endpoint.str());
    Order.set_model(P.Model.str());
    Order.set_started_at_unix_ms(static_cast<std::uint64_t>(Now.count()));
  }
  StorePut Put{OrdersKey_, NextOrders_.SerializeAsString(), OrdersVersion_,
               std::nullopt};
  return [PutHook = Store_.Put, Put,
          Done = completion(&Impl::onOrdersWritten)] { PutHook(Put, Done); };
}

void PlacementController::Impl::onOrdersWritten(
    const Result<StoreVersion> &Written, FollowUp &Out) {
  if (!Written) {
    OrdersKnown_ = false;
    return;
  }
  Orders_ = NextOrders_;
  OrdersVersion_ = *Written;
  // The lease may have expired if the process was paused since the write.
  if (!leaseIsValid())
    return;
  for (const detail::PlannedOrder &P : PlannedOrders_) {
    EngineOrder Order{EngineOrder::Action::Load, P.Model, Fencing_};
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
