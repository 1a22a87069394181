#ifndef CELERYBEAM_CONFIGURATION_TESTS_TABLEROWS_H
#define CELERYBEAM_CONFIGURATION_TESTS_TABLEROWS_H

#include <string>

#include "configuration/tablesrevision.h"

namespace celerybeam::tests {

/// Rows of one pool and of routes "r0" to "r<count - 1>" that use it.
inline TableRows someRows(int Routes) {
  Tables T;
  PoolRow Pool;
  Pool.Name = PoolName("p");
  Pool.Kind = PoolKind::Service;
  Pool.Label = "p";
  T.Pools.push_back(Pool);
  for (int I = 0; I < Routes; ++I) {
    RouteRow Route;
    Route.Name = RouteName("r" + std::to_string(I));
    Route.Pool = Pool.Name;
    T.Routes.push_back(Route);
  }
  return rowsOf(T);
}

/// The rows with a new deadline for one route, which is added if absent.
inline TableRows withDeadline(TableRows Rows, const std::string &Route,
                              int Seconds) {
  RouteRow Row;
  Row.Name = RouteName(Route);
  Row.Pool = PoolName("p");
  Row.DefaultDeadline = std::chrono::seconds(Seconds);
  Rows.Routes[Route] = formatRoute(Row);
  return Rows;
}

} // namespace celerybeam::tests

#endif
