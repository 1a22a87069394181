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

/// Certificate chain and private key as PEM files; both empty: no TLS.
struct TlsFiles {
  std::string CertificateFile;
  std::string KeyFile;
};

/// Settings of the callers' listener.
struct CallerServerOptions {
  /// Port 0 lets the kernel choose; see CallerServer::port.
  Address Bind{"127.0.0.1:0"};
  TlsFiles Tls;
  /// Threads that serve connections; each serves many.
  unsigned Threads = 4;
  /// Bytes of the request line and all header fields.
  std::size_t HeaderLimit = std::size_t{16} * 1024;
  /// Bytes of a request body.
  std::size_t BodyLimit = std::size_t{8} * 1024 * 1024;
  unsigned ConnectionLimit = 2000;
  unsigned ConnectionLimitPerIp = 500;
  /// Time for a whole head, also the time that a connection may stay idle
  /// between two requests.
  std::chrono::milliseconds HeadTimeout = std::chrono::seconds(15);
  /// Time for a whole body, from the end of its head.
  std::chrono::milliseconds BodyTimeout = std::chrono::seconds(60);
  /// Time in which a caller must take some byte of its answer.
  std::chrono::seconds SendTimeout = std::chrono::seconds(30);
  /// Bytes of an answer held for a slow caller before its producer pauses.
  std::size_t AnswerBuffer = std::size_t{64} * 1024;
  /// A silent event stream gets a comment line after this time.
  std::chrono::milliseconds KeepAliveInterval = std::chrono::seconds(5);
  /// Time to read and discard what a refused caller still sends, so that it
  /// sees the refusal rather than a reset connection.
  std::chrono::milliseconds LingerTimeout = std::chrono::seconds(2);
};

/// Counts since the start.
struct CallerServerCounts {
  std::uint64_t Connections = 0;
  std::uint64_t ConnectionsRefused = 0;
  std::uint64_t Requests = 0;
  std::uint64_t RefusedFromHead = 0;
  std::uint64_t CallersGone = 0;
  std::uint64_t TimedOut = 0;
  /// Requests not yet answered in full, at this moment.
  std::uint64_t InFlight = 0;
};

/// The callers' HTTP listener.
///
/// It asks the handler for a decision as soon as a request's head is there
/// and reads the body only of accepted requests. Answers stream through a
/// bounded buffer. Thread-safe.
class CallerServer {
public:
  CallerServer(CallerServerOptions Options, CallerHandler Handler);
  /// Stops without a grace period.
  ~CallerServer();

  /// Starts to listen. Fails with InvalidSettings; the message names the
  /// setting.
  Result<void> start();

  /// The port that is listened on; 0 before start.
  std::uint16_t port() const;

  /// Refuses new requests, also on new connections, waits until those in
  /// flight are answered or the grace period ends, then closes the rest.
  /// \returns the number of requests that were cut off.
  std::size_t stop(std::chrono::milliseconds Grace);

  CallerServerCounts counts() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
