#include "support/virtualtime.h"

#include <algorithm>

namespace celerybeam::testing {

namespace {

/// Wall time at the zero of the virtual clock: 2026-01-01.
constexpr UnixMillis WallAtZero{1767225600000};

} // namespace

VirtualTime::VirtualTime(std::uint64_t Seed) : Random_(Seed) {}

UnixMillis VirtualTime::wallNow() const {
  return WallAtZero +
         std::chrono::duration_cast<UnixMillis>(Now_.time_since_epoch());
}

void VirtualTime::after(Duration Delay, Task Work) {
  Tasks_.emplace(TaskKey(Now_ + Delay, ++Serial_), std::move(Work));
}

bool VirtualTime::step() {
  if (Tasks_.empty())
    return false;
  auto Node = Tasks_.extract(Tasks_.begin());
  Now_ = std::max(Now_, Node.key().first);
  Node.mapped()();
  return true;
}

void VirtualTime::runFor(Duration Span) {
  TimePoint End = Now_ + Span;
  while (!Tasks_.empty() && Tasks_.begin()->first.first <= End)
    step();
  Now_ = std::max(Now_, End);
}

bool VirtualTime::runUntil(const std::function<bool()> &Holds, Duration Limit) {
  TimePoint End = Now_ + Limit;
  while (!Holds()) {
    if (Tasks_.empty() || Tasks_.begin()->first.first > End)
      return false;
    step();
  }
  return true;
}

Runtime VirtualTime::runtime() {
  return {[this] { return now(); }, [this] { return wallNow(); },
          [this] { return random(); },
          [this](Duration Delay, Task Work) { after(Delay, std::move(Work)); }};
}

} // namespace celerybeam::testing
