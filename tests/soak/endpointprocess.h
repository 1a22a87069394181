#ifndef CELERYBEAM_TESTS_SOAK_ENDPOINTPROCESS_H
#define CELERYBEAM_TESTS_SOAK_ENDPOINTPROCESS_H

#include <cstdint>
#include <string>

namespace celerybeam::testing {

/// How one endpoint behaves. Plants are faults of its own that the soak's
/// checks must find.
struct EndpointOptions {
  std::string Id;
  std::uint64_t Seed = 1;
  unsigned Slots = 6;
  /// "run-refused", "run-twice", "wrong-body" or "skip-event"; empty: none.
  std::string Plant;
};

/// Serves as an endpoint in a process of its own until it is killed. Writes its
/// address and then a line for each request that it runs to standard output.
int serveEndpoint(const EndpointOptions &Options);

/// All keys of callers begin with this.
inline constexpr const char *KeyPrefix = "key-";
/// An endpoint's word, instead of a customer's name, for a request with a key.
inline constexpr const char *SeenKey = "!key";

/// The body that an endpoint answers to a request, by which a caller knows that
/// the answer is its own. Longer for a request whose id ends with "-big" than
/// what a kernel takes for a caller that reads nothing.
std::string endpointBody(const std::string &RequestId);
/// Events of the stream that answers a request.
unsigned endpointEvents(const std::string &RequestId);

} // namespace celerybeam::testing

#endif
