#include "dispatch/endpointreservations.h"

namespace celerybeam {

void EndpointReservations::reserve(const EndpointKey &Endpoint,
                                   std::uint64_t Fingerprint) {
  if (!isReservedForOther(Endpoint, Fingerprint))
    Reservations_[Endpoint] = {Fingerprint, Runtime_.Now() + Lifetime};
}

bool EndpointReservations::isReservedForOther(const EndpointKey &Endpoint,
                                              std::uint64_t Fingerprint) const {
  auto Found = Reservations_.find(Endpoint);
  return Found != Reservations_.end() &&
         Found->second.Fingerprint != Fingerprint &&
         Runtime_.Now() < Found->second.Until;
}

} // namespace celerybeam
