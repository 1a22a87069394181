#ifndef CELERYBEAM_RELAY_HTTPCALLER_H
#define CELERYBEAM_RELAY_HTTPCALLER_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "blackboard/idtypes.h"
#include "framework/runtime.h"
#include "relay/eventloop.h"
#include "relay/httptext.h"

namespace celerybeam {

/// An outgoing request to an endpoint, another entry host or the platform's
/// store.
struct HttpCallRequest {
  Address To;
  HttpRequestHead Head;
  std::shared_ptr<const std::string> Body;
  Duration ConnectTimeout = std::chrono::milliseconds(400);
  /// Limit for the whole call; unset: only the owner ends it, by cancel().
  std::optional<Duration> Timeout;
  /// Limit for the time in which nothing of the response arrives, from the
  /// start of the call on. For responses whose length the caller does not know:
  /// on a slow link they take longer than any limit for the whole call allows.
  std::optional<Duration> SilenceTimeout;
  /// Added to it until the response begins, where the other end holds the call
  /// until there is something to tell.
  Duration LongPoll{};
  /// A pooled connection is reused only if it has been idle for at most this
  /// long. Zero always opens a new connection.
  Duration ReuseIdleAtMost{};
};

/// How the call treats a response whose head has been received.
enum class HeadVerdict {
  Accept,
  /// The response belongs to an earlier request on this connection; the
  /// response to this request follows.
  Skip,
  /// Not a valid response; the call ends as Broken.
  Invalid,
};

enum class HttpCallEnd {
  /// The response marked its own end, and that was received.
  Complete,
  /// The response had neither a length nor chunks and ended with its
  /// connection. It may have been broken off; only its content can tell.
  Unmarked,
  /// No connection was made, or BeforeSend declined. Nothing was sent.
  NotConnected,
  /// The connection broke, left sent bytes unacknowledged for longer than
  /// AckTimeout, delivered an invalid response, or ended before the other end
  /// had the whole request and without a response that marked its end. The
  /// request may have been received.
  Broken,
  TimedOut,
};

/// Callbacks of a call. Never invoked on the stack of HttpCaller::call, and not
/// after End or HttpCall::cancel.
struct HttpCallHooks {
  /// Called once, when the connection is established and nothing has been sent.
  /// May change the head, for example to update times. \return whether to send
  /// the request; if false, the call ends as NotConnected.
  std::function<bool(HttpRequestHead &)> BeforeSend;
  std::function<HeadVerdict(const HttpResponseHead &)> Head;
  /// Receives the body in parts. \return whether to continue; if false, the
  /// call ends as Broken.
  std::function<bool(std::string_view)> Body;
  std::function<void(HttpCallEnd)> End;
};

/// How a response states where its body ends.
enum class ResponseFraming {
  /// By a length, or by a status or method that allows no body.
  Length,
  Chunks,
  /// By the end of the connection.
  Close,
};

/// How the other end left the connection.
enum class PeerClose {
  None,
  Closed,
  Reset,
  /// It left sent bytes unacknowledged for AckTimeout.
  Silent,
};

/// What a call has received of its response.
struct ResponseProgress {
  /// Unset before the head.
  std::optional<ResponseFraming> Framing;
  std::uint64_t BodyBytes = 0;
  PeerClose Peer = PeerClose::None;
};

/// A call in progress.
class HttpCall {
public:
  virtual ~HttpCall() = default;
  /// Closes the connection. No hook is called afterwards.
  virtual void cancel() = 0;
  /// Whether the call uses a connection that has already served other calls, or
  /// that has delivered a response to another request.
  virtual bool isReused() const = 0;
  virtual const ResponseProgress &progress() const = 0;
};

/// Whether a call to this address can connect: it is the IP address of one host
/// and a port, without a zone id or brackets.
bool isCallable(const Address &To);

/// Makes HTTP calls and pools idle connections. Never resends a request by
/// itself.
class HttpCaller {
public:
  explicit HttpCaller(EventLoop &Loop);
  ~HttpCaller();

  std::shared_ptr<HttpCall> call(HttpCallRequest Request, HttpCallHooks Hooks);

  /// Number of connections that were opened since the start.
  std::uint64_t connectionsMade() const;
  /// Closes idle connections that exceeded their idle time. Call once per
  /// second.
  void tick();

  /// A connection is closed when sent bytes stay unacknowledged for this long:
  /// the other end is dead, unresponsive or partitioned.
  static constexpr Duration AckTimeout = std::chrono::milliseconds(1500);
  /// Maximum number of idle connections per address.
  static constexpr std::size_t MaxIdle = 8;
  /// Maximum time for which a connection stays idle in the pool.
  static constexpr Duration MaxIdleTime = std::chrono::seconds(4);

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
