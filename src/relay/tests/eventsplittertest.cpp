#include <boost/test/unit_test.hpp>

#include "relay/eventsplitter.h"

using celerybeam::EventSplitter;

BOOST_AUTO_TEST_SUITE(EventCutterTests)

BOOST_AUTO_TEST_CASE(splitsInputCutAtAnyByte) {
  const std::string Stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
  for (std::size_t At = 0; At <= Stream.size(); ++At) {
    EventSplitter Splitter;
    std::string Out = Splitter.take(Stream.substr(0, At));
    Out += Splitter.take(Stream.substr(At));
    BOOST_TEST(Out == Stream);
    BOOST_TEST(Splitter.lastId() == "2");
    BOOST_TEST(Splitter.partial().empty());
  }
}

BOOST_AUTO_TEST_CASE(dropsIncompleteEventWhenAnotherRunBegins) {
  EventSplitter Splitter;
  Splitter.take("id: 1\n\nid: 2\nda");
  Splitter.beginRun();
  BOOST_TEST(Splitter.take("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
}

BOOST_AUTO_TEST_CASE(runThatRepeatsEventsIsNotJoined) {
  EventSplitter Splitter;
  Splitter.take("id: 1\n\nid: 2\n\n");
  Splitter.beginRun();
  BOOST_TEST(Splitter.take("id: 2\n\nid: 3\n\n").empty());
  BOOST_TEST(Splitter.outOfOrder());
  BOOST_TEST(Splitter.take("id: 3\n\n").empty());
  BOOST_TEST(Splitter.lastId() == "2");
  Splitter.beginRun();
  BOOST_TEST(!Splitter.mayEnd());
  BOOST_TEST(Splitter.take("id: 3\n\n") == "id: 3\n\n");
  BOOST_TEST(Splitter.mayEnd());
}

BOOST_AUTO_TEST_CASE(numberedStreamDoesNotEndInsideAnEvent) {
  for (const char *Tail : {"id: 2\nda", "id: 2\ndata: b\n", "<html>", "i"}) {
    EventSplitter Splitter;
    Splitter.take("id: 1\n\n");
    BOOST_TEST(Splitter.mayEnd());
    Splitter.take(Tail);
    BOOST_TEST(!Splitter.mayEnd(), Tail);
  }
}

BOOST_AUTO_TEST_CASE(commentsAndEmptyLinesMayFollowTheLastEvent) {
  EventSplitter Splitter;
  const std::string Stream = "id: 1\n\n\n: end\r\n";
  BOOST_TEST(Splitter.take(Stream) + Splitter.partial() == Stream);
  BOOST_TEST(Splitter.mayEnd());
}

BOOST_AUTO_TEST_SUITE_END()
