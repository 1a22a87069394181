#ifndef CELERYBEAM_RELAY_HTTPSERVER_H
#define CELERYBEAM_RELAY_HTTPSERVER_H

#include <functional>
#include <memory>
#include <string>

#include "blackboard/idtypes.h"
#include "framework/error.h"
#include "framework/runtime.h"
#include "relay/eventloop.h"
#include "relay/httptext.h"

namespace celerybeam {

/// A request that has been read whole.
struct HttpServerRequest {
  HttpRequestHead Head;
  std::shared_ptr<const std::string> Body;
  TimePoint Arrived{};
};

/// Answers one request. Every request gets exactly one of respond, endStream
/// or abort; what comes after that does nothing.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  /// A whole answer.
  virtual void respond(HttpResponseHead Head, std::string_view Body) = 0;
  /// The head of an answer whose body follows in pieces.
  virtual void beginStream(HttpResponseHead Head) = 0;
  virtual void streamPiece(std::string_view Data) = 0;
  virtual void endStream() = 0;
  /// Closes the connection, so that nothing looks complete.
  virtual void abort() = 0;
  /// Runs once if the caller closes the connection before its answer is
  /// complete.
  virtual void onGone(std::function<void()> Gone) = 0;
};

/// A request that was refused while it was read, before any handler saw it.
struct ReadRefusal {
  unsigned Status = 0;
  std::string Why;
  /// Where the connection comes from, without the port.
  std::string From;
  /// As far as the head has been read; empty otherwise.
  HttpRequestHead Head;
};

/// What a server accepts. May change while it runs.
struct HttpServerLimits {
  std::uint32_t HeaderBytes = 16384;
  std::uint32_t BodyBytes = 4U << 20U;
  /// From a request's first byte to the end of its head.
  Duration HeaderTimeout = std::chrono::seconds(3);
  /// Longest silence between requests, inside a body, and of a caller that
  /// does not read its answer.
  Duration IdleTimeout = std::chrono::seconds(15);
  /// From a request's first byte to its last: as long as a caller waits that
  /// names no time.
  Duration WholeTimeout = std::chrono::seconds(60);
  /// Bodies of requests that are read or served, together; further requests
  /// are refused with 503.
  std::size_t AllBodyBytes = 32U << 20U;
  /// Answers that wait for callers to read them, together; beyond that, those
  /// who have more than a little waiting are given up.
  std::size_t AllUnsentBytes = 32U << 20U;
  /// Connections at once. For a further one, an idle one of the address that
  /// has most of them is closed; if there is none, the new one is.
  std::size_t Connections = 2000;
};

/// Serves HTTP/1.1 on one address, one request at a time on a connection.
///
/// Requests whose framing could be read in two ways are refused and their
/// connection is closed: two lengths, a length with chunks, an unknown
/// coding, a field name with white space.
class HttpServer {
public:
  using Handler =
      std::function<void(HttpServerRequest, std::shared_ptr<HttpExchange>)>;

  HttpServer(EventLoop &Loop, Handler Handle);
  ~HttpServer();

  /// Errors: InvalidSettings when the address cannot be bound.
  Result<void> listen(const Address &Where);
  /// Where it listens, with the port that was chosen if port 0 was asked.
  Address address() const;
  void setLimits(const HttpServerLimits &Limits);
  /// Fields added to the answers by which the server itself refuses.
  void setRefusalFields(HttpFields Fields);
  /// Hears of each request that is refused while it is read.
  void onRefused(std::function<void(const ReadRefusal &)> Hear);

  /// From now on each answer ends its connection.
  void closeAfterAnswers();
  /// Takes no new connections and closes those that are idle.
  void stopListening();
  /// Requests that have no complete answer yet.
  std::size_t inFlight() const;
  /// Of requests that are read or served, and of answers not yet sent.
  std::size_t bodyBytesHeld() const;
  std::size_t unsentBytesHeld() const;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
