#include "dispatch/requestqueue.h"

#include <algorithm>
#include <tuple>

namespace celerybeam {

namespace {

/// Assigns positions within a rank to the requests of its customers, which are
/// passed in their order of service.
class ShareWalk {
public:
  ShareWalk(const FairShare &Shares, ShareScope Scope)
      : Shares_(Shares), Scope_(std::move(Scope)),
        IsActive_(Shares.isActive(Scope_)) {}

  const ShareScope &scope() const { return Scope_; }

  /// Zero where no customers share. \param Number  stands for the customer.
  Duration next(std::uint32_t Number, const QueuedRequest &Request) {
    if (!IsActive_)
      return {};
    Duration &Next = positionOf(Number, Request.Customer);
    Duration Own = Next;
    Next += Request.Occupancy;
    return Own;
  }

  Duration &positionOf(std::uint32_t Number, const CustomerId &Customer) {
    if (Number >= Next_.size())
      Next_.resize(Number + 1, Unset);
    if (Next_[Number] == Unset)
      Next_[Number] = Shares_.position(Scope_, Customer);
    return Next_[Number];
  }

private:
  static constexpr Duration Unset = Duration::min();

  const FairShare &Shares_;
  ShareScope Scope_;
  bool IsActive_;
  std::vector<Duration> Next_;
};

} // namespace

std::uint32_t RequestQueue::numberOf(const CustomerId &Customer) const {
  auto Found = Customers_.find(Customer);
  return Found == Customers_.end() ? 0 : Found->second.Number;
}

std::uint32_t RequestQueue::addCustomer(const CustomerId &Customer) {
  if (Customer.empty())
    return 0;
  auto [It, New] = Customers_.try_emplace(Customer);
  ++It->second.Requests;
  if (!New)
    return It->second.Number;
  // All numbers up to the number of customers are in use if none is free.
  It->second.Number = static_cast<std::uint32_t>(Customers_.size());
  if (!FreeNumbers_.empty()) {
    It->second.Number = FreeNumbers_.back();
    FreeNumbers_.pop_back();
  }
  return It->second.Number;
}

void RequestQueue::removeCustomer(const CustomerId &Customer) {
  auto Found = Customers_.find(Customer);
  if (Found == Customers_.end() || --Found->second.Requests > 0)
    return;
  FreeNumbers_.push_back(Found->second.Number);
  Customers_.erase(Found);
}

QueuedRequestId RequestQueue::add(QueuedRequest Request) {
  QueuedRequestId Id{++LastSerial_};
  Position At{Request.Rank, Request.Arrived, Id.Value,
              addCustomer(Request.Customer)};
  Positions_[Id.Value] = At;
  if (!Request.HasReservedEndpoint) {
    ++Pools_[Request.Pool][Request.Rank];
    Shares_.beginWait({Request.Pool, Request.Rank}, Request.Customer,
                      Request.Arrived);
  }
  Requests_.emplace(At, std::move(Request));
  return Id;
}

void RequestQueue::remove(QueuedRequestId Id) {
  auto Found = Positions_.find(Id.Value);
  if (Found == Positions_.end())
    return;
  auto Queued = Requests_.find(Found->second);
  const QueuedRequest &Request = Queued->second;
  if (!Request.HasReservedEndpoint) {
    RankCounts &Counts = Pools_[Request.Pool];
    auto Count = Counts.find(Request.Rank);
    if (--Count->second == 0)
      Counts.erase(Count);
    Shares_.endWait({Request.Pool, Request.Rank}, Request.Customer);
  }
  removeCustomer(Request.Customer);
  Requests_.erase(Queued);
  Positions_.erase(Found);
}

void RequestQueue::update(QueuedRequestId Id, TimePoint OnTimeUntil,
                          TimePoint ReevaluateAt) {
  auto Found = Positions_.find(Id.Value);
  if (Found == Positions_.end())
    return;
  QueuedRequest &Queued = Requests_.at(Found->second);
  Queued.OnTimeUntil = OnTimeUntil;
  Queued.ReevaluateAt = ReevaluateAt;
}

std::vector<RequestQueue::Position>
RequestQueue::orderByArrival(TimePoint Now) const {
  std::vector<Position> Order;
  std::vector<Position> Late;
  for (const auto &[At, Request] : Requests_)
    (Request.OnTimeUntil >= Now ? Order : Late).push_back(At);
  Order.insert(Order.end(), Late.begin(), Late.end());
  return Order;
}

std::vector<RequestQueue::Position>
RequestQueue::sharedOrder(TimePoint Now) const {
  struct Entry {
    unsigned Rank;
    Duration Share;
    Position At;
  };
  // The walk of a scope first sees the requests that can be on time.
  std::map<ShareScope, ShareWalk> Walks;
  auto Append = [&](std::vector<Position> &Order, bool Late) {
    std::vector<Entry> Entries;
    ShareWalk *Walk = nullptr;
    for (const auto &[At, Request] : Requests_) {
      if ((Request.OnTimeUntil < Now) != Late)
        continue;
      if (Walk == nullptr || Walk->scope().Rank != At.Rank ||
          Walk->scope().Pool != Request.Pool) {
        ShareScope Scope{Request.Pool, At.Rank};
        Walk = &Walks.try_emplace(Scope, Shares_, Scope).first->second;
      }
      Entries.push_back({At.Rank, Walk->next(At.Customer, Request), At});
    }
    // The order between pools has no effect, so that their shares need not be
    // comparable.
    std::stable_sort(
        Entries.begin(), Entries.end(), [](const Entry &A, const Entry &B) {
          return std::tie(A.Rank, A.Share) < std::tie(B.Rank, B.Share);
        });
    for (const Entry &E : Entries)
      Order.push_back(E.At);
  };
  std::vector<Position> Order;
  Order.reserve(Requests_.size());
  Append(Order, false);
  Append(Order, true);
  return Order;
}

void RequestQueue::offer(TimePoint Now) {
  Shares_.expire(Now);
  std::map<std::pair<PoolName, bool>, std::size_t> RejectedOffers;
  bool IsLong = Now - LastLongRound_ >= LongRoundInterval;
  if (IsLong)
    LastLongRound_ = Now;
  std::size_t MostRejected = IsLong ? OffersPerLongRound : OffersPerPool;
  // Offers change the queue, so the order is copied first.
  std::vector<Position> Order =
      Shares_.isActive() ? sharedOrder(Now) : orderByArrival(Now);
  for (const Position &At : Order) {
    auto Found = Requests_.find(At);
    if (Found == Requests_.end())
      continue;
    bool Due = Found->second.ReevaluateAt < Now;
    std::size_t &Rejected =
        RejectedOffers[{Found->second.Pool, Found->second.HasReservedEndpoint}];
    if (!Due && Rejected >= MostRejected)
      continue;
    auto Offer = Found->second.Offer;
    if (!Offer())
      ++Rejected;
  }
}

bool RequestQueue::hasRequestAhead(const PoolName &Pool, unsigned Rank,
                                   const CustomerId &Customer) const {
  auto Found = Pools_.find(Pool);
  if (Found == Pools_.end() || Found->second.empty() ||
      Found->second.begin()->first > Rank)
    return false;
  ShareScope Scope{Pool, Rank};
  return Found->second.begin()->first < Rank || !Shares_.isActive(Scope) ||
         Shares_.hasWaitAhead(Scope, Customer);
}

unsigned RequestQueue::leastUrgentRank(const PoolName &Pool) const {
  auto Found = Pools_.find(Pool);
  return Found == Pools_.end() || Found->second.empty()
             ? 0
             : Found->second.rbegin()->first;
}

void RequestQueue::recordDispatch(const ShareScope &Scope,
                                  const CustomerId &Customer,
                                  Duration Occupancy, TimePoint Now) {
  Shares_.expire(Now);
  Shares_.charge(Scope, Customer, Occupancy, Now);
}

bool RequestQueue::hasAny(const PoolName &Pool) const {
  return std::any_of(
      Requests_.begin(), Requests_.end(),
      [&](const auto &Entry) { return Entry.second.Pool == Pool; });
}

QueuedServiceTime RequestQueue::serviceTimeAhead(const PoolName &Pool,
                                                 unsigned Rank,
                                                 TimePoint Arrived,
                                                 TimePoint Now) const {
  QueuedServiceTime Sum;
  for (const auto &[At, Queued] : Requests_) {
    if (At.Rank > Rank)
      break;
    if (Queued.Pool != Pool)
      continue;
    if (Queued.OnTimeUntil >= Now)
      Sum.OnTime += Queued.Occupancy;
    else if (At.Arrived <= Arrived)
      Sum.Late += Queued.Occupancy;
  }
  return Sum;
}

QueuedServiceTime
RequestQueue::serviceTimeAhead(const PoolName &Pool, unsigned Rank,
                               TimePoint Arrived, TimePoint Now,
                               const CustomerId &Customer) const {
  ShareScope Scope{Pool, Rank};
  if (!Shares_.isActive(Scope))
    return serviceTimeAhead(Pool, Rank, Arrived, Now);
  QueuedServiceTime Sum;
  if (Rank > 0)
    Sum = serviceTimeAhead(Pool, Rank - 1, Arrived, Now);
  using Entry = std::pair<const Position, QueuedRequest>;
  std::vector<const Entry *> OnTime;
  std::vector<const Entry *> Late;
  for (auto It = Requests_.lower_bound({Rank, TimePoint::min(), 0, 0});
       It != Requests_.end() && It->first.Rank == Rank; ++It)
    if (It->second.Pool == Pool)
      (It->second.OnTimeUntil >= Now ? OnTime : Late).push_back(&*It);
  // A customer whose number is 0 has no queued requests.
  std::uint32_t Number = numberOf(Customer);
  auto IsOwn = [&](const Entry &Queued) {
    return Queued.first.Customer == Number && (Number != 0 || Customer.empty());
  };
  Duration Own = Shares_.position(Scope, Customer);
  auto AddOwn = [&](const std::vector<const Entry *> &Group) {
    for (const Entry *Queued : Group)
      if (IsOwn(*Queued) && Queued->first.Arrived <= Arrived)
        Own += Queued->second.Occupancy;
  };
  ShareWalk Walk(Shares_, Scope);
  auto IsAhead = [&](const Entry &Queued) {
    Duration Share = Walk.next(Queued.first.Customer, Queued.second);
    return IsOwn(Queued) ? Queued.first.Arrived <= Arrived : Share <= Own;
  };
  AddOwn(OnTime);
  for (const Entry *Queued : OnTime)
    (IsAhead(*Queued) ? Sum.OnTime : Sum.Late) += Queued->second.Occupancy;
  // Once it is late, all its own requests that can be on time precede it.
  if (Number != 0 || Customer.empty())
    Own = Walk.positionOf(Number, Customer);
  AddOwn(Late);
  for (const Entry *Queued : Late)
    if (IsAhead(*Queued))
      Sum.Late += Queued->second.Occupancy;
  return Sum;
}

} // namespace celerybeam
