#include "admission/admissioncontroller.h"

#include <algorithm>
#include <atomic>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/internal/limitshares.h"
#include "admission/internal/poolqueue.h"
#include "framework/shardedmap.h"

namespace celerybeam {

namespace {

using detail::LimitAnswer;
using detail::LimitKey;
using detail::LimitUse;
using detail::LimitVerdict;
using detail::PoolQueue;
using detail::PoolWindow;
using detail::QueueVerdicts;

/// How often the windows of pools are worked out anew.
constexpr Duration WindowInterval = std::chrono::milliseconds(100);
/// Slots must stand free for this long before a host that is full borrows
/// some. A few endpoints are polled within a second and a half, and what they
/// say is half a second old: before that, at the start of a flood, every host
/// sees slots free that the others have just filled.
constexpr Duration BorrowAfter = std::chrono::seconds(2);
/// How often shares are renewed and questions repeated.
constexpr Duration LimitsInterval = std::chrono::milliseconds(100);
/// Longest wait for the keeper of a limit: a new one answers only when the
/// shares of the one before have expired.
constexpr Duration MaxShareWait =
    detail::ShareLifetime + std::chrono::milliseconds(300);
constexpr std::chrono::milliseconds MinRetryAfter{50};
constexpr std::chrono::milliseconds KeeperRetryAfter{1000};
/// Window of a pool without an endpoint in this region: the router answers
/// for those at once.
constexpr std::uint32_t WindowWithoutEndpoints = 256;

/// A request between submit and its end.
struct Entry {
  AdmissionRequest Ask;
  Completion<void> Done;
  TimePoint SubmittedAt{};
  /// Limits taken so far, the customer's first.
  std::vector<LimitUse> Taken;
};

/// What the endpoints of a pool in this region take.
struct RegionSlots {
  std::uint32_t Slots = 0;
  std::uint32_t Busy = 0;
  /// Requests there, running or waiting; may be more than the slots.
  std::uint32_t Requests = 0;
};

std::uint32_t dividedUp(std::uint32_t Value, std::uint32_t Parts) {
  return (Value + Parts - 1) / Parts;
}

Error rateLimited(const LimitKey &Key, Duration RetryAfter) {
  std::string Whose =
      Key.Customer.empty() ? "all customers" : "customer " + Key.Customer.str();
  return {ErrorKind::RateLimited,
          "The limit of " + Whose + " on route " + Key.Route.str() +
              " is reached; try again after the stated time, or ask the "
              "operators to raise it in routes.toml.",
          std::max(MinRetryAfter,
                   std::chrono::ceil<std::chrono::milliseconds>(RetryAfter))};
}

Error keeperSilent(const LimitKey &Key) {
  return {ErrorKind::RateLimited,
          "No entry host could grant a share of the limits of route " +
              Key.Route.str() + "; try again after the stated time.",
          KeeperRetryAfter};
}

} // namespace

class AdmissionController::Impl {
public:
  Impl(Blackboard &Board, Runtime R, PeerHooks Peers)
      : Board_(Board), Runtime_(R),
        Limits_(Board, std::move(R), std::move(Peers)) {}

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
    giveBack(*E, TokensUsed);
    if (QueuePtr Queue = findQueue(E->Ask.Pool))
      apply(Queue->finished(Id, Runtime_.Now()), *Queue);
  }

  void cancel(const RequestId &Id) {
    std::optional<Entry> E = Entries_.take(Id);
    if (!E)
      return;
    giveBack(*E, 0);
    if (QueuePtr Queue = findQueue(E->Ask.Pool))
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
        Limits_.handle(HostId(Message.from()), Message.share_transfer());
    if (Changed)
      retryWaitersOf(*Changed, false);
  }

  PoolView view(const PoolName &Pool) const {
    QueuePtr Queue = findQueue(Pool);
    return Queue ? Queue->view(Runtime_.Now()) : PoolView();
  }

  Duration predictedWait(const PoolName &Pool, RequestClass Class,
                         const CustomerId &Customer) const {
    QueuePtr Queue = findQueue(Pool);
    return Queue ? Queue->waitOf(Class, Customer) : Duration(0);
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

  std::vector<LimitUse> limitsOf(const AdmissionRequest &Ask) const {
    std::vector<LimitUse> Uses;
    TablesSnapshot T = Board_.tables();
    for (const LimitKey &Key : {LimitKey{Ask.Route, Ask.Customer},
                                LimitKey{Ask.Route, CustomerId()}}) {
      detail::LimitValues Values = detail::limitValues(*T, Key);
      if (Values.any())
        Uses.push_back({Key, Values, Ask.Tokens});
    }
    return Uses;
  }

  /// Takes the limits that the request has not taken yet, then queues it.
  void passLimits(const RequestId &Id, bool MayAsk) {
    std::optional<Entry> E = Entries_.find(Id);
    if (!E)
      return;
    Duration MeanService = meanService(E->Ask);
    std::vector<LimitUse> Uses = limitsOf(E->Ask);
    for (std::size_t I = E->Taken.size(); I < Uses.size(); ++I) {
      LimitAnswer Answer = Limits_.take(Uses[I], MayAsk, MeanService);
      if (Answer.Verdict == LimitVerdict::Wait) {
        waitForShare(Uses[I].Key.str(), Id);
        return;
      }
      if (Answer.Verdict == LimitVerdict::Refused) {
        refuse(Id, rateLimited(Uses[I].Key, Answer.RetryAfter));
        return;
      }
      bool Known = Entries_.update(
          Id, [&](Entry &Kept) { Kept.Taken.push_back(Uses[I]); });
      if (!Known) {
        Limits_.giveBack(Uses[I], 0);
        return;
      }
    }
    enqueue(Id, E->Ask);
  }

  void waitForShare(const std::string &Limit, const RequestId &Id) {
    ShareWaiters_.upsert(
        Limit, [&](std::vector<RequestId> &Waiting) { Waiting.push_back(Id); });
  }

  void retryWaitersOf(const std::string &Limit, bool MayAsk) {
    std::optional<std::vector<RequestId>> Waiting = ShareWaiters_.take(Limit);
    if (!Waiting)
      return;
    for (const RequestId &Id : *Waiting)
      passLimits(Id, MayAsk);
  }

  /// Refuses those that waited too long, and retries those whose question was
  /// answered before they began to wait for it.
  void retryShareWaiters() {
    TimePoint Now = Runtime_.Now();
    std::vector<std::string> Limits;
    ShareWaiters_.forEach([&](const std::string &Limit, const auto &) {
      Limits.push_back(Limit);
    });
    for (const std::string &Limit : Limits) {
      refuseOverdueWaiters(Limit, Now);
      std::optional<LimitKey> Key = LimitKey::parse(Limit);
      if (Key && !Limits_.asking(*Key))
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
      refuse(Id, keeperSilent(*Key));
  }

  bool isOverdue(const RequestId &Id, TimePoint Now) const {
    std::optional<Entry> E = Entries_.find(Id);
    return !E || E->Ask.Deadline <= Now || Now - E->SubmittedAt > MaxShareWait;
  }

  void giveBack(const Entry &E, std::uint32_t TokensUsed) {
    for (const LimitUse &Use : E.Taken)
      Limits_.giveBack(Use, TokensUsed);
  }

  Duration meanService(const AdmissionRequest &Ask) {
    return queueOf(Ask.Pool)->meanService(Ask.Class);
  }

  // --- Queues.

  void enqueue(const RequestId &Id, const AdmissionRequest &Ask) {
    if (Ask.GoesAway) {
      complete(Id);
      return;
    }
    QueuePtr Queue = queueOf(Ask.Pool);
    QueueVerdicts Verdicts = Queue->submit(Ask, Runtime_.Now());
    // The request may have been cancelled while it was taken in.
    bool Known = Entries_.update(Id, [](const Entry &) {});
    if (!Known)
      apply(Queue->cancel(Id, Runtime_.Now()), *Queue);
    apply(Verdicts, *Queue);
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

  void apply(const QueueVerdicts &Verdicts, PoolQueue &Queue) {
    for (const auto &[Id, Why] : Verdicts.Refused)
      refuse(Id, Why);
    for (const RequestId &Id : Verdicts.Admitted)
      if (!complete(Id))
        apply(Queue.cancel(Id, Runtime_.Now()), Queue);
  }

  /// Tells the caller that the request may go on; false if it is gone.
  bool complete(const RequestId &Id) {
    Completion<void> Done;
    bool Known = Entries_.update(
        Id, [&](Entry &E) { Done = std::exchange(E.Done, nullptr); });
    if (Done)
      Done({});
    return Known;
  }

  void refuse(const RequestId &Id, const Error &Why) {
    std::optional<Entry> E = Entries_.take(Id);
    if (!E)
      return;
    giveBack(*E, 0);
    if (E->Done)
      E->Done(tl::unexpected(Why));
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
        std::uint32_t At = std::max(
            E.Report.Running + E.Report.Waiting + E.Observed.SentSinceReport,
            E.Observed.ShortInFlight + E.Observed.LongInFlight);
        Region.Slots += E.Descriptor.Slots;
        Region.Busy += std::min(At, E.Descriptor.Slots);
        Region.Requests += At;
      });
    return Region;
  }

  std::uint32_t regionHosts() const {
    std::uint32_t Hosts = 1;
    const HostIdentity &Self = Board_.self();
    Board_.peers().forEach([&](const HostId &Id, const PeerRecord &Peer) {
      bool Shares = Id != Self.Id && Peer.Region == Self.Region &&
                    Peer.State != PeerState::Dead;
      Hosts += Shares ? 1 : 0;
    });
    return Hosts;
  }

  struct CachedWindow {
    TimePoint MadeAt{};
    /// Since when this host has been full while slots stood free, and how many
    /// at least.
    std::optional<TimePoint> FreeSince;
    std::uint32_t LeastFree = 0;
    PoolWindow Window;
  };

  /// A number divided by all hosts, rounded at random, so that their parts add
  /// up to it on average: rounding up would hand out a free slot to each.
  std::uint32_t partOf(std::uint32_t Value, std::uint32_t Hosts) const {
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

  /// How many slots to borrow now.
  std::uint32_t borrowed(CachedWindow &W, std::uint32_t Free, bool Full,
                         std::uint32_t Hosts) const {
    if (!Full || Free == 0) {
      W.FreeSince.reset();
      return 0;
    }
    W.LeastFree = W.FreeSince ? std::min(W.LeastFree, Free) : Free;
    if (!W.FreeSince)
      W.FreeSince = W.MadeAt;
    if (W.MadeAt - *W.FreeSince < BorrowAfter)
      return 0;
    W.FreeSince.reset();
    return partOf(W.LeastFree, Hosts);
  }

  /// The part of the region's slots that is this host's, and what it may
  /// borrow of those that stand free. What it has borrowed goes back while
  /// more requests are at the endpoints than these have slots.
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
    Fresh.Window.Base = dividedUp(Region.Slots, Hosts);
    Fresh.Window.LongShare = Pool->LongShare;
    std::uint32_t Taken = std::min(Region.Slots, Region.Requests);
    std::uint32_t Reach = std::min(
        Region.Slots, Queue.admitted() + borrowed(Fresh, Region.Slots - Taken,
                                                  Queue.isFull(), Hosts));
    Reach -= std::min(Reach, partOf(Region.Requests - Taken, Hosts));
    Fresh.Window.Extra = Reach - std::min(Reach, Fresh.Window.Base);
    return Fresh;
  }

  Blackboard &Board_;
  Runtime Runtime_;
  detail::LimitShares Limits_;
  std::atomic<Duration> LimitsTickedAt_{Duration(0)};
  ShardedMap<RequestId, Entry> Entries_;
  /// Requests that wait for a share, by limit.
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
AdmissionController::PoolView
AdmissionController::view(const PoolName &Pool) const {
  return Impl_->view(Pool);
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
