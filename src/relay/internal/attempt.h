#ifndef CELERYBEAM_RELAY_INTERNAL_ATTEMPT_H
#define CELERYBEAM_RELAY_INTERNAL_ATTEMPT_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "relay/eventsplitter.h"
#include "relay/relaytypes.h"

namespace celerybeam::detail {

/// How one attempt to run a request ended.
enum class AttemptEnd {
  /// No connection was made, or BeforeSend declined. Nothing was sent.
  NotConnected,
  /// The request may have run, but no complete valid response was received.
  Broken,
  /// The other end states that it has not run the request.
  NotRun,
  /// A complete response was received, successful or not.
  Answered,
  /// A complete stream was received and its events were delivered.
  StreamEnded,
};

/// Callbacks of an attempt. Never invoked on the stack of start(), and not
/// after End or cancel().
struct AttemptHooks {
  /// See HttpCallHooks::BeforeSend.
  std::function<bool(HttpRequestHead &)> BeforeSend;
  /// Receives whole events of a stream.
  std::function<void(std::string_view)> Events;
  /// Called when the other end reports that it is shutting down or requests a
  /// back-off.
  std::function<void(const ReportedAvailability &)> AvailabilityReported;
  std::function<void(AttemptEnd)> End;
};

/// One attempt to run a request at an endpoint or through another entry host.
/// Receives the response and distinguishes it from other data that may arrive
/// on the connection, including data without end.
class Attempt : public std::enable_shared_from_this<Attempt> {
public:
  /// \param ToHost  whether the request goes to an entry host instead of an
  /// endpoint.
  /// \param Streams  whether a successful response is an event stream.
  /// \param Splitter  splits the events of all attempts of the request.
  Attempt(RelayContext &Context, RequestId Id, bool ToHost, bool Streams,
          EventSplitter &Splitter, AttemptHooks Hooks);

  void start(HttpCallRequest Request);
  /// Closes the connection. No hook is called afterwards.
  void cancel();

  /// The head of the response, once received.
  const HttpResponseHead &head() const { return Head_; }
  /// The body of a response that is not a stream.
  std::string takeBody() { return std::move(Body_); }
  bool isEvents() const { return Events_; }
  /// Whether the response is awaited or being received.
  bool isUnderWay() const { return Call_ != nullptr; }
  const ResponseProgress &progress() const;
  /// What was received of the response, for the log.
  std::string describeReceived() const;
  Duration sinceSent() const;
  /// The slowness that the endpoint reported; see ReportedLoad.
  std::optional<double> slowness() const { return Slowness_; }
  /// Whether the endpoint requested a back-off.
  bool wantsBackOff() const {
    return Availability_.BackOffFor > Duration::zero();
  }

private:
  HeadVerdict takeHead(const HttpResponseHead &Head);
  void takeAvailability(const HttpResponseHead &Head);
  bool takeBody(std::string_view Data);
  void ended(HttpCallEnd End);
  /// Whether a response that has ended so may be passed on as complete.
  bool isWhole(HttpCallEnd End) const;

  RelayContext &Context_;
  RequestId Id_;
  bool ToHost_;
  bool Streams_;
  EventSplitter &Splitter_;
  AttemptHooks Hooks_;
  std::shared_ptr<HttpCall> Call_;
  /// Of the call, once that has ended.
  ResponseProgress Progress_;
  TimePoint Sent_{};
  HttpResponseHead Head_;
  std::string Body_;
  ByteBudget::Share BodyShare_;
  bool NotRun_ = false;
  bool Events_ = false;
  bool Cancelled_ = false;
  /// Set while the Events hook runs.
  bool InEventsHook_ = false;
  std::optional<double> Slowness_;
  ReportedAvailability Availability_;
};

} // namespace celerybeam::detail

#endif
