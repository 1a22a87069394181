#ifndef CELERYBEAM_RELAY_INTERNAL_ATTEMPT_H
#define CELERYBEAM_RELAY_INTERNAL_ATTEMPT_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "relay/eventcutter.h"
#include "relay/relaytypes.h"

namespace celerybeam::detail {

/// How one send of a request ended.
enum class AttemptEnd {
  /// No connection, or not wanted any more: not a byte was sent.
  NotConnected,
  /// It may have run; what came is no whole answer.
  Broken,
  /// The other end says that the request has not run there.
  NotRun,
  /// A whole answer, good or bad.
  Answered,
  /// A whole stream, whose events have been handed on.
  StreamEnded,
};

/// What an attempt tells the relay, never on the calling stack of start;
/// nothing after End or cancel.
struct AttemptHooks {
  /// As in HttpCallHooks.
  std::function<bool(HttpRequestHead &)> BeforeSend;
  /// Whole events of a stream have come.
  std::function<void(std::string_view)> Events;
  /// The other end said that it leaves or wants a rest.
  std::function<void(const SaidWillingness &)> Said;
  std::function<void(AttemptEnd)> End;
};

/// One send of a request to an endpoint or another entry host: reads the
/// answer, and tells the request's own answer from everything else that may
/// come on the connection, also without end.
class Attempt : public std::enable_shared_from_this<Attempt> {
public:
  /// \param ToHost  whether it goes to an entry host, not to an endpoint.
  /// \param Streams  whether a good answer is a stream of events.
  /// \param Cutter  cuts the events over all attempts of the request.
  Attempt(RelayContext &Context, RequestId Id, bool ToHost, bool Streams,
          EventCutter &Cutter, AttemptHooks Hooks);

  void start(HttpCallRequest Request);
  /// Closes the connection.
  void cancel();

  /// The answer's head once it has come.
  const HttpResponseHead &head() const { return Head_; }
  /// The body of an answer that is no stream.
  std::string takeBody() { return std::move(Body_); }
  bool isEvents() const { return Events_; }
  /// Whether the answer is still awaited or read.
  bool isUnderWay() const { return Call_ != nullptr; }
  Duration sinceSent() const;
  /// What the endpoint said of its slowness.
  std::optional<double> slowness() const { return Slowness_; }
  /// Whether the endpoint asked for a rest.
  bool wantsRest() const { return Willingness_.RestFor > Duration::zero(); }

private:
  HeadVerdict takeHead(const HttpResponseHead &Head);
  void takeWillingness(const HttpResponseHead &Head);
  bool takeBody(std::string_view Data);
  void ended(HttpCallEnd End);

  RelayContext &Context_;
  RequestId Id_;
  bool ToHost_;
  bool Streams_;
  EventCutter &Cutter_;
  AttemptHooks Hooks_;
  std::shared_ptr<HttpCall> Call_;
  TimePoint Sent_{};
  HttpResponseHead Head_;
  std::string Body_;
  ByteBudget::Share Held_;
  bool NotRun_ = false;
  bool Events_ = false;
  bool Cancelled_ = false;
  /// While the Events hook runs.
  bool Telling_ = false;
  std::optional<double> Slowness_;
  SaidWillingness Willingness_;
};

} // namespace celerybeam::detail

#endif
