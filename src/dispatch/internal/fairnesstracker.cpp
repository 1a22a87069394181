#include "dispatch/fairnesstracker.h"

#include <algorithm>
#include <cmath>

namespace celerybeam {

double FairnessTracker::weightSince(TimePoint At) const {
  return std::exp(-static_cast<double>((Runtime_.Now() - At).count()) /
                  static_cast<double>(Memory.count()));
}

void FairnessTracker::recordDecision(const ServiceClass &Class, bool Admitted) {
  Counts &C = Classes_[Class];
  double Weight = weightSince(C.At);
  C = {C.Arrived * Weight + 1, C.Served * Weight + (Admitted ? 1 : 0),
       Runtime_.Now()};
}

void FairnessTracker::recordLateRefusal(const ServiceClass &Class) {
  double &Served = Classes_[Class].Served;
  Served = std::max(0.0, Served - 1);
}

void FairnessTracker::add(const ServiceClass &Class, Counts &Sum) const {
  auto Found = Classes_.find(Class);
  if (Found == Classes_.end())
    return;
  double Weight = weightSince(Found->second.At);
  Sum.Arrived += Found->second.Arrived * Weight;
  Sum.Served += Found->second.Served * Weight;
}

bool FairnessTracker::isUnderserved(const Counts &Own, const Counts &Others) {
  return Own.Served * Others.Arrived < MinRatio * Others.Served * Own.Arrived;
}

bool FairnessTracker::isLongUnderserved(const ServiceClass &Class) const {
  Counts Long;
  Counts Others;
  add({Class.Pool, Class.Rank, true}, Long);
  add({Class.Pool, Class.Rank, false}, Others);
  return isUnderserved(Long, Others);
}

bool FairnessTracker::isRankUnderserved(const ServiceClass &Class) const {
  Counts Own;
  Counts Urgent;
  for (bool Long : {false, true}) {
    add({Class.Pool, Class.Rank, Long}, Own);
    for (unsigned Rank = 0; Rank < Class.Rank; ++Rank)
      add({Class.Pool, Rank, Long}, Urgent);
  }
  return isUnderserved(Own, Urgent);
}

} // namespace celerybeam
