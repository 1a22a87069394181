#include "dispatch/tests/referencequeue.h"

#include <algorithm>
#include <tuple>

namespace celerybeam::testing {

QueuedRequestId ReferenceQueue::add(QueuedRequest Request) {
  if (!Request.HasReservedEndpoint)
    Shares_.beginWait({Request.Pool, Request.Rank}, Request.Customer,
                      Request.Arrived);
  Requests_.emplace(++LastSerial_,
                    std::make_shared<QueuedRequest>(std::move(Request)));
  return {LastSerial_};
}

void ReferenceQueue::remove(QueuedRequestId Id) {
  auto Found = Requests_.find(Id.Value);
  if (Found == Requests_.end())
    return;
  const QueuedRequest &Request = *Found->second;
  if (!Request.HasReservedEndpoint)
    Shares_.endWait({Request.Pool, Request.Rank}, Request.Customer);
  Requests_.erase(Found);
}

void ReferenceQueue::update(QueuedRequestId Id, TimePoint OnTimeUntil,
                            TimePoint ReevaluateAt) {
  auto Found = Requests_.find(Id.Value);
  if (Found == Requests_.end())
    return;
  Found->second->OnTimeUntil = OnTimeUntil;
  Found->second->ReevaluateAt = ReevaluateAt;
}

std::vector<ReferenceQueue::Entry>
ReferenceQueue::entries(TimePoint Now) const {
  std::vector<Entry> All;
  for (const auto &[Serial, Request] : Requests_)
    All.push_back({Serial, Request, {}, Request->OnTimeUntil < Now});
  std::sort(All.begin(), All.end(), [](const Entry &A, const Entry &B) {
    return std::tie(A.Request->Rank, A.Request->Arrived, A.Serial) <
           std::tie(B.Request->Rank, B.Request->Arrived, B.Serial);
  });
  // Requests that can be on time take their shares first.
  std::map<std::pair<ShareScope, CustomerId>, Duration> Next;
  for (bool Late : {false, true})
    for (Entry &E : All) {
      ShareScope Scope{E.Request->Pool, E.Request->Rank};
      if (E.IsLate != Late || !Shares_.isActive(Scope))
        continue;
      const CustomerId &Customer = E.Request->Customer;
      Duration &Share =
          Next.try_emplace({Scope, Customer}, Shares_.position(Scope, Customer))
              .first->second;
      E.Share = Share;
      Share += E.Request->Occupancy;
    }
  return All;
}

void ReferenceQueue::offer(TimePoint Now) {
  Shares_.expire(Now);
  bool IsLong = Now - LastLongRound_ >= RequestQueue::LongRoundInterval;
  if (IsLong)
    LastLongRound_ = Now;
  std::size_t MostRejected =
      IsLong ? RequestQueue::OffersPerLongRound : RequestQueue::OffersPerPool;
  std::vector<Entry> Order = entries(Now);
  std::stable_sort(Order.begin(), Order.end(),
                   [](const Entry &A, const Entry &B) {
                     return std::tie(A.IsLate, A.Request->Rank, A.Share) <
                            std::tie(B.IsLate, B.Request->Rank, B.Share);
                   });
  std::map<std::pair<PoolName, bool>, std::size_t> Rejected;
  for (const Entry &E : Order) {
    auto Found = Requests_.find(E.Serial);
    if (Found == Requests_.end())
      continue;
    std::size_t &Count =
        Rejected[{E.Request->Pool, E.Request->HasReservedEndpoint}];
    if (Found->second->ReevaluateAt >= Now && Count >= MostRejected)
      continue;
    if (!E.Request->Offer())
      ++Count;
  }
}

bool ReferenceQueue::hasRequestAhead(const PoolName &Pool, unsigned Rank,
                                     const CustomerId &Customer) const {
  ShareScope Scope{Pool, Rank};
  return std::any_of(Requests_.begin(), Requests_.end(), [&](const auto &E) {
    const QueuedRequest &Request = *E.second;
    return !Request.HasReservedEndpoint && Request.Pool == Pool &&
           (Request.Rank < Rank ||
            (Request.Rank == Rank && (!Shares_.isActive(Scope) ||
                                      Shares_.hasWaitAhead(Scope, Customer))));
  });
}

bool ReferenceQueue::hasAny(const PoolName &Pool) const {
  return std::any_of(Requests_.begin(), Requests_.end(),
                     [&](const auto &E) { return E.second->Pool == Pool; });
}

QueuedServiceTime ReferenceQueue::serviceTimeAhead(const PoolName &Pool,
                                                   unsigned Rank,
                                                   TimePoint Arrived,
                                                   TimePoint Now) const {
  QueuedServiceTime Sum;
  for (const auto &[Serial, Request] : Requests_) {
    if (Request->Pool != Pool || Request->Rank > Rank)
      continue;
    if (Request->OnTimeUntil >= Now)
      Sum.OnTime += Request->Occupancy;
    else if (Request->Arrived <= Arrived)
      Sum.Late += Request->Occupancy;
  }
  return Sum;
}

QueuedServiceTime
ReferenceQueue::serviceTimeAhead(const PoolName &Pool, unsigned Rank,
                                 TimePoint Arrived, TimePoint Now,
                                 const CustomerId &Customer) const {
  ShareScope Scope{Pool, Rank};
  if (!Shares_.isActive(Scope))
    return serviceTimeAhead(Pool, Rank, Arrived, Now);
  QueuedServiceTime Sum;
  if (Rank > 0)
    Sum = serviceTimeAhead(Pool, Rank - 1, Arrived, Now);
  std::vector<Entry> Others;
  // Position of a new request that is on time, and of one that is late.
  Duration Own = Shares_.position(Scope, Customer);
  Duration OwnLate = Own;
  for (const Entry &E : entries(Now)) {
    const QueuedRequest &Request = *E.Request;
    if (Request.Pool != Pool || Request.Rank != Rank)
      continue;
    if (Request.Customer != Customer) {
      Others.push_back(E);
      continue;
    }
    bool Precedes = Request.Arrived <= Arrived;
    Own += !E.IsLate && Precedes ? Request.Occupancy : Duration();
    OwnLate += !E.IsLate || Precedes ? Request.Occupancy : Duration();
    if (!E.IsLate)
      (Precedes ? Sum.OnTime : Sum.Late) += Request.Occupancy;
    else if (Precedes)
      Sum.Late += Request.Occupancy;
  }
  for (const Entry &E : Others) {
    if (!E.IsLate)
      (E.Share <= Own ? Sum.OnTime : Sum.Late) += E.Request->Occupancy;
    else if (E.Share <= OwnLate)
      Sum.Late += E.Request->Occupancy;
  }
  return Sum;
}

unsigned ReferenceQueue::leastUrgentRank(const PoolName &Pool) const {
  unsigned Rank = 0;
  for (const auto &[Serial, Request] : Requests_)
    if (Request->Pool == Pool && !Request->HasReservedEndpoint)
      Rank = std::max(Rank, Request->Rank);
  return Rank;
}

void ReferenceQueue::recordDispatch(const ShareScope &Scope,
                                    const CustomerId &Customer,
                                    Duration Occupancy, TimePoint Now) {
  Shares_.expire(Now);
  Shares_.charge(Scope, Customer, Occupancy, Now);
}

} // namespace celerybeam::testing
