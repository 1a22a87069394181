#include <boost/test/unit_test.hpp>

#include "relay/eventcutter.h"

using celerybeam::EventCutter;

BOOST_AUTO_TEST_SUITE(EventCutterTests)

BOOST_AUTO_TEST_CASE(cutsAtAnyByte) {
  const std::string Stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
  for (std::size_t At = 0; At <= Stream.size(); ++At) {
    EventCutter Cutter;
    std::string Out = Cutter.take(Stream.substr(0, At));
    Out += Cutter.take(Stream.substr(At));
    BOOST_TEST(Out == Stream);
    BOOST_TEST(Cutter.lastId() == "2");
    BOOST_TEST(Cutter.partial().empty());
  }
}

BOOST_AUTO_TEST_CASE(dropsAPartWhenAnotherRunFollows) {
  EventCutter Cutter;
  Cutter.take("id: 1\n\nid: 2\nda");
  Cutter.beginRun();
  BOOST_TEST(Cutter.take("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
}

BOOST_AUTO_TEST_CASE(eventsThatCameBeforeAreDropped) {
  EventCutter Cutter;
  Cutter.take("id: 1\n\nid: 2\n\n");
  Cutter.beginRun();
  BOOST_TEST(Cutter.take("id: 2\n\nid: 3\n\n") == "id: 3\n\n");
  BOOST_TEST(Cutter.outOfOrder());
}

BOOST_AUTO_TEST_SUITE_END()
