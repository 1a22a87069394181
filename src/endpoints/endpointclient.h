#ifndef CELERYBEAM_ENDPOINTS_ENDPOINTCLIENT_H
#define CELERYBEAM_ENDPOINTS_ENDPOINTCLIENT_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "blackboard/calltypes.h"
#include "httpclient/httpclient.h"

namespace celerybeam {

/// TLS and control-call settings of an EndpointClient.
struct EndpointClientSettings {
  /// Whether endpoints are called over HTTPS.
  bool Tls = false;
  /// PEM file of the certificate authorities trusted for HTTPS; empty: the
  /// system's.
  std::string CaFile;
  /// Limit for establishing the connection of a load page request or a
  /// cancellation.
  std::chrono::milliseconds ControlConnectTimeout{500};
  /// Limit for a whole load page request or cancellation.
  std::chrono::milliseconds ControlTimeout{1000};
};

/// Call counters of an EndpointClient.
struct EndpointClientCounts {
  /// Calls that have not ended.
  std::uint64_t InFlight = 0;
  /// Responses dropped because they named another exchange.
  std::uint64_t MismatchedResponses = 0;
  /// Cancellations sent to engines.
  std::uint64_t Cancellations = 0;
};

/// Calls to model engines, booking runners and plain services over HTTP, see
/// docs/CONTRACTS.md.
///
/// Each request carries the id of its exchange. A response with another id is
/// dropped and the call ends with ConnectionLost. A call with an
/// Idempotency-Key opens its own connection: a reused connection that the
/// peer has closed would leave the outcome of the call unknown. Model engine
/// work, GET and HEAD are resent once when a reused connection closes while
/// the request is sent, so that this does not count as a crash; no other call
/// is resent. Besides the errors of CallObserver, a call ends with BadRequest
/// when it cannot be expressed in HTTP.
///
/// Thread-safe. Observers run on threads of the HTTP client, which must
/// outlive the hooks.
class EndpointClient {
public:
  /// \param Now  returns monotonic time, used for the age of load reports.
  EndpointClient(HttpClient &Http, std::function<TimePoint()> Now,
                 EndpointClientSettings Settings = EndpointClientSettings());
  ~EndpointClient();

  EndpointHooks hooks() const;

  EndpointClientCounts counts() const;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
