#ifndef CELERYBEAM_RELAY_EVENTSPLITTER_H
#define CELERYBEAM_RELAY_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace celerybeam {

/// Splits the bytes of an event stream into whole events, so that a stream that
/// breaks inside an event can resume at another endpoint.
class EventSplitter {
public:
  /// Adds bytes of the current run. \return the events that they complete,
  /// unchanged, without those whose id is not above the last one delivered.
  std::string take(std::string_view Bytes);

  /// Begins the stream of another run. An incomplete event of the previous run
  /// is dropped.
  void beginRun() { Partial_.clear(); }

  /// Bytes after the last whole event of the current run.
  const std::string &partial() const { return Partial_; }
  /// Id of the last event delivered, as received; empty before the first.
  const std::string &lastId() const { return LastId_; }
  /// Whether an event had an id that was not above the previous one.
  bool outOfOrder() const { return OutOfOrder_; }
  /// Whether the incomplete event exceeds MaxEventBytes, so that the data is
  /// not an event stream.
  bool isEndless() const { return Partial_.size() > MaxEventBytes; }

  /// Longest event that is accepted, in bytes.
  static constexpr std::size_t MaxEventBytes = 262144;
  std::uint64_t delivered() const { return Delivered_; }

private:
  bool accept(std::string_view Event);

  std::string Partial_;
  std::string LastId_;
  std::optional<std::uint64_t> LastNumber_;
  std::uint64_t Delivered_ = 0;
  bool OutOfOrder_ = false;
};

} // namespace celerybeam

#endif
