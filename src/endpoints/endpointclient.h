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

struct EndpointClientSettings {
  /// Whether endpoints are called by https.
  bool Tls = false;
  /// PEM file of the authorities trusted for https; empty: the system's.
  std::string CaFile;
  /// Limit for the connection of a load page or a cancellation to stand.
  std::chrono::milliseconds ControlConnectTimeout{500};
  /// Limit for asking a load page or telling an engine of a cancellation.
  std::chrono::milliseconds ControlTimeout{1000};
};

struct EndpointClientCounts {
  /// Calls that have not ended.
  std::uint64_t InFlight = 0;
  /// Answers dropped because they named another exchange.
  std::uint64_t ForeignAnswers = 0;
  /// Cancellations told to engines.
  std::uint64_t Cancellations = 0;
};

/// Calls to model engines, booking runners and plain services over HTTP, see
/// docs/CONTRACTS.md.
///
/// Names the exchange in each request and drops answers that name another
/// one; the call then ends with ConnectionLost. A call with an
/// Idempotency-Key gets a connection of its own, so that a connection that
/// another side has closed cannot leave its outcome open. Only work of model
/// engines, GET and HEAD are sent a second time, when a kept connection was
/// being closed as it went out, so that this does not count as a crash. Besides
/// the errors of CallObserver a call ends with BadRequest when it cannot be
/// expressed in HTTP.
///
/// Thread-safe. Observers run on threads of the HTTP client, which must
/// outlive the hooks.
class EndpointClient {
public:
  /// \param Now  monotonic time, for the age of load reports.
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
