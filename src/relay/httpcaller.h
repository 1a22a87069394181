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

/// A request to an endpoint, another entry host or the platform's store.
struct HttpCallRequest {
  Address To;
  HttpRequestHead Head;
  std::shared_ptr<const std::string> Body;
  Duration ConnectTimeout = std::chrono::milliseconds(400);
  /// The whole call; unset: the caller cancels it.
  std::optional<Duration> Timeout;
  /// A connection that has been idle for longer is not used again; zero
  /// always makes a new one.
  Duration ReuseIdleAtMost{};
};

/// What to do with an answer whose head has come.
enum class HeadVerdict {
  Take,
  /// It belongs to an earlier request on this connection; the own one follows.
  Skip,
  /// It is not an answer; the call ends as broken.
  Spoiled,
};

enum class HttpCallEnd {
  Complete,
  /// No connection, or not wanted any more: not a byte was sent.
  NotConnected,
  /// The connection broke, was silent for too long, or gave bytes that are no
  /// answer. The request may have been read.
  Broken,
  TimedOut,
};

/// What a call tells its owner, never on the calling stack; nothing after End
/// or after cancel.
struct HttpCallHooks {
  /// Asked once, when the connection stands and not a byte has been sent; may
  /// change the head, whose times may have grown old meanwhile. \return
  /// whether it is still to be sent; otherwise the call ends as NotConnected.
  std::function<bool(HttpRequestHead &)> BeforeSend;
  std::function<HeadVerdict(const HttpResponseHead &)> Head;
  /// \return whether the call goes on; otherwise it ends as broken.
  std::function<bool(std::string_view)> Body;
  std::function<void(HttpCallEnd)> End;
};

/// One call under way.
class HttpCall {
public:
  virtual ~HttpCall() = default;
  /// Closes the connection; no hook is called any more.
  virtual void cancel() = 0;
  /// Whether it has a connection on which other calls were answered before.
  virtual bool isReused() const = 0;
};

/// Makes HTTP calls and keeps idle connections. Resends nothing on its own.
class HttpCaller {
public:
  explicit HttpCaller(EventLoop &Loop);
  ~HttpCaller();

  std::shared_ptr<HttpCall> call(HttpCallRequest Request, HttpCallHooks Hooks);

  /// Connections made since the start.
  std::uint64_t connectionsMade() const;
  /// Closes idle connections that are too old. Call once a second.
  void tick();

  /// Unacknowledged bytes for longer than this end a connection: its other
  /// end is dead, dark or behind a partition.
  static constexpr Duration AckTimeout = std::chrono::milliseconds(1500);
  /// Idle connections to one address at most.
  static constexpr std::size_t MaxIdle = 8;
  /// Longest that a connection is kept idle.
  static constexpr Duration MaxIdleTime = std::chrono::seconds(4);

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
