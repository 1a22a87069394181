#include "recovery/streamassembler.h"

#include <boost/test/unit_test.hpp>

using namespace celerybeam;

namespace {

std::string event(unsigned Index) {
  std::string I = std::to_string(Index);
  return "id: " + I + "\ndata: {\"t\":" + I + "}\n\n";
}

std::string events(unsigned From, unsigned To) {
  std::string Text;
  for (unsigned I = From; I < To; ++I)
    Text += event(I);
  return Text;
}

const std::string Final = "data: [DONE]\n\n";

} // namespace

BOOST_AUTO_TEST_SUITE(StreamAssemblerTests)

BOOST_AUTO_TEST_CASE(anySplitGivesTheSameEvents) {
  const std::string Whole = events(0, 3) + Final;
  for (std::size_t First = 0; First <= Whole.size(); ++First)
    for (std::size_t Second = First; Second <= Whole.size(); ++Second) {
      StreamAssembler Stream;
      Stream.beginAttempt(1);
      std::string Received;
      for (const std::string &Chunk :
           {Whole.substr(0, First), Whole.substr(First, Second - First),
            Whole.substr(Second)})
        Received += Stream.take(1, Chunk)->Events;
      BOOST_REQUIRE_EQUAL(Received, Whole);
      BOOST_REQUIRE(Stream.done());
    }
}

BOOST_AUTO_TEST_CASE(resumeAtAnyByteDeliversEachTokenOnce) {
  const std::string Whole = events(0, 6) + Final;
  for (std::size_t SplitAt = 0; SplitAt < Whole.size(); ++SplitAt) {
    StreamAssembler Stream;
    Stream.beginAttempt(1);
    std::string Received = Stream.take(1, Whole.substr(0, SplitAt))->Events;
    Stream.beginAttempt(2);
    // An engine may resume at an earlier token than requested, never later.
    auto From = static_cast<unsigned>(Stream.nextIndex());
    From = From > 0 ? From - 1 : 0;
    Received += Stream.take(2, events(From, 6) + Final)->Events;
    BOOST_REQUIRE_EQUAL(Received, Whole);
  }
}

BOOST_AUTO_TEST_CASE(chunksOfAnotherAttemptAreDropped) {
  StreamAssembler Stream;
  Stream.beginAttempt(1);
  Stream.take(1, event(0) + "id: 1\nda");
  Stream.beginAttempt(2);
  BOOST_TEST(Stream.take(1, "ta: late\n\n")->Events.empty());
  BOOST_TEST(Stream.staleChunks() == 1U);
  BOOST_TEST(Stream.take(2, event(1))->Events == event(1));
}

BOOST_AUTO_TEST_CASE(missingTokenIsRefusedAndEarlierEventsAreDelivered) {
  StreamAssembler Stream;
  Stream.beginAttempt(1);
  auto Invalid = Stream.take(1, event(0) + event(2));
  BOOST_REQUIRE(!Invalid);
  BOOST_TEST((Invalid.error().Kind == ErrorKind::EndpointFailed));
  BOOST_TEST(!Stream.take(1, event(1)));
  BOOST_TEST(Stream.nextIndex() == 1U);
  Stream.beginAttempt(2);
  auto Resumed = Stream.take(2, event(1) + Final);
  BOOST_REQUIRE(Resumed);
  BOOST_TEST(Resumed->Events == events(0, 2) + Final);
  BOOST_TEST(Resumed->Tokens == 2U);
}

BOOST_AUTO_TEST_CASE(commentsAndCarriageReturnsAreParsed) {
  StreamAssembler Stream;
  Stream.beginAttempt(1);
  auto Out = Stream.take(1, ": keep-alive\r\n\r\nid:0\r\ndata:a\r\ndata: b\r\n"
                            "\r\n");
  BOOST_TEST(Out->Events == "id: 0\ndata: a\ndata: b\n\n");
}

BOOST_AUTO_TEST_CASE(eventWithoutIndexIsRefused) {
  StreamAssembler Stream;
  Stream.beginAttempt(1);
  BOOST_TEST(!Stream.take(1, "data: {}\n\n"));
}

BOOST_AUTO_TEST_CASE(oversizedEventIsRefused) {
  StreamAssembler Stream;
  Stream.beginAttempt(1);
  std::string Chunk(StreamAssembler::MaxEventBytes, 'x');
  BOOST_TEST(Stream.take(1, Chunk).has_value());
  BOOST_TEST(!Stream.take(1, "x"));
}

BOOST_AUTO_TEST_CASE(nothingFollowsTheFinalEvent) {
  StreamAssembler Stream;
  Stream.beginAttempt(1);
  BOOST_TEST(Stream.take(1, event(0) + Final + event(1))->Tokens == 1U);
  BOOST_TEST(Stream.take(1, event(1))->Events.empty());
}

BOOST_AUTO_TEST_SUITE_END()
