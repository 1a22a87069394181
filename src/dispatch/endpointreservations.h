#ifndef CELERYBEAM_DISPATCH_ENDPOINTRESERVATIONS_H
#define CELERYBEAM_DISPATCH_ENDPOINTRESERVATIONS_H

#include <cstdint>
#include <unordered_map>

#include "fleet/fleettypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Reserves an endpoint for a request that needs more capacity than others.
///
/// Handles this load pattern: "short prompts take each slot and each gap as it
/// comes". A long prompt needs an engine that has no other prefill, and a slot
/// and memory there at the same moment, and would be overtaken forever. Not
/// thread-safe.
class EndpointReservations {
public:
  explicit EndpointReservations(Runtime R) : Runtime_(std::move(R)) {}

  /// Reserves the endpoint for a request, by its fingerprint, unless another
  /// request has it. Renew while the request waits.
  void reserve(const EndpointKey &Endpoint, std::uint64_t Fingerprint);
  /// Whether the endpoint is reserved for another request.
  bool isReservedForOther(const EndpointKey &Endpoint,
                          std::uint64_t Fingerprint) const;

  /// A reservation that is not renewed ends after several rounds of offers.
  static constexpr Duration Lifetime = std::chrono::milliseconds(30);

private:
  struct Reservation {
    std::uint64_t Fingerprint = 0;
    TimePoint Until{};
  };

  Runtime Runtime_;
  std::unordered_map<EndpointKey, Reservation> Reservations_;
};

} // namespace celerybeam

#endif
