#ifndef CELERYBEAM_GATEWAY_CALLERSERVER_H
#define CELERYBEAM_GATEWAY_CALLERSERVER_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "blackboard/idtypes.h"
#include "framework/error.h"
#include "gateway/callerhandler.h"

namespace celerybeam {

/// Paths of the PEM files with certificate chain and private key. Both empty:
/// no TLS.
struct TlsFiles {
  std::string CertificateFile;
  std::string KeyFile;
};

/// Settings of a CallerServer.
struct CallerServerOptions {
  /// Port 0 lets the kernel choose a port; see CallerServer::port.
  Address Bind{"127.0.0.1:0"};
  TlsFiles Tls;
  /// Threads that serve connections; each serves many connections.
  unsigned Threads = 4;
  /// Limit in bytes for the request line and all header fields.
  std::size_t HeaderLimit = std::size_t{16} * 1024;
  /// Limit in bytes for a request body.
  std::size_t BodyLimit = std::size_t{8} * 1024 * 1024;
  unsigned ConnectionLimit = 2000;
  unsigned ConnectionLimitPerIp = 500;
  /// Limit for receiving a whole head, and for the idle time of a connection
  /// between two requests.
  std::chrono::milliseconds HeadTimeout = std::chrono::seconds(15);
  /// Limit for receiving a whole body, from the end of its head.
  std::chrono::milliseconds BodyTimeout = std::chrono::seconds(60);
  /// A caller that reads no byte of its response for this long is
  /// disconnected.
  std::chrono::seconds SendTimeout = std::chrono::seconds(30);
  /// Bytes of a response buffered for a slow caller before its producer
  /// pauses.
  std::size_t ResponseBufferBytes = std::size_t{64} * 1024;
  /// An idle event stream is sent a comment line after this time.
  std::chrono::milliseconds KeepAliveInterval = std::chrono::seconds(5);
  /// Time for which the rest of a refused request is read and discarded, so
  /// that its caller receives the error rather than a connection reset.
  std::chrono::milliseconds LingerTimeout = std::chrono::seconds(2);
};

/// Counters of a CallerServer since its start.
struct CallerServerCounts {
  std::uint64_t Connections = 0;
  std::uint64_t ConnectionsRefused = 0;
  std::uint64_t Requests = 0;
  std::uint64_t RefusedFromHead = 0;
  std::uint64_t CallersGone = 0;
  std::uint64_t TimedOut = 0;
  /// Requests whose response is not complete, at this moment.
  std::uint64_t InFlight = 0;
};

/// HTTP server for callers' requests.
///
/// The handler accepts or refuses a request as soon as its head has arrived;
/// only the bodies of accepted requests are read. Responses stream through a
/// bounded buffer. Thread-safe.
class CallerServer {
public:
  CallerServer(CallerServerOptions Options, CallerHandler Handler);
  /// Stops without a grace period.
  ~CallerServer();

  /// Starts to listen. Fails with InvalidSettings; the message names the
  /// setting.
  Result<void> start();

  /// The listening port; 0 before start.
  std::uint16_t port() const;

  /// Refuses new requests, also on new connections, waits until all requests
  /// in flight are complete or the grace period ends, then aborts the rest.
  /// \returns the number of aborted requests.
  std::size_t stop(std::chrono::milliseconds Grace);

  CallerServerCounts counts() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
