#ifndef CELERYBEAM_RELAY_EVENTCUTTER_H
#define CELERYBEAM_RELAY_EVENTCUTTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace celerybeam {

/// Cuts the bytes of an event stream at the ends of events, so that a stream
/// that breaks inside an event can go on at another endpoint.
class EventCutter {
public:
  /// Takes bytes of the present run. \return the whole events among them that
  /// follow the last one delivered, as they came.
  std::string take(std::string_view Bytes);

  /// A new run follows; a part of an event that the last one left is dropped.
  void beginRun() { Partial_.clear(); }

  /// Bytes after the last whole event of the run.
  const std::string &partial() const { return Partial_; }
  /// Id of the last event delivered, as it was written; empty before.
  const std::string &lastId() const { return LastId_; }
  /// Whether an event broke the order of ids.
  bool outOfOrder() const { return OutOfOrder_; }
  /// Whether what came is no stream of events: it goes on without the end of
  /// one.
  bool isEndless() const { return Partial_.size() > MaxEventBytes; }

  /// A single event is not longer.
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
