#ifndef CELERYBEAM_RELAY_EVENTSPLITTER_H
#define CELERYBEAM_RELAY_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace celerybeam {

/// Splits the bytes of an event stream into whole events, so that a stream that
/// breaks inside an event can resume at another endpoint, and checks that the
/// runs of a stream continue one another.
class EventSplitter {
public:
  /// Adds bytes of the current run. \return the events that they complete,
  /// unchanged. Returns nothing more of a run that is out of order.
  std::string take(std::string_view Bytes);

  /// Begins the stream of another run. An incomplete event of the previous run
  /// is dropped. If events were delivered, the first event of the new run must
  /// have a number above theirs.
  void beginRun();

  /// Bytes after the last whole event of the current run.
  const std::string &partial() const { return Partial_; }
  /// Id of the last event delivered that has a number, as received; empty
  /// before the first.
  const std::string &lastId() const { return LastId_; }
  /// Whether another run can go on after the last event delivered, or from the
  /// beginning if there was none. An event without a number has no known place.
  bool mayResume() const { return MayResume_; }
  /// Whether the current run does not continue the stream: an event's number
  /// was not above the previous one, the first event of a resumed run had no
  /// number, or data that is no event followed a numbered event.
  bool outOfOrder() const { return OutOfOrder_; }
  /// Whether the stream may end here when its end was marked. A numbered stream
  /// does not end inside an event, and a resumed run without any event is not
  /// known to be the rest of the stream.
  bool mayEnd() const;
  /// Whether the stream may end here when only its connection has ended: the
  /// current run has delivered an event, and at most blank lines follow what
  /// was delivered.
  bool mayEndUnmarked() const;
  /// Whether the incomplete event exceeds MaxEventBytes, so that the data is
  /// not an event stream.
  bool isEndless() const { return Partial_.size() > MaxEventBytes; }

  /// Longest event that is accepted, in bytes.
  static constexpr std::size_t MaxEventBytes = 262144;
  /// Number of events delivered. Comments do not count.
  std::uint64_t delivered() const { return Delivered_; }

private:
  /// \return whether the event continues the stream.
  bool accept(std::string_view Event);

  std::string Partial_;
  std::string LastId_;
  std::optional<std::uint64_t> LastNumber_;
  std::uint64_t Delivered_ = 0;
  bool MayResume_ = true;
  bool OutOfOrder_ = false;
  /// Whether the current run has resumed the stream and no event of it has been
  /// delivered.
  bool AwaitsContinuation_ = false;
};

} // namespace celerybeam

#endif
