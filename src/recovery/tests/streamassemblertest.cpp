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

BOOST_AUTO_TEST_CASE(anyCutGivesTheSameEvents) {
  const std::string Whole = events(0, 3) + Final;
  for (std::size_t First = 0; First <= Whole.size(); ++First)
    for (std::size_t Second = First; Second <= Whole.size(); ++Second) {
      StreamAssembler Stream;
      Stream.beginAttempt(1);
      std::string Got;
      for (const std::string &Piece :
           {Whole.substr(0, First), Whole.substr(First, Second - First),
            Whole.substr(Second)})
        Got += Stream.take(1, Piece)->Events;
      BOOST_REQUIRE_EQUAL(Got, Whole);
      BOOST_REQUIRE(Stream.done());
    }
}

BOOST_AUTO_TEST_CASE(resumeAtAnyByteLosesAndDoublesNothing) {
  const std::string Whole = events(0, 6) + Final;
  for (std::size_t Cut = 0; Cut < Whole.size(); ++Cut) {
    StreamAssembler Stream;
    Stream.beginAttempt(1);
    std::string Got = Stream.take(1, Whole.substr(0, Cut))->Events;
    Stream.beginAttempt(2);
    // An engine may start earlier than asked, never later.
    auto From = static_cast<unsigned>(Stream.nextIndex());
    From = From > 0 ? From - 1 : 0;
    Got += Stream.take(2, events(From, 6) + Final)->Events;
    BOOST_REQUIRE_EQUAL(Got, Whole);
  }
}

BOOST_AUTO_TEST_CASE(anotherAttemptsBytesAreDropped) {
  StreamAssembler Stream;
  Stream.beginAttempt(1);
  Stream.take(1, event(0) + "id: 1\nda");
  Stream.beginAttempt(2);
  BOOST_TEST(Stream.take(1, "ta: late\n\n")->Events.empty());
  BOOST_TEST(Stream.crossedPieces() == 1U);
  BOOST_TEST(Stream.take(2, event(1))->Events == event(1));
}

BOOST_AUTO_TEST_CASE(gapIsRefusedAndEarlierEventsSurvive) {
  StreamAssembler Stream;
  Stream.beginAttempt(1);
  auto Broken = Stream.take(1, event(0) + event(2));
  BOOST_REQUIRE(!Broken);
  BOOST_TEST((Broken.error().Kind == ErrorKind::EndpointFailed));
  BOOST_TEST(!Stream.take(1, event(1)));
  BOOST_TEST(Stream.nextIndex() == 1U);
  Stream.beginAttempt(2);
  auto Resumed = Stream.take(2, event(1) + Final);
  BOOST_REQUIRE(Resumed);
  BOOST_TEST(Resumed->Events == events(0, 2) + Final);
  BOOST_TEST(Resumed->Tokens == 2U);
}

BOOST_AUTO_TEST_CASE(commentsAndCarriageReturnsAreRead) {
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

BOOST_AUTO_TEST_CASE(endlessEventIsRefused) {
  StreamAssembler Stream;
  Stream.beginAttempt(1);
  std::string Piece(StreamAssembler::MaxEventBytes, 'x');
  BOOST_TEST(Stream.take(1, Piece).has_value());
  BOOST_TEST(!Stream.take(1, "x"));
}

BOOST_AUTO_TEST_CASE(nothingFollowsTheFinalEvent) {
  StreamAssembler Stream;
  Stream.beginAttempt(1);
  BOOST_TEST(Stream.take(1, event(0) + Final + event(1))->Tokens == 1U);
  BOOST_TEST(Stream.take(1, event(1))->Events.empty());
}

BOOST_AUTO_TEST_SUITE_END()
