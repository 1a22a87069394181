#include <boost/test/unit_test.hpp>

#include "relay/timer.h"
#include "relay/timerqueue.h"

using namespace celerybeam;

namespace {

TimePoint at(int Millis) {
  return TimePoint(std::chrono::milliseconds(Millis));
}

} // namespace

BOOST_AUTO_TEST_SUITE(TimerQueueTests)

BOOST_AUTO_TEST_CASE(runsInOrderOfTimeThenOfAdding) {
  TimerQueue Queue;
  std::string Ran;
  Queue.add(at(20), [&] { Ran += 'c'; });
  Queue.add(at(10), [&] { Ran += 'a'; });
  Queue.add(at(10), [&] { Ran += 'b'; });
  Queue.add(at(30), [&] { Ran += 'd'; });
  Queue.runDue(at(20));
  BOOST_TEST(Ran == "abc");
  BOOST_TEST((Queue.next() == at(30)));
}

// Both timers are due in the same call because the loop stalled.
BOOST_AUTO_TEST_CASE(timerCancelledByAnotherThatIsDueDoesNotRun) {
  TimerQueue Queue;
  bool Ran = false;
  TimerId Second;
  Queue.add(at(10), [&] { Queue.cancel(Second); });
  Second = Queue.add(at(20), [&] { Ran = true; });
  Queue.runDue(at(1000));
  BOOST_TEST(!Ran);
  BOOST_TEST(!Queue.next().has_value());
}

BOOST_AUTO_TEST_CASE(timerAddedByATaskWaitsForTheNextCall) {
  TimerQueue Queue;
  int Ran = 0;
  std::function<void()> Again = [&] {
    ++Ran;
    Queue.add(at(0), Again);
  };
  Queue.add(at(10), Again);
  Queue.add(at(20), [&] { ++Ran; });
  Queue.runDue(at(20));
  BOOST_TEST(Ran == 2);
  Queue.runDue(at(20));
  BOOST_TEST(Ran == 3);
}

// The task owns an object whose destructor cancels the next timer and adds one.
BOOST_AUTO_TEST_CASE(taskDestructorMayUseTheQueue) {
  TimerQueue Queue;
  bool Ran = false;
  TimerId Second;
  auto Cancels = std::shared_ptr<int>(new int(0), [&](int *Held) {
    delete Held;
    Queue.cancel(Second);
    Queue.add(at(30), [] {});
  });
  TimerId First = Queue.add(at(10), [Held = std::move(Cancels)] {});
  Second = Queue.add(at(20), [&] { Ran = true; });
  Queue.runDue(at(20));
  BOOST_TEST(!Ran);
  BOOST_TEST((Queue.next() == at(30)));
  Queue.clear();
  BOOST_TEST(!Queue.next().has_value());
  // The queue's only timer is cancelled, and its destructor adds another.
  auto Adds = std::shared_ptr<int>(new int(0), [&](int *Held) {
    delete Held;
    Queue.add(at(40), [] {});
  });
  First = Queue.add(at(10), [Held = std::move(Adds)] {});
  Queue.cancel(First);
  BOOST_TEST((Queue.next() == at(40)));
}

BOOST_AUTO_TEST_CASE(cancelOfATimerThatRanDoesNothing) {
  TimerQueue Queue;
  TimerId Id = Queue.add(at(1), [] {});
  Queue.runDue(at(1));
  Queue.cancel(Id);
  Queue.cancel(TimerId());
  BOOST_TEST(!Queue.next().has_value());
}

BOOST_AUTO_TEST_CASE(restartedTimerRunsOnce) {
  TimePoint Now = at(0);
  EventLoop Loop([&] { return Now; });
  std::string Ran;
  {
    Timer T(Loop);
    T.set(std::chrono::milliseconds(10), [&] { Ran += 'a'; });
    T.set(std::chrono::milliseconds(20), [&] { Ran += 'b'; });
    Now = at(1000);
    Loop.timers().runDue(Now);
    BOOST_TEST(Ran == "b");
    T.set(std::chrono::milliseconds(10), [&] { Ran += 'c'; });
    Now = at(2000);
  }
  Loop.timers().runDue(Now);
  BOOST_TEST(Ran == "b");
}

BOOST_AUTO_TEST_SUITE_END()
