#include "admission/internal/fairqueue.h"

#include <boost/test/unit_test.hpp>

using namespace celerybeam;
using namespace std::chrono_literals;
using celerybeam::detail::FairQueue;

namespace {

void push(FairQueue &Queue, const std::string &Request,
          const std::string &Customer, Duration Deadline, double Cost = 1) {
  Queue.push({RequestId(Request), CustomerId(Customer), TimePoint(Deadline),
              TimePoint(), Cost});
}

std::string popAll(FairQueue &Queue) {
  std::string Order;
  while (auto Next = Queue.pop())
    Order += Next->Request.str() + " ";
  return Order;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FairQueueTests)

BOOST_AUTO_TEST_CASE(earliestDeadlineGoesFirstWithinACustomer) {
  FairQueue Queue;
  push(Queue, "a", "t", 3s);
  push(Queue, "b", "t", 1s);
  push(Queue, "c", "t", 2s);
  BOOST_TEST(popAll(Queue) == "b c a ");
}

BOOST_AUTO_TEST_CASE(customersTakeTurnsHoweverMuchOneSends) {
  FairQueue Queue;
  for (int I = 0; I < 4; ++I)
    push(Queue, "f" + std::to_string(I), "flood", I * 1s);
  push(Queue, "p0", "polite", 9s);
  push(Queue, "p1", "polite", 9s);
  BOOST_TEST(popAll(Queue) == "f0 p0 f1 p1 f2 f3 ");
}

BOOST_AUTO_TEST_CASE(costlyRequestsTakeMoreOfACustomersTurns) {
  FairQueue Queue;
  for (int I = 0; I < 2; ++I)
    push(Queue, "h" + std::to_string(I), "heavy", I * 1s, 3);
  for (int I = 0; I < 4; ++I)
    push(Queue, "l" + std::to_string(I), "light", I * 1s, 1);
  BOOST_TEST(popAll(Queue) == "h0 l0 l1 l2 h1 l3 ");
}

BOOST_AUTO_TEST_CASE(amongCustomersWithEqualTurnsTheEarliestDeadlineGoesFirst) {
  FairQueue Queue;
  push(Queue, "late", "a", 9s);
  push(Queue, "early", "z", 1s);
  BOOST_TEST(popAll(Queue) == "early late ");
}

BOOST_AUTO_TEST_CASE(newCustomersDoNotOvertakeThoseThatWait) {
  FairQueue Queue;
  push(Queue, "first", "zz", 1s);
  for (int I = 0; I < 5; ++I) {
    push(Queue, "n" + std::to_string(I), "t" + std::to_string(I), 2s + I * 1s);
    if (I == 1)
      BOOST_TEST(Queue.pop()->Request == RequestId("first"));
  }
  BOOST_TEST(popAll(Queue) == "n0 n1 n2 n3 n4 ");
}

BOOST_AUTO_TEST_CASE(aSecondRequestIsServedThoughNewCustomersKeepComing) {
  FairQueue Queue;
  push(Queue, "b0", "busy", 1s);
  push(Queue, "b1", "busy", 2s);
  push(Queue, "w", "waiting", 2s);
  unsigned Pops = 0;
  for (int I = 0; I < 20; ++I) {
    push(Queue, "n" + std::to_string(I), "t" + std::to_string(I), 3s + I * 1s);
    ++Pops;
    if (Queue.pop()->Request == RequestId("b1"))
      break;
  }
  BOOST_TEST(Pops <= 8U);
}

BOOST_AUTO_TEST_CASE(theNewestOfTheLargestCustomerIsShed) {
  FairQueue Queue;
  push(Queue, "p", "polite", 9s);
  push(Queue, "f0", "flood", 5s);
  push(Queue, "f1", "flood", 1s);
  push(Queue, "q", "other", 9s);
  BOOST_TEST(Queue.shed()->Request == RequestId("f1"));
  BOOST_TEST(Queue.size() == 3U);
}

BOOST_AUTO_TEST_CASE(requestsPastTheirDeadlineAreRemoved) {
  FairQueue Queue;
  push(Queue, "a", "t", 1s);
  push(Queue, "b", "t", 3s);
  push(Queue, "c", "u", 2s);
  BOOST_TEST(Queue.removeDueBefore(TimePoint(2500ms)).size() == 2U);
  BOOST_TEST(popAll(Queue) == "b ");
}

BOOST_AUTO_TEST_CASE(aheadCountsTurnsNotTheWholeQueue) {
  FairQueue Queue;
  for (int I = 0; I < 50; ++I)
    push(Queue, "f" + std::to_string(I), "flood", 1s);
  BOOST_TEST(Queue.ahead(CustomerId("polite")) == 1U);
  BOOST_TEST(Queue.ahead(CustomerId("flood")) == 50U);
  BOOST_TEST(FairQueue().ahead(CustomerId("polite")) == 0U);
}

BOOST_AUTO_TEST_CASE(removalDropsAnIdleCustomer) {
  FairQueue Queue;
  push(Queue, "a", "t", 1s);
  BOOST_TEST(Queue.remove(RequestId("a")).has_value());
  BOOST_TEST(!Queue.remove(RequestId("a")).has_value());
  BOOST_TEST(Queue.empty());
  BOOST_TEST(!Queue.pop().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
