#ifndef CELERYBEAM_REQUESTS_INTERNAL_HEADCHECKER_H
#define CELERYBEAM_REQUESTS_INTERNAL_HEADCHECKER_H

#include "requests/requesttypes.h"

namespace celerybeam::detail {

/// Checks a request head: customer, route, data residence, idempotency key
/// and deadline. check needs no body; checkResidence is also called again after
/// the body was read, since the tables may have changed by then.
class HeadChecker {
public:
  explicit HeadChecker(const RequestServices &Services);

  /// See RequestController::acceptHead.
  Result<AcceptedHead> check(const RequestHead &Head) const;

  /// Checks that the data of a route's requests may be handled in this region.
  /// Fails with WrongRegion or, for a missing header, BadRequest.
  /// \param CallerRegion  the Celerybeam-Region header; may be empty.
  Result<void> checkResidence(const RouteRow &Route,
                              std::string_view CallerRegion) const;

private:
  Result<void> checkReady() const;
  Result<void> findTarget(const Tables &T, AcceptedHead &Accepted) const;
  Result<void> checkNamedRoute(const Tables &T,
                               const AcceptedHead &Accepted) const;
  Result<void> checkUnnamedRoute(const Tables &T,
                                 const AcceptedHead &Accepted) const;
  Result<void> readKey(const Tables &T, AcceptedHead &Accepted) const;
  Result<void> readDeadline(AcceptedHead &Accepted) const;
  static Result<void> readClass(AcceptedHead &Accepted);
  tl::unexpected<Error> wrongRegion(const RouteRow &Route,
                                    const RegionId &Home) const;

  const RequestServices &Services_;
};

} // namespace celerybeam::detail

#endif
