#ifndef CELERYBEAM_ADMISSION_INTERNAL_LIMITKEY_H
#define CELERYBEAM_ADMISSION_INTERNAL_LIMITKEY_H

#include <optional>

#include "blackboard/blackboard.h"
#include "limits/limittypes.h"

namespace celerybeam::detail {

/// Identifies the limits of a route, or of a customer on a route.
struct LimitKey {
  RouteName Route;
  /// Empty for the limits of the route as a whole.
  CustomerId Customer;

  LimitName str() const;
  static std::optional<LimitKey> parse(const LimitName &Text);
};

/// Limits of one key in the given tables, which apply to the whole region; no
/// limits for an unknown route.
LimitValues limitValues(const Tables &T, const LimitKey &Key);

} // namespace celerybeam::detail

#endif
