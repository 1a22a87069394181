#include "core/entryhost.h"

#include <atomic>
#include <functional>
#include <memory>
#include <utility>

#include "configuration/configurationcontroller.h"
#include "core/internal/ordersender.h"
#include "core/internal/readiness.h"
#include "core/internal/runnerpicker.h"
#include "placement/placementcontroller.h"

namespace celerybeam {

namespace {

constexpr Duration LeavePollInterval = std::chrono::milliseconds(50);
/// After this time a host becomes ready even if its endpoints do not respond.
constexpr Duration MaxWarmUp = std::chrono::seconds(5);
constexpr Duration PoisonTickInterval = std::chrono::seconds(10);

} // namespace

class EntryHost::Impl {
public:
  Impl(HostIdentity Self, EntryHostHooks Hooks)
      : Hooks_(std::move(Hooks)), Board_(std::move(Self)),
        Router_(Board_, Hooks_.Time),
        Admission_(Board_, Hooks_.Time, Hooks_.Peers),
        Poison_(Board_, Hooks_.Time, Hooks_.Peers),
        Monitor_(Board_, Hooks_.Time, Hooks_.Endpoints),
        Membership_(Board_, Hooks_.Time, Hooks_.Peers, {}),
        Configuration_(Board_, Hooks_.Time, Hooks_.Store, Hooks_.Peers,
                       Hooks_.Tables),
        Bookings_(Board_, Hooks_.Time, Hooks_.Store, Hooks_.Peers,
                  Hooks_.Endpoints,
                  detail::makeRunnerPicker(Board_, Hooks_.Time)),
        Placement_(Board_, Hooks_.Time, Hooks_.Store,
                   detail::makeOrderSender(Hooks_.Endpoints, Hooks_.Time)),
        Requests_(makeServices()) {}

  ~Impl() { *Alive_ = false; }

  void start() {
    runEvery(RequestController::TickInterval, [this] { Requests_.tick(); });
    runEvery(AdmissionController::TickInterval, [this] { Admission_.tick(); });
    runEvery(EndpointMonitor::TickInterval, [this] { Monitor_.tick(); });
    runEvery(MembershipController::TickInterval,
             [this] { Membership_.tick(); });
    runEvery(ConfigurationController::TickInterval,
             [this] { Configuration_.tick(); });
    runEvery(BookingController::TickInterval, [this] { Bookings_.tick(); });
    runEvery(Router::TickInterval, [this] { Router_.tick(); });
    runEvery(PlacementController::TickInterval, [this] { Placement_.tick(); });
    runEvery(PoisonTickInterval, [this] { Poison_.tick(); });
  }

  void handle(const messages::Envelope &Message) {
    Membership_.handle(Message);
    Configuration_.handle(Message);
    Admission_.handle(Message);
    Poison_.handle(Message);
    Bookings_.handle(Message);
    Requests_.handle(Message);
  }

  // Waits for the requests first, since bookings among them still need this
  // host's part of the ledger.
  void leave(const Task &Done) {
    if (!Board_.leaving()) {
      Board_.setLeaving();
      Membership_.announceLeaving();
    }
    waitForRequests(Done);
  }

  void waitForRequests(const Task &Done) {
    if (Requests_.inFlight() > 0) {
      runAfter(LeavePollInterval, [this, Done] { waitForRequests(Done); });
      return;
    }
    Bookings_.leave([Done](const Result<void> &) { Done(); });
  }

  bool ready() const {
    if (!Configuration_.ready() || Board_.tables()->Number == 0 ||
        Board_.leaving())
      return false;
    bool WarmUpExpired = Hooks_.Time.Now() - CreatedAt_ >= MaxWarmUp;
    return WarmUpExpired || detail::loadedModelsAreKnown(Board_);
  }

  EntryHostHooks Hooks_;
  const TimePoint CreatedAt_ = Hooks_.Time.Now();
  Blackboard Board_;
  Router Router_;
  AdmissionController Admission_;
  RetryBudget Retries_;
  PoisonRegistry Poison_;
  ProgressMonitor Progress_;
  HedgePolicy Hedges_;
  EndpointMonitor Monitor_;
  MembershipController Membership_;
  ConfigurationController Configuration_;
  BookingController Bookings_;
  PlacementController Placement_;
  RequestController Requests_;

private:
  RequestServices makeServices() {
    RequestServices S;
    S.Board = &Board_;
    S.Time = Hooks_.Time;
    S.Routes = &Router_;
    S.Admission = &Admission_;
    S.Retries = &Retries_;
    S.Poison = &Poison_;
    S.Progress = &Progress_;
    S.Hedges = &Hedges_;
    S.Monitor = &Monitor_;
    S.Bookings = &Bookings_;
    S.Calls = Hooks_.Endpoints;
    S.Peers = Hooks_.Peers;
    S.Authenticate = Hooks_.Authenticate;
    S.Events = Hooks_.Events;
    S.EntryAddressesOf = [this](const RegionId &Region) {
      std::vector<Address> Hosts;
      for (const EntryAdvice &Advice : Membership_.entries(Region))
        Hosts.push_back(Advice.Where);
      return Hosts;
    };
    return S;
  }

  void runAfter(Duration Delay, Task Work) {
    Hooks_.Time.After(Delay, [Alive = Alive_, Work = std::move(Work)] {
      if (*Alive)
        Work();
    });
  }

  void runEvery(Duration Interval, const Task &Work) {
    runAfter(Interval, [this, Interval, Work] {
      Work();
      runEvery(Interval, Work);
    });
  }

  std::shared_ptr<std::atomic<bool>> Alive_ =
      std::make_shared<std::atomic<bool>>(true);
};

EntryHost::EntryHost(HostIdentity Self, EntryHostHooks Hooks)
    : Impl_(std::make_unique<Impl>(std::move(Self), std::move(Hooks))) {}
EntryHost::~EntryHost() = default;

void EntryHost::start() { Impl_->start(); }
void EntryHost::handle(const messages::Envelope &Message) {
  Impl_->handle(Message);
}
void EntryHost::platformListed(const PlatformList &List) {
  Impl_->Membership_.platformListed(List);
}
void EntryHost::leave(const Task &Done) { Impl_->leave(Done); }
bool EntryHost::ready() const { return Impl_->ready(); }
Blackboard &EntryHost::board() { return Impl_->Board_; }
RequestController &EntryHost::requests() { return Impl_->Requests_; }
BookingController &EntryHost::bookings() { return Impl_->Bookings_; }
const MembershipController &EntryHost::membership() const {
  return Impl_->Membership_;
}
const Router &EntryHost::router() const { return Impl_->Router_; }
const AdmissionController &EntryHost::admission() const {
  return Impl_->Admission_;
}

} // namespace celerybeam
