#include "dispatch/readingduty.h"

#include <cmath>

namespace celerybeam {

void ReadingDuty::set(bool Reading, TimePoint Now) {
  Share_ = share(Now);
  At_ = Now;
  Reading_ = Reading;
}

double ReadingDuty::share(TimePoint Now) const {
  double Weight = std::exp(-static_cast<double>((Now - At_).count()) /
                           static_cast<double>(Memory.count()));
  return Share_ * Weight + (Reading_ ? 1 - Weight : 0);
}

} // namespace celerybeam
