#include "relay/timerqueue.h"

#include <utility>

namespace celerybeam {

TimerId TimerQueue::add(TimePoint At, Task Work) {
  TimerId Id{At, ++LastSerial_};
  Tasks_.emplace(Id, std::move(Work));
  return Id;
}

void TimerQueue::cancel(const TimerId &Id) {
  // The task is destroyed after the queue is consistent again, because its
  // destructor may use the queue.
  auto Dropped = Tasks_.extract(Id);
}

std::optional<TimePoint> TimerQueue::next() const {
  if (Tasks_.empty())
    return std::nullopt;
  return Tasks_.begin()->first.At;
}

void TimerQueue::clear() {
  // The destructor of a task may cancel timers and add new ones.
  while (!Tasks_.empty())
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
    {
      auto Node = Tasks_.extract(Next);
      Node.mapped()();
    }
    // The task or its destructor may have added and cancelled timers.
    Next = Tasks_.lower_bound(Ran);
  }
}

} // namespace celerybeam
