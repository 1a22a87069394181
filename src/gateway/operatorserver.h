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

/// Settings of the operators' listener.
struct OperatorServerOptions {
  /// Port 0 lets the kernel choose; see OperatorServer::port.
  Address Bind{"127.0.0.1:0"};
  TlsFiles Tls;
  /// What requests carry as "Authorization: Bearer <token>"; empty: none.
  /// /healthz and /readyz never need it.
  std::string BearerToken;
  std::size_t BodyLimit = std::size_t{4} * 1024 * 1024;
  unsigned ConnectionLimit = 64;
  /// Time without data after which a connection is closed.
  std::chrono::seconds Timeout{30};
};

/// What an operator's tool asks.
struct OperatorRequest {
  std::string Method;
  std::string Path;
  /// What follows the registered prefix in the path.
  std::string Rest;
  /// Without the question mark.
  std::string Query;
  std::string Body;
};

struct OperatorAnswer {
  int Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
};

/// Makes the answer for a failure, with its JSON error.
OperatorAnswer operatorError(const Error &Failure);

/// May block; runs on the connection's thread.
using OperatorHandler = std::function<OperatorAnswer(const OperatorRequest &)>;

/// The operators' HTTP listener: health, readiness, metrics and whatever is
/// registered. Thread-safe but for handle, which comes before start.
class OperatorServer {
public:
  /// \param Ready    whether the host takes requests; the error is shown.
  /// \param Metrics  the text of /metrics.
  OperatorServer(OperatorServerOptions Options,
                 std::function<Result<void>()> Ready,
                 std::function<std::string()> Metrics);
  /// Stops.
  ~OperatorServer();

  /// Registers a handler for a method and all paths that start with the
  /// prefix; the longest prefix wins.
  void handle(const std::string &Method, const std::string &Prefix,
              OperatorHandler Handler);

  /// Starts to listen. Fails with InvalidSettings; the message names the
  /// setting.
  Result<void> start();

  /// The port that is listened on; 0 before start.
  std::uint16_t port() const;

  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
