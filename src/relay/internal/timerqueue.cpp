#include "relay/timerqueue.h"

#include <utility>

namespace celerybeam {

TimerId TimerQueue::add(TimePoint At, Task Work) {
  TimerId Id{At, ++LastSerial_};
  Tasks_.emplace(Id, std::move(Work));
  return Id;
}

void TimerQueue::cancel(const TimerId &Id) { Tasks_.erase(Id); }

std::optional<TimePoint> TimerQueue::next() const {
  if (Tasks_.empty())
    return std::nullopt;
  return Tasks_.begin()->first.At;
}

void TimerQueue::clear() {
  // A task that goes may take the owner of another with it, which cancels it.
  auto Dropped = std::exchange(Tasks_, {});
}

void TimerQueue::runDue(TimePoint Now) {
  const std::uint64_t Newest = LastSerial_;
  auto Next = Tasks_.begin();
  while (Next != Tasks_.end() && Next->first.At <= Now) {
    if (Next->first.Serial > Newest) {
      ++Next;
      continue;
    }
    const TimerId Ran = Next->first;
    Task Work = std::move(Next->second);
    Tasks_.erase(Next);
    Work();
    // The task may have added and cancelled others.
    Next = Tasks_.lower_bound(Ran);
  }
}

} // namespace celerybeam
