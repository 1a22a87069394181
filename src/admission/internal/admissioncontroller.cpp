#include "admission/admissioncontroller.h"

#include <algorithm>
#include <atomic>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/internal/limitkey.h"
#include "admission/internal/peerlimits.h"
#include "admission/internal/poolqueue.h"
#include "framework/shardedmap.h"

namespace celerybeam {

namespace {

using detail::LimitKey;
using detail::PoolQueue;
using detail::PoolWindow;
using detail::QueueDecisions;

/// How often the windows of pools are recomputed.
constexpr Duration WindowInterval = std::chrono::milliseconds(100);
/// How long slots must be free before a host whose window is used up borrows
/// some. Small numbers of endpoints are polled within 1.5 s, and their reports
/// are 0.5 s old. With a shorter delay, every host would at the start of a load
/// spike borrow slots that the others have just filled.
constexpr Duration BorrowAfter = std::chrono::seconds(2);
/// How often shares are renewed and lost share requests repeated.
constexpr Duration LimitsInterval = std::chrono::milliseconds(100);
/// Longest wait for the allocator of a limit. A new allocator replies only when
/// the shares of the previous one have expired.
constexpr Duration MaxShareWait =
    LimitSettings().ShareLifetime + std::chrono::milliseconds(300);
constexpr std::chrono::milliseconds MinRetryAfter{50};
constexpr std::chrono::milliseconds AllocatorRetryAfter{1000};
/// Window of a pool without an endpoint in this region. The router refuses or
/// forwards its requests at once.
constexpr std::uint32_t WindowWithoutEndpoints = 256;

/// A request between submit and its end, with the limits it has taken.
struct Entry {
  AdmissionRequest Request;
  Completion<void> Done;
  TimePoint SubmittedAt{};
  /// Limits taken so far, the customer's limit first.
  std::vector<LimitUse> Taken;
};

/// Capacity and load of a pool's endpoints in this region.
struct RegionSlots {
  std::uint32_t Slots = 0;
  std::uint32_t Busy = 0;
  /// Requests running or waiting at the endpoints; may exceed the slots.
  std::uint32_t Requests = 0;
};

std::uint32_t divideRoundingUp(std::uint32_t Value, std::uint32_t Parts) {
  return (Value + Parts - 1) / Parts;
}

Error rateLimited(const LimitKey &Key, Duration RetryAfter) {
  std::string Scope =
      Key.Customer.empty() ? "all customers" : "customer " + Key.Customer.str();
  return {ErrorKind::RateLimited,
          "The limit of " + Scope + " on route " + Key.Route.str() +
              " is reached; try again after the stated time, or ask the "
              "operators to raise it in routes.toml.",
          std::max(MinRetryAfter,
                   std::chrono::ceil<std::chrono::milliseconds>(RetryAfter))};
}

Error allocatorUnresponsive(const LimitKey &Key) {
  return {ErrorKind::RateLimited,
          "No entry host could grant a share of the limits of route " +
              Key.Route.str() + "; try again after the stated time.",
          AllocatorRetryAfter};
}

} // namespace

class AdmissionController::Impl {
public:
  Impl(Blackboard &Board, Runtime R, PeerHooks Peers)
      : Board_(Board), Runtime_(R),
        Limits_(std::move(R), detail::peerLimitHooks(Board, std::move(Peers))) {
  }

  void submit(AdmissionRequest Request, Completion<void> Done) {
    TimePoint Now = Runtime_.Now();
    if (Request.Deadline <= Now) {
      Done(makeError(ErrorKind::DeadlineExpired,
                     "The deadline has passed; allow more time."));
      return;
    }
    RequestId Id = Request.Request;
    Entries_.set(Id, Entry{std::move(Request), std::move(Done), Now, {}});
    passLimits(Id, true);
  }

  void finished(const RequestId &Id, std::uint32_t TokensUsed) {
    std::optional<Entry> E = Entries_.take(Id);
    if (!E)
      return;
    release(*E, TokensUsed);
    if (QueuePtr Queue = findQueue(E->Request.Pool))
      apply(Queue->finished(Id, Runtime_.Now()), *Queue);
  }

  void cancel(const RequestId &Id) {
    std::optional<Entry> E = Entries_.take(Id);
    if (!E)
      return;
    release(*E, 0);
    if (QueuePtr Queue = findQueue(E->Request.Pool))
      apply(Queue->cancel(Id, Runtime_.Now()), *Queue);
  }

  void tick() {
    TimePoint Now = Runtime_.Now();
    if (Now - TimePoint(LimitsTickedAt_.load()) >= LimitsInterval) {
      LimitsTickedAt_.store(Now.time_since_epoch());
      Limits_.tick();
    }
    retryShareWaiters();
    std::vector<std::pair<PoolName, QueuePtr>> Queues;
    Queues_.forEach([&](const PoolName &Name, const QueuePtr &Queue) {
      Queues.emplace_back(Name, Queue);
    });
    for (auto &[Name, Queue] : Queues)
      apply(Queue->tick(windowOf(Name, *Queue, Now), Now), *Queue);
  }

  void handle(const messages::Envelope &Message) {
    if (!Message.has_share_transfer())
      return;
    std::optional<std::string> Changed =
        Limits_.handle(HostId(Message.from()),
                       detail::readShareNote(Message.share_transfer()));
    if (Changed)
      retryWaitersOf(*Changed, false);
  }

  PoolStats poolStats(const PoolName &Pool) const {
    QueuePtr Queue = findQueue(Pool);
    return Queue ? Queue->poolStats(Runtime_.Now()) : PoolStats();
  }

  Duration predictedWait(const PoolName &Pool, RequestClass Class,
                         const CustomerId &Customer) const {
    QueuePtr Queue = findQueue(Pool);
    return Queue ? Queue->expectedWait(Class, Customer) : Duration(0);
  }

  std::map<PoolName, PoolLoad> poolLoads() const {
    std::map<PoolName, PoolLoad> Loads;
    TablesSnapshot T = Board_.tables();
    for (const PoolRow &Pool : T->Pools) {
      RegionSlots Region = regionSlots(Pool);
      if (Region.Slots == 0)
        continue;
      Loads[Pool.Name] = {
          Region.Slots, Region.Busy,
          predictedWait(Pool.Name, RequestClass::Short, CustomerId())};
    }
    return Loads;
  }

private:
  using QueuePtr = std::shared_ptr<PoolQueue>;

  // --- Limits.

  std::vector<LimitUse> limitsOf(const AdmissionRequest &Request) const {
    std::vector<LimitUse> Uses;
    TablesSnapshot T = Board_.tables();
    for (const LimitKey &Key : {LimitKey{Request.Route, Request.Customer},
                                LimitKey{Request.Route, CustomerId()}}) {
      LimitValues Values = detail::limitValues(*T, Key);
      if (Values.any())
        Uses.push_back({Key.str(), Values, Request.Tokens});
    }
    return Uses;
  }

  /// Takes the limits that the request has not yet taken, then queues it.
  void passLimits(const RequestId &Id, bool MayRequestShare) {
    std::optional<Entry> E = Entries_.find(Id);
    if (!E)
      return;
    Duration MeanServiceTime = meanServiceTime(E->Request);
    std::vector<LimitUse> Uses = limitsOf(E->Request);
    for (std::size_t I = E->Taken.size(); I < Uses.size(); ++I) {
      LimitResult Outcome =
          Limits_.take(Uses[I], MayRequestShare, MeanServiceTime);
      if (Outcome.Decision == LimitDecision::Wait) {
        waitForShare(Uses[I].Limit, Id);
        return;
      }
      if (Outcome.Decision == LimitDecision::Refused) {
        refuse(Id, rateLimited(*LimitKey::parse(Uses[I].Limit),
                               Outcome.RetryAfter));
        return;
      }
      bool Known = Entries_.update(
          Id, [&](Entry &Stored) { Stored.Taken.push_back(Uses[I]); });
      if (!Known) {
        Limits_.release(Uses[I], 0);
        return;
      }
    }
    enqueue(Id, E->Request);
  }

  void waitForShare(const std::string &Limit, const RequestId &Id) {
    ShareWaiters_.upsert(
        Limit, [&](std::vector<RequestId> &Waiting) { Waiting.push_back(Id); });
  }

  void retryWaitersOf(const std::string &Limit, bool MayRequestShare) {
    std::optional<std::vector<RequestId>> Waiting = ShareWaiters_.take(Limit);
    if (!Waiting)
      return;
    for (const RequestId &Id : *Waiting)
      passLimits(Id, MayRequestShare);
  }

  /// Refuses requests that waited too long for a share, and retries those whose
  /// share request got its reply before they began to wait.
  void retryShareWaiters() {
    TimePoint Now = Runtime_.Now();
    std::vector<std::string> Limits;
    ShareWaiters_.forEach([&](const std::string &Limit, const auto &) {
      Limits.push_back(Limit);
    });
    for (const std::string &Limit : Limits) {
      refuseOverdueWaiters(Limit, Now);
      std::optional<LimitKey> Key = LimitKey::parse(Limit);
      if (Key && !Limits_.hasOpenRequest(Limit))
        retryWaitersOf(Limit, false);
    }
  }

  void refuseOverdueWaiters(const std::string &Limit, TimePoint Now) {
    std::optional<LimitKey> Key = LimitKey::parse(Limit);
    std::vector<RequestId> Overdue;
    ShareWaiters_.update(Limit, [&](std::vector<RequestId> &Waiting) {
      auto First = std::partition(
          Waiting.begin(), Waiting.end(),
          [&](const RequestId &Id) { return !isOverdue(Id, Now); });
      Overdue.assign(First, Waiting.end());
      Waiting.erase(First, Waiting.end());
    });
    ShareWaiters_.eraseIfMatches(
        Limit, [](const auto &Waiting) { return Waiting.empty(); });
    for (const RequestId &Id : Overdue)
      refuse(Id, allocatorUnresponsive(*Key));
  }

  bool isOverdue(const RequestId &Id, TimePoint Now) const {
    std::optional<Entry> E = Entries_.find(Id);
    return !E || E->Request.Deadline <= Now ||
           Now - E->SubmittedAt > MaxShareWait;
  }

  void release(const Entry &E, std::uint32_t TokensUsed) {
    for (const LimitUse &Use : E.Taken)
      Limits_.release(Use, TokensUsed);
  }

  Duration meanServiceTime(const AdmissionRequest &Request) {
    return queueOf(Request.Pool)->meanServiceTime(Request.Class);
  }

  // --- Queues.

  void enqueue(const RequestId &Id, const AdmissionRequest &Request) {
    if (Request.LeavesRegion) {
      complete(Id);
      return;
    }
    QueuePtr Queue = queueOf(Request.Pool);
    QueueDecisions Decisions = Queue->submit(Request, Runtime_.Now());
    // The request may have been cancelled while it was being queued.
    bool Known = Entries_.update(Id, [](const Entry &) {});
    if (!Known)
      apply(Queue->cancel(Id, Runtime_.Now()), *Queue);
    apply(Decisions, *Queue);
  }

  QueuePtr findQueue(const PoolName &Pool) const {
    return Queues_.find(Pool).value_or(nullptr);
  }

  QueuePtr queueOf(const PoolName &Pool) {
    if (QueuePtr Known = findQueue(Pool))
      return Known;
    auto Fresh = std::make_shared<PoolQueue>(Pool);
    TimePoint Now = Runtime_.Now();
    Fresh->tick(windowOf(Pool, *Fresh, Now), Now);
    Queues_.insert(Pool, Fresh);
    return findQueue(Pool);
  }

  void apply(const QueueDecisions &Decisions, PoolQueue &Queue) {
    for (const auto &[Id, Reason] : Decisions.Refused)
      refuse(Id, Reason);
    for (const RequestId &Id : Decisions.Admitted)
      if (!complete(Id))
        apply(Queue.cancel(Id, Runtime_.Now()), Queue);
  }

  /// Runs the completion of an admitted request; false if the request has
  /// ended.
  bool complete(const RequestId &Id) {
    Completion<void> Done;
    bool Known = Entries_.update(
        Id, [&](Entry &E) { Done = std::exchange(E.Done, nullptr); });
    if (Done)
      Done({});
    return Known;
  }

  void refuse(const RequestId &Id, const Error &Reason) {
    std::optional<Entry> E = Entries_.take(Id);
    if (!E)
      return;
    release(*E, 0);
    if (E->Done)
      E->Done(tl::unexpected(Reason));
  }

  // --- Windows.

  RegionSlots regionSlots(const PoolRow &Pool) const {
    RegionSlots Region;
    auto Ids = Board_.endpointsWithLabel(Pool.Label);
    for (const EndpointId &Id : *Ids)
      Board_.endpoints().update(Id, [&](const EndpointRecord &E) {
        bool Serves = E.Descriptor.Region == Board_.self().Region &&
                      E.State == EndpointState::Live &&
                      E.Probation != ProbationState::Ejected;
        if (!Serves)
          return;
        std::uint32_t EndpointRequests = std::max(
            E.Report.Running + E.Report.Waiting + E.Observed.SentSinceReport,
            E.Observed.ShortInFlight + E.Observed.LongInFlight);
        Region.Slots += E.Descriptor.Slots;
        Region.Busy += std::min(EndpointRequests, E.Descriptor.Slots);
        Region.Requests += EndpointRequests;
      });
    return Region;
  }

  std::uint32_t regionHosts() const {
    std::uint32_t Hosts = 1;
    const HostIdentity &Self = Board_.self();
    Board_.peers().forEach([&](const HostId &Id, const PeerRecord &Peer) {
      bool SharesSlots = Id != Self.Id && Peer.Region == Self.Region &&
                         Peer.State != PeerState::Dead;
      Hosts += SharesSlots ? 1 : 0;
    });
    return Hosts;
  }

  struct CachedWindow {
    TimePoint MadeAt{};
    /// Since when this host's window has been used up while slots were free,
    /// and the least number of free slots since.
    std::optional<TimePoint> FreeSince;
    std::uint32_t MinFree = 0;
    PoolWindow Window;
  };

  /// Divides a number among all hosts, rounding at random so that the parts
  /// add up to it on average. Rounding up would give each host a free slot.
  std::uint32_t randomPartOf(std::uint32_t Value, std::uint32_t Hosts) const {
    auto Draw = static_cast<std::uint32_t>(Runtime_.Random() % Hosts);
    return (Value + Draw) / Hosts;
  }

  PoolWindow windowOf(const PoolName &Name, const PoolQueue &Queue,
                      TimePoint Now) {
    CachedWindow Known = Windows_.find(Name).value_or(CachedWindow());
    if (Known.MadeAt != TimePoint() && Now - Known.MadeAt < WindowInterval)
      return Known.Window;
    CachedWindow Fresh = makeWindow(Name, Queue, Known, Now);
    Windows_.set(Name, Fresh);
    return Fresh.Window;
  }

  /// How many slots to borrow now; updates the free-slot observation in W.
  std::uint32_t slotsToBorrow(CachedWindow &W, std::uint32_t Free, bool Full,
                              std::uint32_t Hosts) const {
    if (!Full || Free == 0) {
      W.FreeSince.reset();
      return 0;
    }
    W.MinFree = W.FreeSince ? std::min(W.MinFree, Free) : Free;
    if (!W.FreeSince)
      W.FreeSince = W.MadeAt;
    if (W.MadeAt - *W.FreeSince < BorrowAfter)
      return 0;
    W.FreeSince.reset();
    return randomPartOf(W.MinFree, Hosts);
  }

  /// Computes this host's part of the region's slots, and the free slots that
  /// it may borrow. Borrowed slots are returned while the endpoints have more
  /// requests than slots.
  CachedWindow makeWindow(const PoolName &Name, const PoolQueue &Queue,
                          const CachedWindow &Before, TimePoint Now) const {
    TablesSnapshot T = Board_.tables();
    const PoolRow *Pool = T->findPool(Name);
    if (!Pool)
      return {Now, {}, 0, {WindowWithoutEndpoints, 0, 1}};
    RegionSlots Region = regionSlots(*Pool);
    if (Region.Slots == 0)
      return {Now, {}, 0, {WindowWithoutEndpoints, 0, Pool->LongShare}};
    std::uint32_t Hosts = regionHosts();
    CachedWindow Fresh = Before;
    Fresh.MadeAt = Now;
    Fresh.Window.Base = divideRoundingUp(Region.Slots, Hosts);
    Fresh.Window.LongShare = Pool->LongShare;
    std::uint32_t Taken = std::min(Region.Slots, Region.Requests);
    std::uint32_t MaxUsed =
        std::min(Region.Slots,
                 Queue.admitted() + slotsToBorrow(Fresh, Region.Slots - Taken,
                                                  Queue.isFull(), Hosts));
    MaxUsed -= std::min(MaxUsed, randomPartOf(Region.Requests - Taken, Hosts));
    Fresh.Window.Extra = MaxUsed - std::min(MaxUsed, Fresh.Window.Base);
    return Fresh;
  }

  Blackboard &Board_;
  Runtime Runtime_;
  LimitShares Limits_;
  std::atomic<Duration> LimitsTickedAt_{Duration(0)};
  ShardedMap<RequestId, Entry> Entries_;
  /// Requests that wait for a larger share, by limit.
  ShardedMap<std::string, std::vector<RequestId>> ShareWaiters_;
  ShardedMap<PoolName, QueuePtr> Queues_;
  ShardedMap<PoolName, CachedWindow> Windows_;
};

AdmissionController::AdmissionController(Blackboard &Board, Runtime R,
                                         PeerHooks Peers)
    : Impl_(std::make_unique<Impl>(Board, std::move(R), std::move(Peers))) {}
AdmissionController::~AdmissionController() = default;

void AdmissionController::submit(AdmissionRequest Request,
                                 Completion<void> Done) {
  Impl_->submit(std::move(Request), std::move(Done));
}
void AdmissionController::finished(const RequestId &Request,
                                   std::uint32_t TokensUsed) {
  Impl_->finished(Request, TokensUsed);
}
void AdmissionController::cancel(const RequestId &Request) {
  Impl_->cancel(Request);
}
void AdmissionController::tick() { Impl_->tick(); }
void AdmissionController::handle(const messages::Envelope &Message) {
  Impl_->handle(Message);
}
AdmissionController::PoolStats
AdmissionController::poolStats(const PoolName &Pool) const {
  return Impl_->poolStats(Pool);
}
Duration AdmissionController::predictedWait(const PoolName &Pool,
                                            RequestClass Class,
                                            const CustomerId &Customer) const {
  return Impl_->predictedWait(Pool, Class, Customer);
}
std::map<PoolName, PoolLoad> AdmissionController::poolLoads() const {
  return Impl_->poolLoads();
}

} // namespace celerybeam
