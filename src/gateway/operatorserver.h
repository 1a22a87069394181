#ifndef CELERYBEAM_GATEWAY_OPERATORSERVER_H
#define CELERYBEAM_GATEWAY_OPERATORSERVER_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "blackboard/idtypes.h"
#include "framework/error.h"
#include "gateway/callerserver.h"

namespace celerybeam {

/// Settings of an OperatorServer.
struct OperatorServerOptions {
  /// Port 0 lets the kernel choose a port; see OperatorServer::port.
  Address Bind{"127.0.0.1:0"};
  TlsFiles Tls;
  /// Token that requests must carry as "Authorization: Bearer <token>"; empty:
  /// none is required. /healthz and /readyz never require it.
  std::string BearerToken;
  /// Limit in bytes for a request body.
  std::size_t BodyLimit = std::size_t{4} * 1024 * 1024;
  unsigned ConnectionLimit = 64;
  /// Time without data after which a connection is closed.
  std::chrono::seconds Timeout{30};
};

/// A request to an OperatorHandler.
struct OperatorRequest {
  std::string Method;
  std::string Path;
  /// The part of the path after the registered prefix.
  std::string Rest;
  /// Without the question mark.
  std::string Query;
  std::string Body;
};

/// A complete response of an OperatorHandler.
struct OperatorResponse {
  int Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
};

/// Builds the response for an error, with its JSON error as body.
OperatorResponse operatorError(const Error &Failure);

/// Handles a request on the connection's thread; may block.
using OperatorHandler =
    std::function<OperatorResponse(const OperatorRequest &)>;

/// HTTP server for operators' tools: serves health, readiness, metrics and all
/// registered handlers. Thread-safe except handle, which must be called before
/// start.
class OperatorServer {
public:
  /// \param Ready    whether the host accepts requests; the error is shown by
  ///                 /readyz.
  /// \param Metrics  returns the text of /metrics.
  OperatorServer(OperatorServerOptions Options,
                 std::function<Result<void>()> Ready,
                 std::function<std::string()> Metrics);
  /// Stops the server.
  ~OperatorServer();

  /// Registers a handler for a method and all paths that start with the
  /// prefix; the longest prefix wins.
  void handle(const std::string &Method, const std::string &Prefix,
              OperatorHandler Handler);

  /// Starts to listen. Fails with InvalidSettings; the message names the
  /// setting.
  Result<void> start();

  /// The listening port; 0 before start.
  std::uint16_t port() const;

  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
