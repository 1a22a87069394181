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

BOOST_AUTO_TEST_CASE(runsInOrderOfTimeThenOfSetting) {
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

// Both are due since the loop stood still.
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

BOOST_AUTO_TEST_CASE(whatATimerAddsWaitsForTheNextCall) {
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

BOOST_AUTO_TEST_CASE(cancelOfATimerThatRanDoesNothing) {
  TimerQueue Queue;
  TimerId Id = Queue.add(at(1), [] {});
  Queue.runDue(at(1));
  Queue.cancel(Id);
  Queue.cancel(TimerId());
  BOOST_TEST(!Queue.next().has_value());
}

BOOST_AUTO_TEST_CASE(timerSetAnewRunsOnceOnly) {
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
