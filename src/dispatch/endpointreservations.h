#ifndef CELERYBEAM_DISPATCH_ENDPOINTRESERVATIONS_H
#define CELERYBEAM_DISPATCH_ENDPOINTRESERVATIONS_H

#include <cstdint>
#include <unordered_map>

#include "fleet/fleettypes.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Keeps an endpoint free for a request that needs more room than others.
///
/// Answers to "short prompts take each slot and each gap as it comes": a long
/// prompt needs an engine that reads nothing else, and a slot and memory there
/// at the same moment, and would be overtaken for ever. Not thread-safe.
class EndpointReservations {
public:
  explicit EndpointReservations(Runtime R) : Runtime_(std::move(R)) {}

  /// Keeps the endpoint for a request, by its fingerprint, unless another
  /// request has it. Renew while the request waits.
  void reserve(const EndpointKey &Endpoint, std::uint64_t Fingerprint);
  /// Whether the endpoint is kept for another request.
  bool isKeptFrom(const EndpointKey &Endpoint, std::uint64_t Fingerprint) const;

  /// A reservation that is not renewed ends: several rounds of offers.
  static constexpr Duration Life = std::chrono::milliseconds(30);

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
