#include "dispatch/endpointreservations.h"

namespace celerybeam {

void EndpointReservations::reserve(const EndpointKey &Endpoint,
                                   std::uint64_t Fingerprint) {
  if (!isKeptFrom(Endpoint, Fingerprint))
    Reservations_[Endpoint] = {Fingerprint, Runtime_.Now() + Life};
}

bool EndpointReservations::isKeptFrom(const EndpointKey &Endpoint,
                                      std::uint64_t Fingerprint) const {
  auto Found = Reservations_.find(Endpoint);
  return Found != Reservations_.end() &&
         Found->second.Fingerprint != Fingerprint &&
         Runtime_.Now() < Found->second.Until;
}

} // namespace celerybeam
