#include <boost/test/unit_test.hpp>

#include "relay/eventsplitter.h"
#include "relay/tests/relayfixture.h"

using namespace celerybeam;
using testing::RawServer;

namespace {

bool hasStatus(const std::string &Answer, const char *Status) {
  return Answer.starts_with(std::string("HTTP/1.1 ") + Status);
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(RelayTests, testing::RelayFixture)

BOOST_AUTO_TEST_CASE(forwardsRequestAndResponseUnchanged) {
  RawServer &E = addEndpoint(
      "a", "plain", [](const std::string &R) { return ran(R, "done"); });
  std::string Answer = ask(request("book",
                                   "Colour: red\r\nPriority: 0\r\n"
                                   "Reserve: 1\r\n",
                                   "body"));
  BOOST_TEST(hasStatus(Answer, "200"));
  BOOST_TEST(Answer.ends_with("\r\n\r\ndone"));
  BOOST_REQUIRE(E.Requests.size() == 1U);
  BOOST_TEST(E.Requests[0].starts_with("POST /book/a HTTP/1.1\r\n"));
  BOOST_TEST(field(E.Requests[0], "Colour") == "red");
  BOOST_TEST(field(E.Requests[0], "Expected-Endpoint") == "a");
  BOOST_TEST(field(E.Requests[0], "Reserve").empty());
  BOOST_TEST(E.Requests[0].ends_with("\r\n\r\nbody"));
}

// A process that exceeds its memory is killed, and loses what it has accepted.
BOOST_AUTO_TEST_CASE(requestIsRefusedAtOnceWhileMemoryIsShort) {
  RawServer &E = addEndpoint(
      "a", "plain", [](const std::string &R) { return ran(R, "done"); });
  bool HasMemory = false;
  Context.Hooks.HasMemory = [&] { return HasMemory; };
  std::string Answer = ask(request("book"));
  BOOST_TEST(hasStatus(Answer, "503"));
  BOOST_TEST(!field(Answer, "Retry-After").empty());
  BOOST_TEST(E.Requests.empty());
  HasMemory = true;
  BOOST_TEST(hasStatus(ask(request("book")), "200"));
}

// A booking must never run twice: after its connection broke it may have run.
BOOST_AUTO_TEST_CASE(brokenBookingIsNeverSentAgain) {
  RawServer &A = addEndpoint("a", "plain", [](const std::string &) {
    return RawServer::Answer{"", false, true};
  });
  RawServer &B = addEndpoint("b", "plain", [](const std::string &) {
    return RawServer::Answer{"", false, true};
  });
  BOOST_TEST(hasStatus(ask(request("book")), "502"));
  BOOST_TEST(A.Requests.size() + B.Requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(refusedBookingGoesToAnotherEndpoint) {
  unsigned Refusals = 0;
  auto Refuse = [&](const std::string &R) {
    if (Refusals++ == 0)
      return RawServer::Answer{"HTTP/1.1 503 No\r\nNot-Executed: 1\r\n"
                               "Content-Length: 0\r\n\r\n",
                               false, false};
    return ran(R, "done");
  };
  addEndpoint("a", "plain", Refuse);
  addEndpoint("b", "plain", Refuse);
  BOOST_TEST(hasStatus(ask(request("book")), "200"));
}

BOOST_AUTO_TEST_CASE(bookingRefusedEverywhereHasNotRun) {
  auto Refuse = [](const std::string &) {
    return RawServer::Answer{"HTTP/1.1 503 No\r\nNot-Executed: 1\r\n"
                             "Content-Length: 0\r\n\r\n",
                             false, false};
  };
  addEndpoint("a", "plain", Refuse);
  std::string Answer = ask(request("book"));
  BOOST_TEST(hasStatus(Answer, "503"));
  BOOST_TEST(!field(Answer, "Retry-After").empty());
}

BOOST_AUTO_TEST_CASE(unreachableEndpointHasNotRunTheRequest) {
  FleetEndpoint E;
  E.Id = EndpointId("dead");
  E.Pool = PoolName("plain");
  E.Where = Address("127.0.0.1:1");
  E.Region = RegionId("kigali");
  Fleet.putEndpoint(E);
  BOOST_TEST(hasStatus(ask(request("book")), "503"));
}

BOOST_AUTO_TEST_CASE(lookUpIsRepeatedAtAnotherEndpoint) {
  unsigned Sent = 0;
  auto FailOnce = [&](const std::string &R) {
    return Sent++ == 0 ? RawServer::Answer{"", false, true} : ran(R, "done");
  };
  addEndpoint("a", "plain", FailOnce);
  addEndpoint("b", "plain", FailOnce);
  BOOST_TEST(hasStatus(ask(request("look")), "200"));
}

BOOST_AUTO_TEST_CASE(endpointFailureReachesTheCaller) {
  auto Fail = [](const std::string &R) {
    return RawServer::Answer{
        "HTTP/1.1 500 Oops\r\nRequest-Id: " + field(R, "Request-Id") +
            "\r\nSignature: s\r\nContent-Length: 3\r\n"
            "\r\nbad",
        false, false};
  };
  addEndpoint("a", "plain", Fail);
  addEndpoint("b", "plain", Fail);
  std::string Answer = ask(request("look"));
  BOOST_TEST(hasStatus(Answer, "500"));
  BOOST_TEST(field(Answer, "Signature") == "s");
  BOOST_TEST(Answer.ends_with("bad"));
}

BOOST_AUTO_TEST_CASE(truncatedResponseIsInvalid) {
  addEndpoint("a", "plain", [](const std::string &R) {
    auto Whole = ran(R, "0123456789");
    Whole.Bytes.resize(Whole.Bytes.size() - 4);
    Whole.Close = true;
    return Whole;
  });
  BOOST_TEST(hasStatus(ask(request("book")), "502"));
}

BOOST_AUTO_TEST_CASE(unsignedSuccessIsInvalid) {
  addEndpoint("a", "plain", [](const std::string &R) {
    return RawServer::Answer{
        "HTTP/1.1 200 OK\r\nRequest-Id: " + field(R, "Request-Id") +
            "\r\nContent-Length: 2\r\n\r\nhi",
        false, false};
  });
  BOOST_TEST(hasStatus(ask(request("book")), "502"));
}

BOOST_AUTO_TEST_CASE(responseToAnEarlierRequestIsSkipped) {
  addEndpoint("a", "plain", [](const std::string &R) {
    auto OwnResponse = ran(R, "own");
    OwnResponse.Bytes =
        "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSignature: s\r\n"
        "Content-Length: 5\r\n\r\nother" +
        OwnResponse.Bytes;
    return OwnResponse;
  });
  std::string Answer = ask(request("book"));
  BOOST_TEST(hasStatus(Answer, "200"));
  BOOST_TEST(Answer.ends_with("\r\n\r\nown"));
}

// A late refusal of an earlier request on the same connection says nothing
// about this one. Accepting it would run a booking twice.
BOOST_AUTO_TEST_CASE(refusalOfAnEarlierRequestIsSkipped) {
  RawServer &A = addEndpoint("a", "plain", [](const std::string &R) {
    auto OwnResponse = ran(R, "own");
    OwnResponse.Bytes =
        "HTTP/1.1 503 No\r\nRequest-Id: other\r\nNot-Executed: 1\r\n"
        "Content-Length: 0\r\n\r\n" +
        OwnResponse.Bytes;
    return OwnResponse;
  });
  std::string Answer = ask(request("book"));
  BOOST_TEST(hasStatus(Answer, "200"));
  BOOST_TEST(Answer.ends_with("own"));
  BOOST_TEST(A.Requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(connectionWithBytesAfterAResponseIsNotReused) {
  RawServer &E = addEndpoint("a", "plain", [](const std::string &R) {
    auto OwnResponse = ran(R, "own");
    OwnResponse.Bytes += "HTTP/1.1 200 OK\r\nRequest-Id: q2\r\nSignature: s\r\n"
                         "Content-Length: 4\r\n\r\nevil";
    return OwnResponse;
  });
  BOOST_TEST(ask(request("look")).ends_with("own"));
  BOOST_TEST(ask(request("look")).ends_with("own"));
  BOOST_TEST(E.Requests.size() == 2U);
}

BOOST_AUTO_TEST_CASE(streamArrivesWholeAndInOrder) {
  addEndpoint("a", "engines", [](const std::string &R) {
    return RawServer::Answer{streamHead(R) + event(1) + event(2) + "0\r\n\r\n",
                             false, false};
  });
  std::string Answer = ask(request("draft"));
  BOOST_TEST(hasStatus(Answer, "200"));
  BOOST_TEST(contains(Answer, "id: 1"));
  BOOST_TEST(contains(Answer, "id: 2"));
  BOOST_TEST(Answer.ends_with(LastChunk));
}

BOOST_AUTO_TEST_CASE(brokenStreamDoesNotLookComplete) {
  RawServer &A = addEndpoint("a", "engines", [](const std::string &R) {
    return RawServer::Answer{streamHead(R) + event(1) + "9\r\nid: 2\n", false,
                             true};
  });
  RawServer &B = addEndpoint("b", "engines", [](const std::string &R) {
    return RawServer::Answer{streamHead(R) + event(1) + "9\r\nid: 2\n", false,
                             true};
  });
  std::string Answer = ask(request("draft"));
  BOOST_TEST(!Answer.ends_with(LastChunk));
  BOOST_TEST(A.Requests.size() + B.Requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(resumableStreamContinuesAtAnotherEndpoint) {
  unsigned Sent = 0;
  auto Script = [&](const std::string &R) {
    if (Sent++ == 0)
      return RawServer::Answer{
          streamHead(R) + event(1) + event(2) + "9\r\nid: 3\n", false, true};
    return RawServer::Answer{streamHead(R) + event(3) + event(4) + "0\r\n\r\n",
                             false, false};
  };
  RawServer &A = addEndpoint("a", "engines", Script);
  RawServer &B = addEndpoint("b", "engines", Script);
  std::string Answer = ask(request("ask"));
  BOOST_TEST(Answer.ends_with(LastChunk));
  for (const char *Id : {"id: 1", "id: 2", "id: 3", "id: 4"})
    BOOST_TEST(contains(Answer, Id));
  BOOST_REQUIRE(A.Requests.size() + B.Requests.size() == 2U);
  const RawServer &Second =
      field(A.Requests[0], "Last-Event-Id").empty() ? B : A;
  BOOST_TEST(field(Second.Requests[0], "Last-Event-Id") == "2");
}

BOOST_AUTO_TEST_CASE(recordTellsHowAResponseEnded) {
  addEndpoint("e1", "engines", [](const std::string &R) {
    return RawServer::Answer{
        "HTTP/1.1 200 OK\r\nRequest-Id: " + field(R, "Request-Id") +
            "\r\nSignature: s\r\n\r\nid: 1\ndata: t\n\nid: ",
        true, false};
  });
  addEndpoint("e2", "plain",
              [](const std::string &R) { return ran(R, "booked"); });
  ask(request("draft"));
  BOOST_TEST(Done.back().Attempts.find(
                 "peer=closed framing=close bytes=19 events=1 rest=4") !=
             std::string::npos);
  BOOST_TEST(Done.back().SentAs == "cut");
  ask(request("book"));
  BOOST_TEST(Done.back().Attempts.find("peer=open framing=length bytes=6") !=
             std::string::npos);
  BOOST_TEST(Done.back().SentAs == "length");
}

BOOST_AUTO_TEST_CASE(callerDisconnectEndsTheRun) {
  RawServer &E = addEndpoint("a", "engines", [](const std::string &R) {
    return RawServer::Answer{streamHead(R) + event(1), false, false};
  });
  testing::RawCaller C(Loop, Front.address().str(), request("draft"));
  testing::runUntil(Loop, [&] { return contains(C.received(), "id: 1"); });
  C.close();
  testing::runUntil(Loop, [&] { return E.ClosedByPeer == 1; });
  BOOST_REQUIRE(Done.size() == 1U);
  BOOST_TEST(Done[0].Outcome == "caller_left");
}

BOOST_AUTO_TEST_CASE(missingRouteIsReportedOnlyWithCurrentTables) {
  std::string Unknown = "GET /nowhere/ HTTP/1.1\r\nHost: x.example\r\n"
                        "Request-Id: q\r\n\r\n";
  BOOST_TEST(hasStatus(ask(Unknown), "404"));
  TablesCurrent = false;
  BOOST_TEST(hasStatus(ask(Unknown), "503"));
}

// The first callers of a host that has just started wait for the tables. A
// caller that leaves in the meantime is not served.
BOOST_AUTO_TEST_CASE(firstCallersWaitForTheTables) {
  RawServer &E = addEndpoint(
      "a", "plain", [](const std::string &R) { return ran(R, "done"); });
  bool Informed = false;
  Context.Hooks.HasFleetState = [&] { return Informed; };
  testing::RawCaller Leaves(Loop, Front.address().str(), request("book"));
  testing::RawCaller Stays(Loop, Front.address().str(), request("book"));
  testing::runUntil(Loop, [&] { return Front.inFlight() == 2; });
  Leaves.close();
  testing::runUntil(Loop, [&] { return Done.size() == 1; });
  Informed = true;
  testing::runUntil(Loop, [&] { return Stays.received().ends_with("done"); });
  BOOST_TEST(hasStatus(Stays.received(), "200"));
  BOOST_TEST(Done.size() == 2U);
  BOOST_TEST(E.Requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ambiguousFramingIsRefused) {
  RawServer &E = addEndpoint(
      "a", "plain", [](const std::string &R) { return ran(R, "done"); });
  for (const char *Framing :
       {"Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked, chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n", "Content-Length: 3 3\r\n",
        "Content-Length : 3\r\n", "Host: y.example\r\nContent-Length: 3\r\n"}) {
    std::string Answer = ask("POST /book/a HTTP/1.1\r\nHost: x.example\r\n"
                             "Request-Id: q\r\n" +
                             std::string(Framing) + "\r\nabc");
    BOOST_TEST(hasStatus(Answer, "400"), Framing << Answer);
  }
  BOOST_TEST(E.Requests.empty());
}

BOOST_AUTO_TEST_CASE(tooLongHeadsAndBodiesAreRefused) {
  HttpServerLimits Limits;
  Limits.HeaderBytes = 1000;
  Limits.BodyBytes = 100;
  Front.setLimits(Limits);
  BOOST_TEST(hasStatus(
      ask(request("book", "Long: " + std::string(2000, 'x') + "\r\n")), "431"));
  BOOST_TEST(hasStatus(ask(request("book", "", std::string(200, 'x'))), "413"));
}

BOOST_AUTO_TEST_CASE(smuggledRequestDoesNotRun) {
  RawServer &E = addEndpoint(
      "a", "plain", [](const std::string &R) { return ran(R, "done"); });
  std::string Inner = "POST /book/evil HTTP/1.1\r\nHost: x.example\r\n"
                      "Request-Id: evil\r\nContent-Length: 0\r\n\r\n";
  BOOST_TEST(hasStatus(ask(request("book", "", Inner)), "200"));
  BOOST_REQUIRE(E.Requests.size() == 1U);
  BOOST_TEST(field(E.Requests[0], "Request-Id") != "evil");
}

BOOST_AUTO_TEST_CASE(hostShuttingDownRefusesWithoutRunning) {
  RawServer &E = addEndpoint(
      "a", "plain", [](const std::string &R) { return ran(R, "done"); });
  Context.RefusesFrom = Time.Now();
  Front.closeAfterResponses();
  std::string Answer = ask(request("book"));
  BOOST_TEST(hasStatus(Answer, "503"));
  BOOST_TEST(field(Answer, "Connection") == "close");
  BOOST_TEST(E.Requests.empty());
}

// While the store is unavailable, the endpoint's own report is the only
// information about its shutdown.
BOOST_AUTO_TEST_CASE(shutdownReportedInARefusalIsHonoured) {
  RawServer &A = addEndpoint("a", "plain", [](const std::string &) {
    return RawServer::Answer{"HTTP/1.1 503 No\r\nNot-Executed: 1\r\n"
                             "Leaving: 1\r\nContent-Length: 0\r\n\r\n",
                             false, false};
  });
  addEndpoint("b", "plain", [](const std::string &R) { return ran(R, "b"); });
  for (int I = 0; I < 10; ++I)
    BOOST_TEST(hasStatus(ask(request("look")), "200"));
  BOOST_TEST(A.Requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(shutdownReportedInASuccessIsHonoured) {
  RawServer &A = addEndpoint("a", "plain", [](const std::string &R) {
    RawServer::Answer Good = ran(R, "a");
    Good.Bytes.insert(Good.Bytes.find("\r\n"), "\r\nLeaving: 1");
    return Good;
  });
  BOOST_TEST(hasStatus(ask(request("book")), "200"));
  BOOST_TEST(hasStatus(ask(request("book")), "503"));
  BOOST_TEST(A.Requests.size() == 1U);
}

// An endpoint that requests a back-off receives no requests during it and is
// not considered failed.
BOOST_AUTO_TEST_CASE(endpointThatBacksOffReceivesNoRequests) {
  RawServer &A = addEndpoint("a", "plain", [](const std::string &) {
    return RawServer::Answer{"HTTP/1.1 503 No\r\nNot-Executed: 1\r\n"
                             "Rest: 1\r\nContent-Length: 0\r\n\r\n",
                             false, false};
  });
  addEndpoint("b", "plain", [](const std::string &R) { return ran(R, "b"); });
  for (int I = 0; I < 10; ++I)
    BOOST_TEST(hasStatus(ask(request("look")), "200"));
  BOOST_TEST(A.Requests.size() == 1U);
  EndpointKey Key = endpointKeyOf(EndpointId("a"), 1);
  BOOST_TEST(Decisions.health().isTrusted(Key));
  BOOST_TEST(Decisions.health().failureShare(Key) == 0);
}

// The head ends exactly at the end of a read and the body arrives with the next
// one. Beast 1.74 reports an error for this when no body limit is set.
BOOST_AUTO_TEST_CASE(bookingWithResponseInTwoPartsSucceeds) {
  addEndpoint("a", "plain", [](const std::string &R) {
    RawServer::Answer Good = ran(R, std::string(4096, 'x'));
    // Pads the head to the size of one read of a call.
    std::size_t Head = Good.Bytes.size() - 4096;
    Good.Bytes.insert(Good.Bytes.find("\r\n"),
                      "\r\nPad: " + std::string(4096 - Head - 7, 'p'));
    return Good;
  });
  BOOST_TEST(hasStatus(ask(request("book")), "200"));
}

BOOST_AUTO_TEST_CASE(interimResponsesAreSkipped) {
  addEndpoint("a", "plain", [](const std::string &R) {
    RawServer::Answer Good = ran(R, "done");
    Good.Bytes.insert(0, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
    return Good;
  });
  std::string Answer = ask(request("book"));
  BOOST_TEST(hasStatus(Answer, "200"));
  BOOST_TEST(Answer.ends_with("done"));
}

// Endless data that is not a valid response must end the call, and the caller
// receives an error.
BOOST_AUTO_TEST_CASE(endlessDataEndsTheCall) {
  auto Repeat = [](const std::string &Text, std::size_t Bytes) {
    std::string All;
    while (All.size() < Bytes)
      All += Text;
    return All;
  };
  const std::string Hints = "HTTP/1.1 103 Early Hints\r\n\r\n";
  const std::string Status = "HTTP/1.1 200 OK\r\n";
  const std::string Chunked = Status + "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string &Bytes :
       {Repeat("x", 200000), Status + Repeat("A: b\r\n", 200000),
        Status + "A: " + Repeat("b", 200000), Repeat(Hints, 2000),
        Chunked + "1;" + Repeat("x", 200000),
        Chunked + "0\r\n" + Repeat("A: b\r\n", 200000)}) {
    RawServer &A = addEndpoint("a", "plain", [Bytes](const std::string &) {
      return RawServer::Answer{Bytes, false, false};
    });
    BOOST_TEST(hasStatus(ask(request("book")), "502"));
    BOOST_TEST(A.Requests.size() == 1U);
    Decisions.forget(endpointKeyOf(EndpointId("a"), 1));
  }
}

BOOST_AUTO_TEST_CASE(endlessEventEndsTheCall) {
  addEndpoint("a", "engines", [](const std::string &R) {
    return RawServer::Answer{
        streamHead(R) +
            renderChunk(std::string(2 * EventSplitter::MaxEventBytes, 'x')),
        false, false};
  });
  BOOST_TEST(hasStatus(ask(request("draft")), "502"));
}

// Endless bodies on forty connections at once must stay within the memory
// limit.
BOOST_AUTO_TEST_CASE(endlessBodiesUseBoundedMemory) {
  constexpr std::size_t Limit = 65536;
  constexpr unsigned Callers = 40;
  Context.Responses.setLimit(Limit);
  for (unsigned I = 0; I < Callers; ++I)
    addEndpoint("e" + std::to_string(I), "plain", [](const std::string &R) {
      std::string Bytes = streamHead(R);
      for (int Chunks = 0; Chunks < 20; ++Chunks)
        Bytes += renderChunk(std::string(4000, 'x'));
      return RawServer::Answer{Bytes, false, false};
    });
  std::vector<std::unique_ptr<testing::RawCaller>> All;
  for (unsigned I = 0; I < Callers; ++I)
    All.push_back(std::make_unique<testing::RawCaller>(
        Loop, Front.address().str(), request("book")));
  std::size_t Peak = 0;
  testing::runUntil(Loop, [&] {
    Peak = std::max(Peak, Context.Responses.held());
    return Done.size() == Callers;
  });
  BOOST_TEST(Peak <= Limit);
  BOOST_TEST(Peak > 0U);
  for (const RequestRecord &R : Done)
    BOOST_TEST(R.Status == 502U);
  BOOST_TEST(Context.Responses.held() == 0U);
}

// Guards against requests that are offered again and again to a region that
// refuses them, and against refusals while a region of unknown load serves.
BOOST_AUTO_TEST_CASE(answersOfARegionOfUnknownLoadTeach) {
  bool Serves = true;
  RawServer &Other = addOtherHost(
      "plain",
      [&](const std::string &R) {
        if (Serves)
          return ran(R, "done");
        return RawServer::Answer{
            "HTTP/1.1 503 Busy\r\nCelerybeam-Not-Run: 1\r\n"
            "Retry-After: 2.5\r\n"
            "Content-Length: 0\r\n\r\n",
            false, false};
      },
      false);
  const RegionId Musanze("musanze");
  const PoolName Plain("plain");
  for (unsigned I = 0; I < 3 * RegionOfferLimiter::FirstOffers; ++I)
    BOOST_TEST(ask(request("book")).starts_with("HTTP/1.1 200"));
  BOOST_TEST(Done.back().Attempts.find(" offered") != std::string::npos);
  std::size_t Before = Other.Requests.size();
  Serves = false;
  BOOST_TEST(ask(request("book")).starts_with("HTTP/1.1 503"));
  BOOST_TEST(Other.Requests.size() == Before + 1);
  Duration Closed = Decisions.offers().closedFor(Musanze, Plain);
  BOOST_TEST((Closed > std::chrono::seconds(1)));
  BOOST_TEST((Closed <= std::chrono::milliseconds(2500)));
  BOOST_TEST(ask(request("book")).starts_with("HTTP/1.1 503"));
  BOOST_TEST(Other.Requests.size() == Before + 1);
}

BOOST_AUTO_TEST_SUITE_END()
