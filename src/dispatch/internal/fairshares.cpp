#include "dispatch/fairshares.h"

#include <algorithm>
#include <cmath>

namespace celerybeam {

double FairShares::weightSince(TimePoint At) const {
  return std::exp(-static_cast<double>((Runtime_.Now() - At).count()) /
                  static_cast<double>(Memory.count()));
}

void FairShares::decided(const ServiceClass &Class, bool Admitted) {
  Counts &C = Classes_[Class];
  double Weight = weightSince(C.At);
  C = {C.Asked * Weight + 1, C.Served * Weight + (Admitted ? 1 : 0),
       Runtime_.Now()};
}

void FairShares::failed(const ServiceClass &Class) {
  double &Served = Classes_[Class].Served;
  Served = std::max(0.0, Served - 1);
}

void FairShares::add(const ServiceClass &Class, Counts &Sum) const {
  auto Found = Classes_.find(Class);
  if (Found == Classes_.end())
    return;
  double Weight = weightSince(Found->second.At);
  Sum.Asked += Found->second.Asked * Weight;
  Sum.Served += Found->second.Served * Weight;
}

bool FairShares::isOwed(const Counts &Own, const Counts &Others) {
  return Own.Served * Others.Asked < LeastRatio * Others.Served * Own.Asked;
}

bool FairShares::isLengthOwed(const ServiceClass &Class) const {
  Counts Long;
  Counts Others;
  add({Class.Pool, Class.Rank, true}, Long);
  add({Class.Pool, Class.Rank, false}, Others);
  return isOwed(Long, Others);
}

bool FairShares::isRankOwed(const ServiceClass &Class) const {
  Counts Own;
  Counts Urgent;
  for (bool Long : {false, true}) {
    add({Class.Pool, Class.Rank, Long}, Own);
    for (unsigned Rank = 0; Rank < Class.Rank; ++Rank)
      add({Class.Pool, Rank, Long}, Urgent);
  }
  return isOwed(Own, Urgent);
}

} // namespace celerybeam
