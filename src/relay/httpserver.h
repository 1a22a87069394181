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

/// A completely received request.
struct HttpServerRequest {
  HttpRequestHead Head;
  std::shared_ptr<const std::string> Body;
  TimePoint Arrived{};
};

/// Sends the response to one request. Each request gets exactly one of respond,
/// endStream or abort; later calls have no effect.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  /// Sends a complete response.
  virtual void respond(HttpResponseHead Head, std::string_view Body) = 0;
  /// Sends the head of a response whose body follows in parts.
  virtual void beginStream(HttpResponseHead Head) = 0;
  virtual void streamPiece(std::string_view Data) = 0;
  virtual void endStream() = 0;
  /// Closes the connection without completing the response, so that the caller
  /// does not take it for complete.
  virtual void abort() = 0;
  /// Sets a callback that runs once if the caller closes the connection before
  /// the response is complete.
  virtual void onDisconnect(std::function<void()> Callback) = 0;
  /// Whether the caller still waits. Also notices a close for which the
  /// callback has not run yet.
  virtual bool isCallerWaiting() = 0;
};

/// A request that the server refused while receiving it, before the handler was
/// called.
struct ReadRefusal {
  unsigned Status = 0;
  std::string Why;
  /// IP address of the caller, without the port.
  std::string From;
  /// The request's head if it was completely received; empty otherwise.
  HttpRequestHead Head;
};

/// A response that the server broke off because callers left too many bytes
/// unread.
struct UnreadResponse {
  /// IP address of the caller, without the port.
  std::string From;
  std::size_t UnsentBytes = 0;
  /// Time for which the caller has always left bytes unread.
  Duration Unread{};
  /// Unread bytes of all callers.
  std::size_t AllUnsentBytes = 0;
};

/// Limits of a server. May change at run time.
struct HttpServerLimits {
  std::uint32_t HeaderBytes = 16384;
  std::uint32_t BodyBytes = 4U << 20U;
  /// Time from a request's first byte to the end of its head.
  Duration HeaderTimeout = std::chrono::seconds(3);
  /// Longest time without data between requests and inside a body, and longest
  /// time in which a caller reads nothing of its response.
  Duration IdleTimeout = std::chrono::seconds(15);
  /// Time from a request's first byte to its last. Equals the time that a
  /// caller waits when it names no deadline.
  Duration WholeTimeout = std::chrono::seconds(60);
  /// Total size of the request bodies that are being received or served.
  /// Further requests are refused with 503.
  std::size_t AllBodyBytes = 32U << 20U;
  /// Total size of the responses that callers have not read yet. Above it, of
  /// the connections with more than a small unsent amount those are closed
  /// whose callers have left bytes unread for longest, or the one that needs
  /// the room if none has for long.
  std::size_t AllUnsentBytes = 32U << 20U;
  /// Maximum number of connections. For a further one, the server closes the
  /// oldest connection without a complete request of the address that has the
  /// most connections, idle ones first. If there is none, it closes the new
  /// connection.
  std::size_t Connections = 2000;
};

/// Serves HTTP/1.1 on one address, one request at a time per connection.
///
/// Requests with ambiguous framing are refused and their connection is closed:
/// two lengths, a length together with chunked coding, an unknown transfer
/// coding, or white space in a field name.
class HttpServer {
public:
  using Handler =
      std::function<void(HttpServerRequest, std::shared_ptr<HttpExchange>)>;

  HttpServer(EventLoop &Loop, Handler Handle);
  ~HttpServer();

  /// Errors: InvalidSettings when the address cannot be bound.
  Result<void> listen(const Address &Where);
  /// The address on which the server listens, with the chosen port if port 0
  /// was requested.
  Address address() const;
  void setLimits(const HttpServerLimits &Limits);
  /// Sets the function that provides the header fields of the server's own
  /// refusals, from the request's head if it was received.
  void
  setRefusalFields(std::function<HttpFields(const HttpRequestHead &)> Fields);
  /// Sets a callback for each request that is refused while it is received.
  void onRefused(std::function<void(const ReadRefusal &)> Callback);
  /// Sets a callback for each response that is broken off unread.
  void onUnread(std::function<void(const UnreadResponse &)> Callback);

  /// Closes each connection after its next response.
  void closeAfterResponses();
  /// Stops accepting connections and closes those that are idle.
  void stopListening();
  /// Number of requests without a complete response.
  std::size_t inFlight() const;
  /// Bytes held by the bodies of requests that are being received or served,
  /// and by responses that are not yet sent.
  std::size_t bodyBytesHeld() const;
  std::size_t unsentBytesHeld() const;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
