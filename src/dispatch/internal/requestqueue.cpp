#include "dispatch/requestqueue.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dispatch/internal/serviceorder.h"

namespace celerybeam {

using detail::OrderedRequest;
using detail::ServiceOrder;

namespace {

/// The requests of one customer in one scope.
struct CustomerQueue {
  ServiceOrder OnTime;
  ServiceOrder Late;
  mutable FairShare::AccountCache Account;
};

using CustomerQueues = std::unordered_map<CustomerId, CustomerQueue>;

/// The requests of a pool. There are no empty queues.
struct PoolQueue {
  std::map<unsigned, CustomerQueues> Ranks;
  /// Number of requests without a reserved endpoint by rank; none is zero.
  std::map<unsigned, std::size_t> Unreserved;
};

struct Entry {
  QueuedRequest Request;
  CustomerQueue *Queue = nullptr;
  bool IsLate = false;
};

OrderedRequest orderedOf(std::uint64_t Serial, const QueuedRequest &Request) {
  return {Request.Arrived, Serial, Request.Occupancy, Request.ReevaluateAt,
          Request.HasReservedEndpoint};
}

/// Visits requests in the order of service that they had when the round began.
///
/// The requests of one customer in a scope are in order already, so that the
/// whole order is a merge of those. It is not computed further than offers go.
class OfferRound {
public:
  OfferRound(TimePoint Now, std::size_t MostRejected)
      : Now_(Now), MostRejected_(MostRejected) {}

  /// Begins the requests of another pool.
  void beginPool() { Rejected_.push_back({0, 0}); }

  /// Adds requests of the pool begun last. \param Position  position of the
  /// customer's first request; none where no customers share.
  void add(unsigned Rank, std::optional<Duration> Position,
           const CustomerQueue &Queue) {
    Lines_.push_back({Rank, Position, Queue.OnTime, Queue.Late,
                      Rejected_.size() - 1, Queue.OnTime.total()});
  }

  /// \param Find  the queued request with this serial number; null if it has
  /// left the queue.
  void run(const std::function<const QueuedRequest *(std::uint64_t)> &Find) {
    for (bool Late : {false, true}) {
      for (std::size_t I = 0; I < Lines_.size(); ++I)
        push(I, Late, orderOf(I, Late).first(wanted(I)));
      while (!Heads_.empty()) {
        Head First = Heads_.top();
        Heads_.pop();
        if (const QueuedRequest *Request = Find(First.Request.Serial))
          visit(First, *Request);
        push(First.Line, Late,
             orderOf(First.Line, Late).next(First.Request, wanted(First.Line)));
      }
    }
  }

private:
  struct Line {
    unsigned Rank;
    std::optional<Duration> Position;
    ServiceOrder OnTime;
    ServiceOrder Late;
    std::size_t Pool;
    Duration OnTimeTotal;
  };
  /// The next request of a line.
  struct Head {
    unsigned Rank;
    Duration Share;
    OrderedRequest Request;
    std::size_t Line;

    /// Reversed, as a priority queue has its largest element first.
    bool operator<(const Head &Other) const {
      return std::tie(Other.Rank, Other.Share, Other.Request.Arrived,
                      Other.Request.Serial) <
             std::tie(Rank, Share, Request.Arrived, Request.Serial);
    }
  };

  const ServiceOrder &orderOf(std::size_t Line, bool Late) const {
    return Late ? Lines_[Line].Late : Lines_[Line].OnTime;
  }

  /// The requests of a line that still get offers.
  ServiceOrder::Filter wanted(std::size_t Line) const {
    const auto &Rejected = Rejected_[Lines_[Line].Pool];
    return {Rejected[0] < MostRejected_, Rejected[1] < MostRejected_, Now_};
  }

  void push(std::size_t Line, bool Late,
            const std::optional<ServiceOrder::Match> &Next) {
    if (!Next)
      return;
    const auto &Of = Lines_[Line];
    // Of a customer's requests, those that are late take their shares last.
    Duration Share{};
    if (Of.Position)
      Share =
          *Of.Position + (Late ? Of.OnTimeTotal : Duration()) + Next->Preceding;
    Heads_.push({Of.Rank, Share, Next->Request, Line});
  }

  void visit(const Head &First, const QueuedRequest &Request) {
    std::size_t Kind = Request.HasReservedEndpoint ? 1 : 0;
    std::size_t &Rejected = Rejected_[Lines_[First.Line].Pool][Kind];
    if (Rejected >= MostRejected_ && Request.ReevaluateAt >= Now_)
      return;
    // The offer may remove the request.
    auto Offer = Request.Offer;
    if (!Offer())
      ++Rejected;
  }

  TimePoint Now_;
  std::size_t MostRejected_;
  std::vector<Line> Lines_;
  /// Rejected offers by pool, of requests without and with a reserved endpoint.
  std::vector<std::array<std::size_t, 2>> Rejected_;
  std::priority_queue<Head> Heads_;
};

} // namespace

class RequestQueue::Impl {
public:
  QueuedRequestId add(QueuedRequest Request) {
    QueuedRequestId Id{++LastSerial_};
    PoolQueue &Pool = Pools_[Request.Pool];
    if (!Request.HasReservedEndpoint) {
      ++Pool.Unreserved[Request.Rank];
      Shares_.beginWait({Request.Pool, Request.Rank}, Request.Customer,
                        Request.Arrived);
    }
    CustomerQueue *Queue = &Pool.Ranks[Request.Rank][Request.Customer];
    auto [It, New] =
        Requests_.try_emplace(Id.Value, Entry{std::move(Request), Queue});
    insert(Id.Value, It->second);
    return Id;
  }

  void remove(QueuedRequestId Id) {
    auto Found = Requests_.find(Id.Value);
    if (Found == Requests_.end())
      return;
    erase(Id.Value, Found->second);
    const QueuedRequest &Request = Found->second.Request;
    auto Pool = Pools_.find(Request.Pool);
    if (!Request.HasReservedEndpoint) {
      auto Count = Pool->second.Unreserved.find(Request.Rank);
      if (--Count->second == 0)
        Pool->second.Unreserved.erase(Count);
      Shares_.endWait({Request.Pool, Request.Rank}, Request.Customer);
    }
    const CustomerQueue &Queue = *Found->second.Queue;
    if (Queue.OnTime.empty() && Queue.Late.empty()) {
      auto Rank = Pool->second.Ranks.find(Request.Rank);
      Rank->second.erase(Request.Customer);
      if (Rank->second.empty())
        Pool->second.Ranks.erase(Rank);
      if (Pool->second.Ranks.empty())
        Pools_.erase(Pool);
    }
    Requests_.erase(Found);
  }

  void update(QueuedRequestId Id, TimePoint OnTimeUntil,
              TimePoint ReevaluateAt) {
    auto Found = Requests_.find(Id.Value);
    if (Found == Requests_.end())
      return;
    Entry &E = Found->second;
    if (E.Request.OnTimeUntil == OnTimeUntil &&
        E.Request.ReevaluateAt == ReevaluateAt)
      return;
    erase(Id.Value, E);
    E.Request.OnTimeUntil = OnTimeUntil;
    E.Request.ReevaluateAt = ReevaluateAt;
    insert(Id.Value, E);
  }

  void offer(TimePoint Now) {
    Shares_.expire(Now);
    bool IsLong = Now - LastLongRound_ >= LongRoundInterval;
    if (IsLong)
      LastLongRound_ = Now;
    advance(Now);
    OfferRound Round(Now, IsLong ? OffersPerLongRound : OffersPerPool);
    for (const auto &[Name, Pool] : Pools_) {
      Round.beginPool();
      for (const auto &[Rank, Customers] : Pool.Ranks) {
        ShareScope Scope{Name, Rank};
        bool IsShared = Shares_.isActive(Scope);
        for (const auto &[Customer, Queue] : Customers)
          Round.add(Rank,
                    IsShared ? std::optional(Shares_.position(Scope, Customer,
                                                              Queue.Account))
                             : std::nullopt,
                    Queue);
      }
    }
    Round.run([this](std::uint64_t Serial) {
      auto Found = Requests_.find(Serial);
      return Found == Requests_.end() ? nullptr : &Found->second.Request;
    });
  }

  QueuedServiceTime serviceTimeAhead(const PoolName &Pool, unsigned Rank,
                                     TimePoint Arrived, TimePoint Now) {
    advance(Now);
    QueuedServiceTime Sum;
    auto Found = Pools_.find(Pool);
    if (Found == Pools_.end())
      return Sum;
    const auto &Ranks = Found->second.Ranks;
    for (auto It = Ranks.begin(); It != Ranks.end() && It->first <= Rank; ++It)
      for (const auto &[Customer, Queue] : It->second) {
        Sum.OnTime += Queue.OnTime.total();
        Sum.Late += Queue.Late.arrivedUntil(Arrived);
      }
    return Sum;
  }

  QueuedServiceTime serviceTimeAhead(const PoolName &Pool, unsigned Rank,
                                     TimePoint Arrived, TimePoint Now,
                                     const CustomerId &Customer) {
    ShareScope Scope{Pool, Rank};
    if (!Shares_.isActive(Scope))
      return serviceTimeAhead(Pool, Rank, Arrived, Now);
    QueuedServiceTime Sum;
    if (Rank > 0)
      Sum = serviceTimeAhead(Pool, Rank - 1, Arrived, Now);
    const CustomerQueues *Queues = queuesOf(Scope);
    if (Queues == nullptr)
      return Sum;
    advance(Now);
    // Position of the request while it can be on time, and of a late one: then
    // all requests of its customer that can be on time precede it.
    Duration Own = Shares_.position(Scope, Customer);
    Duration OwnLate = Own;
    if (auto Found = Queues->find(Customer); Found != Queues->end()) {
      const CustomerQueue &Queue = Found->second;
      Own += Queue.OnTime.arrivedUntil(Arrived);
      OwnLate += Queue.OnTime.total() + Queue.Late.arrivedUntil(Arrived);
    }
    for (const auto &[Other, Queue] : *Queues) {
      Duration Total = Queue.OnTime.total();
      Duration Ahead;
      if (Other == Customer) {
        Ahead = Queue.OnTime.arrivedUntil(Arrived);
        Sum.Late += Queue.Late.arrivedUntil(Arrived);
      } else {
        Duration Position = Shares_.position(Scope, Other, Queue.Account);
        Ahead = Queue.OnTime.precededBy(Own - Position);
        Sum.Late += Queue.Late.precededBy(OwnLate - Position - Total);
      }
      Sum.OnTime += Ahead;
      Sum.Late += Total - Ahead;
    }
    return Sum;
  }

  const CustomerQueues *queuesOf(const ShareScope &Scope) const {
    auto Pool = Pools_.find(Scope.Pool);
    if (Pool == Pools_.end())
      return nullptr;
    auto Rank = Pool->second.Ranks.find(Scope.Rank);
    return Rank == Pool->second.Ranks.end() ? nullptr : &Rank->second;
  }

  /// Number of requests without a reserved endpoint by rank; null for none.
  const std::map<unsigned, std::size_t> *
  unreservedOf(const PoolName &Pool) const {
    auto Found = Pools_.find(Pool);
    return Found == Pools_.end() || Found->second.Unreserved.empty()
               ? nullptr
               : &Found->second.Unreserved;
  }

  /// Inserts an entry into the order of its customer.
  void insert(std::uint64_t Serial, Entry &E) {
    E.IsLate = E.Request.OnTimeUntil < At_;
    (E.IsLate ? E.Queue->Late : E.Queue->OnTime)
        .insert(orderedOf(Serial, E.Request));
    ByOnTimeUntil_.emplace(E.Request.OnTimeUntil, Serial);
  }

  void erase(std::uint64_t Serial, const Entry &E) {
    (E.IsLate ? E.Queue->Late : E.Queue->OnTime)
        .erase(orderedOf(Serial, E.Request));
    ByOnTimeUntil_.erase({E.Request.OnTimeUntil, Serial});
  }

  /// Moves the requests that are late at this time, and were not before, or the
  /// other way around.
  void advance(TimePoint Now) {
    auto [From, To] = std::minmax(At_, Now);
    auto End = ByOnTimeUntil_.lower_bound({To, 0});
    for (auto It = ByOnTimeUntil_.lower_bound({From, 0}); It != End; ++It) {
      Entry &E = Requests_.at(It->second);
      OrderedRequest Ordered = orderedOf(It->second, E.Request);
      bool IsLate = It->first < Now;
      if (IsLate == E.IsLate)
        continue;
      (E.IsLate ? E.Queue->Late : E.Queue->OnTime).erase(Ordered);
      (IsLate ? E.Queue->Late : E.Queue->OnTime).insert(Ordered);
      E.IsLate = IsLate;
    }
    At_ = Now;
  }

  std::uint64_t LastSerial_ = 0;
  TimePoint LastLongRound_{};
  /// The time at which requests were last divided into late and other ones.
  TimePoint At_ = TimePoint::min();
  std::unordered_map<std::uint64_t, Entry> Requests_;
  std::map<PoolName, PoolQueue> Pools_;
  std::set<std::pair<TimePoint, std::uint64_t>> ByOnTimeUntil_;
  FairShare Shares_;
};

RequestQueue::RequestQueue() : Impl_(std::make_unique<Impl>()) {}
RequestQueue::~RequestQueue() = default;

QueuedRequestId RequestQueue::add(QueuedRequest Request) {
  return Impl_->add(std::move(Request));
}

void RequestQueue::remove(QueuedRequestId Id) { Impl_->remove(Id); }

void RequestQueue::update(QueuedRequestId Id, TimePoint OnTimeUntil,
                          TimePoint ReevaluateAt) {
  Impl_->update(Id, OnTimeUntil, ReevaluateAt);
}

void RequestQueue::offer(TimePoint Now) { Impl_->offer(Now); }

bool RequestQueue::hasRequestAhead(const PoolName &Pool, unsigned Rank,
                                   const CustomerId &Customer) const {
  const auto *Ranks = Impl_->unreservedOf(Pool);
  if (Ranks == nullptr || Ranks->begin()->first > Rank)
    return false;
  ShareScope Scope{Pool, Rank};
  return Ranks->begin()->first < Rank || !isShared(Scope) ||
         Impl_->Shares_.hasWaitAhead(Scope, Customer);
}

bool RequestQueue::hasAny(const PoolName &Pool) const {
  return Impl_->Pools_.contains(Pool);
}

QueuedServiceTime RequestQueue::serviceTimeAhead(const PoolName &Pool,
                                                 unsigned Rank,
                                                 TimePoint Arrived,
                                                 TimePoint Now) const {
  return Impl_->serviceTimeAhead(Pool, Rank, Arrived, Now);
}

QueuedServiceTime
RequestQueue::serviceTimeAhead(const PoolName &Pool, unsigned Rank,
                               TimePoint Arrived, TimePoint Now,
                               const CustomerId &Customer) const {
  return Impl_->serviceTimeAhead(Pool, Rank, Arrived, Now, Customer);
}

unsigned RequestQueue::leastUrgentRank(const PoolName &Pool) const {
  const auto *Ranks = Impl_->unreservedOf(Pool);
  return Ranks == nullptr ? 0 : Ranks->rbegin()->first;
}

std::size_t RequestQueue::size() const { return Impl_->Requests_.size(); }

bool RequestQueue::isShared(const ShareScope &Scope) const {
  return Impl_->Shares_.isActive(Scope);
}

void RequestQueue::recordDispatch(const ShareScope &Scope,
                                  const CustomerId &Customer,
                                  Duration Occupancy, TimePoint Now) {
  Impl_->Shares_.expire(Now);
  Impl_->Shares_.charge(Scope, Customer, Occupancy, Now);
}

} // namespace celerybeam
