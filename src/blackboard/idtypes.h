#ifndef CELERYBEAM_BLACKBOARD_IDTYPES_H
#define CELERYBEAM_BLACKBOARD_IDTYPES_H

#include <cstdint>

#include "framework/strongid.h"

namespace celerybeam {

using RegionId = StrongId<struct RegionTag>;
/// An availability zone; its name is unique over all regions.
using ZoneId = StrongId<struct ZoneTag>;
/// An entry host.
using HostId = StrongId<struct HostTag>;
/// An inference engine, booking runner or plain service process.
using EndpointId = StrongId<struct EndpointTag>;
using RouteName = StrongId<struct RouteTag>;
using PoolName = StrongId<struct PoolTag>;
using CustomerId = StrongId<struct CustomerTag>;
/// A model with its version, as in "cedar-7b@3".
using ModelName = StrongId<struct ModelTag>;
/// Identifies one request of a caller across all its attempts and hops.
using RequestId = StrongId<struct RequestTag>;
/// IP number and port, as in "127.0.0.1:8443".
using Address = StrongId<struct AddressTag>;

/// Counts the attempts of one request, from 1.
using AttemptNumber = std::uint32_t;
/// Grows by one with each accepted change of the tables; 0: no tables yet.
using Revision = std::uint64_t;
/// Grows each time a host starts or refutes a suspicion.
using Incarnation = std::uint64_t;

} // namespace celerybeam

#endif
