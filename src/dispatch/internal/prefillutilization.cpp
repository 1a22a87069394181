#include "dispatch/prefillutilization.h"

#include <cmath>

namespace celerybeam {

void PrefillUtilization::set(bool Prefilling, TimePoint Now) {
  Share_ = share(Now);
  At_ = Now;
  Prefilling_ = Prefilling;
}

double PrefillUtilization::share(TimePoint Now) const {
  double Weight = std::exp(-static_cast<double>((Now - At_).count()) /
                           static_cast<double>(Memory.count()));
  return Share_ * Weight + (Prefilling_ ? 1 - Weight : 0);
}

} // namespace celerybeam
