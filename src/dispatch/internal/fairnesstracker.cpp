#include "dispatch/fairnesstracker.h"

#include <algorithm>
#include <cmath>

namespace celerybeam {

namespace {

/// Counts are searched for expired ones this often.
constexpr Duration ExpiryInterval = std::chrono::seconds(1);

} // namespace

double FairnessTracker::weightSince(TimePoint At) const {
  return std::exp(-static_cast<double>((Runtime_.Now() - At).count()) /
                  static_cast<double>(Memory.count()));
}

void FairnessTracker::recordDecision(const ServiceClass &Class, bool Admitted) {
  record(Classes_[Class], Admitted);
}

FairnessTracker::Counts FairnessTracker::decayed(const Counts &C) const {
  double Weight = weightSince(C.At);
  return {C.Arrived * Weight, C.Served * Weight, Runtime_.Now()};
}

void FairnessTracker::record(Counts &C, bool Admitted) const {
  C = decayed(C);
  C.Arrived += 1;
  C.Served += Admitted ? 1 : 0;
}

void FairnessTracker::recordLateRefusal(const ServiceClass &Class) {
  double &Served = Classes_[Class].Served;
  Served = std::max(0.0, Served - 1);
}

void FairnessTracker::add(const ServiceClass &Class, Counts &Sum) const {
  auto Found = Classes_.find(Class);
  if (Found == Classes_.end())
    return;
  Counts C = decayed(Found->second);
  Sum.Arrived += C.Arrived;
  Sum.Served += C.Served;
}

bool FairnessTracker::isUnderserved(const Counts &Own, const Counts &Others,
                                    double Ratio) {
  return Own.Served * Others.Arrived < Ratio * Others.Served * Own.Arrived;
}

bool FairnessTracker::isLongUnderserved(const ServiceClass &Class) const {
  Counts Long;
  Counts Others;
  add({Class.Pool, Class.Rank, true}, Long);
  add({Class.Pool, Class.Rank, false}, Others);
  return isUnderserved(Long, Others);
}

void FairnessTracker::recordCustomer(const PoolName &Pool,
                                     const CustomerId &Customer,
                                     bool Admitted) {
  CustomerCounts &Of = Customers_[Pool];
  record(Of.All, Admitted);
  record(Of.Each[Customer], Admitted);
  TimePoint Now = Runtime_.Now();
  if (Now - Of.ExpiredAt < ExpiryInterval)
    return;
  Of.ExpiredAt = Now;
  std::erase_if(Of.Each, [&](const auto &Entry) {
    return Now - Entry.second.At > Memory;
  });
}

void FairnessTracker::recordLateRefusal(const PoolName &Pool,
                                        const CustomerId &Customer) {
  CustomerCounts &Of = Customers_[Pool];
  Of.All.Served = std::max(0.0, Of.All.Served - 1);
  auto Own = Of.Each.find(Customer);
  if (Own != Of.Each.end())
    Own->second.Served = std::max(0.0, Own->second.Served - 1);
}

bool FairnessTracker::isCustomerUnderserved(const PoolName &Pool,
                                            const CustomerId &Customer,
                                            double Ratio) const {
  auto Of = Customers_.find(Pool);
  if (Of == Customers_.end())
    return false;
  auto Own = Of->second.Each.find(Customer);
  return Own != Of->second.Each.end() &&
         isUnderserved(decayed(Own->second), decayed(Of->second.All), Ratio);
}

bool FairnessTracker::isRankUnderserved(const ServiceClass &Class,
                                        unsigned MostUrgent) const {
  Counts Own;
  Counts Urgent;
  for (bool Long : {false, true}) {
    add({Class.Pool, Class.Rank, Long}, Own);
    for (unsigned Rank = MostUrgent; Rank < Class.Rank; ++Rank)
      add({Class.Pool, Rank, Long}, Urgent);
  }
  return isUnderserved(Own, Urgent);
}

} // namespace celerybeam
