#include <boost/test/unit_test.hpp>

#include "relay/tests/relayfixture.h"

using namespace celerybeam;
using testing::RawServer;

namespace {

/// A chunked response as the caller received it.
struct ReceivedStream {
  std::string Head;
  /// The body without its framing.
  std::string Body;
  /// Whether the last chunk was received.
  bool Complete = false;
};

ReceivedStream parseStream(const std::string &Received) {
  ReceivedStream S;
  auto At = Received.find("\r\n\r\n");
  BOOST_REQUIRE(At != std::string::npos);
  At += 4;
  S.Head = Received.substr(0, At);
  BOOST_REQUIRE(S.Head.find("chunked") != std::string::npos);
  while (At < Received.size()) {
    std::size_t Length = std::stoul(Received.substr(At), nullptr, 16);
    At = Received.find("\r\n", At) + 2;
    S.Complete = Length == 0;
    S.Body += Received.substr(At, Length);
    At += Length + 2;
  }
  return S;
}

std::string eventText(unsigned Id) {
  return "id: " + std::to_string(Id) + "\ndata: t\n\n";
}

const std::string FirstEvents = eventText(1) + eventText(2);
const std::string HtmlText = "<html>\n\n<p>Bad Gateway</p>\n";
const std::string JsonText = R"({"error":"overloaded"})";

/// Moves only when a test moves it.
struct TestClock {
  TimePoint Now{std::chrono::hours(1)};
};

/// A host whose endpoints begin a stream, break it off and respond to its
/// resumption.
class Fixture : public TestClock, public testing::RelayFixture {
public:
  Fixture() : RelayFixture([this] { return Now; }) {}

  /// The response of the endpoint that gets the request first.
  RawServer::Script First = [](const std::string &R) {
    return RawServer::Answer{
        streamHead(R) + renderChunk(FirstEvents + "id: 3\nda"), true, false};
  };

  /// The stream that a caller receives when the endpoints respond in turn.
  ReceivedStream play(const std::vector<RawServer::Script> &Later,
                      const std::string &Route = "ask") {
    allowEndpoints(1 + static_cast<unsigned>(Later.size()));
    auto InTurn = [this, Later](const std::string &R) {
      Sent.push_back(R);
      return Sent.size() == 1 ? First(R) : Later.at(Sent.size() - 2)(R);
    };
    for (std::size_t I = 0; I <= Later.size(); ++I)
      addEndpoint("e" + std::to_string(I), "engines", InTurn);
    return parseStream(ask(request(Route)));
  }

  void allowEndpoints(unsigned Most) {
    FleetTables Tables = *Fleet.tables();
    ++Tables.Version;
    for (FleetRoute &Route : Tables.Routes)
      Route.MaxEndpoints = Most;
    bool Adopted = Fleet.adoptTables(std::move(Tables));
    BOOST_REQUIRE(Adopted);
  }

  /// A complete chunked stream of a text.
  static RawServer::Script stream(const std::string &Text) {
    return [Text](const std::string &R) {
      return RawServer::Answer{streamHead(R) +
                                   (Text.empty() ? "" : renderChunk(Text)) +
                                   std::string(LastChunk),
                               false, false};
    };
  }

  /// A complete signed response with a length.
  static RawServer::Script whole(const std::string &Status,
                                 const std::string &Fields,
                                 const std::string &Body) {
    return [=](const std::string &R) {
      return RawServer::Answer{
          "HTTP/1.1 " + Status + "\r\nRequest-Id: " + field(R, "Request-Id") +
              "\r\n" + Fields + "Content-Length: " +
              std::to_string(Body.size()) + "\r\n\r\n" + Body,
          false, false};
    };
  }

  /// Expects the first endpoint's events and nothing else, without an end.
  static void expectCutAfterFirstEvents(const ReceivedStream &Got) {
    BOOST_TEST(Got.Body == FirstEvents);
    BOOST_TEST(!Got.Complete);
  }

  std::vector<std::string> Sent;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ResumedStreamTests, Fixture)

BOOST_AUTO_TEST_CASE(resumedStreamKeepsTheHeadOfItsFirstEndpoint) {
  First = [](const std::string &R) {
    RawServer::Answer A{streamHead(R) + renderChunk(FirstEvents), true, false};
    A.Bytes.insert(A.Bytes.find("\r\n"), "\r\nVersions: 7");
    return A;
  };
  ReceivedStream Got = play({[](const std::string &R) {
    RawServer::Answer A = stream(eventText(3))(R);
    A.Bytes.replace(A.Bytes.find("Signature: s"), 12,
                    "Signature: other\r\nVersions: 8");
    return A;
  }});
  BOOST_TEST(field(Got.Head, "Signature") == "s");
  BOOST_TEST(field(Got.Head, "Versions") == "7");
  BOOST_TEST(Got.Body == FirstEvents + eventText(3));
  BOOST_TEST(Got.Complete);
  BOOST_REQUIRE(Sent.size() == 2U);
  BOOST_TEST(field(Sent[1], "Last-Event-Id") == "2");
}

BOOST_AUTO_TEST_CASE(errorsAfterABreakDoNotReachTheStream) {
  const std::string Long = "Pad: " + std::string(6000, 'p') + "\r\n";
  for (const RawServer::Script &Error :
       {whole("500 Oops", "Signature: s\r\n", HtmlText),
        whole("500 Oops", "Signature: s\r\n" + Long, HtmlText),
        whole("503 No", "Signature: s\r\n", HtmlText),
        whole("503 No", "Not-Executed: 1\r\n", HtmlText),
        whole("404 No", "Signature: s\r\n", HtmlText),
        whole("302 Found", "Signature: s\r\n", HtmlText),
        whole("204 None", "Signature: s\r\n", ""),
        whole("206 Part", "Signature: s\r\n", eventText(3))}) {
    Sent.clear();
    expectCutAfterFirstEvents(play({Error}));
    BOOST_TEST(Sent.size() == 2U);
    Decisions.forget(endpointKeyOf(EndpointId("e0"), 1));
    Decisions.forget(endpointKeyOf(EndpointId("e1"), 1));
  }
}

// ORDER, MIXED: a success that is no event stream was passed on and ended the
// stream.
BOOST_AUTO_TEST_CASE(textAfterABreakDoesNotReachTheStream) {
  expectCutAfterFirstEvents(play({whole(
      "200 OK", "Signature: s\r\nContent-Type: text/html\r\n", HtmlText)}));
}

BOOST_AUTO_TEST_CASE(jsonAfterABreakDoesNotReachTheStream) {
  expectCutAfterFirstEvents(play(
      {whole("200 OK", "Signature: s\r\nContent-Type: application/json\r\n",
             JsonText)}));
}

// ORDER: the stream ended as complete although no further event came.
BOOST_AUTO_TEST_CASE(resumedStreamWithoutEventsIsNotComplete) {
  expectCutAfterFirstEvents(play({stream("")}));
}

BOOST_AUTO_TEST_CASE(resumedStreamOfCommentsIsNotComplete) {
  ReceivedStream Got = play({stream(": wait\n\n")});
  BOOST_TEST(!Got.Complete);
  BOOST_TEST(Got.Body.starts_with(FirstEvents));
  BOOST_TEST(Got.Body.find("id: 3") == std::string::npos);
}

// ORDER: the events of a run from the beginning were joined to another run's.
BOOST_AUTO_TEST_CASE(streamThatStartsOverIsNotJoined) {
  expectCutAfterFirstEvents(
      play({stream(FirstEvents + eventText(3) + eventText(4))}));
}

BOOST_AUTO_TEST_CASE(resumedEventsWithoutNumbersAreNotJoined) {
  expectCutAfterFirstEvents(play({stream("data: a\n\n")}));
}

BOOST_AUTO_TEST_CASE(resumedEventsWithOtherIdsAreNotJoined) {
  expectCutAfterFirstEvents(play({stream("id: x\ndata: a\n\n")}));
}

// One run that started over made every later end of the stream invalid.
BOOST_AUTO_TEST_CASE(streamIsCompletedAfterARunThatStartedOver) {
  ReceivedStream Got = play({stream(FirstEvents), stream(eventText(3))});
  BOOST_TEST(Got.Body == FirstEvents + eventText(3));
  BOOST_TEST(Got.Complete);
  BOOST_TEST(Sent.size() == 3U);
}

// ORDER: events without ids came twice.
BOOST_AUTO_TEST_CASE(streamWithoutIdsIsNotResumed) {
  First = [](const std::string &R) {
    return RawServer::Answer{streamHead(R) + renderChunk("data: a\n\n"), true,
                             false};
  };
  ReceivedStream Got = play({stream("data: a\n\ndata: b\n\n")});
  BOOST_TEST(Got.Body == "data: a\n\n");
  BOOST_TEST(!Got.Complete);
  BOOST_TEST(Sent.size() == 1U);
}

BOOST_AUTO_TEST_CASE(streamWithOtherIdsIsNotResumed) {
  First = [](const std::string &R) {
    return RawServer::Answer{streamHead(R) + renderChunk("id: x\ndata: a\n\n"),
                             true, false};
  };
  ReceivedStream Got = play({stream("id: x\ndata: a\n\n")});
  BOOST_TEST(Got.Body == "id: x\ndata: a\n\n");
  BOOST_TEST(!Got.Complete);
  BOOST_TEST(Sent.size() == 1U);
}

BOOST_AUTO_TEST_CASE(unnumberedLastEventOfANumberedStreamIsPassedOn) {
  const std::string Done = "data: [DONE]\n\n";
  First = stream(FirstEvents + Done);
  ReceivedStream Got = play({});
  BOOST_TEST(Got.Body == FirstEvents + Done);
  BOOST_TEST(Got.Complete);
}

BOOST_AUTO_TEST_CASE(streamThatMayNotBeResumedIsCutOff) {
  expectCutAfterFirstEvents(play({stream(eventText(3))}, "draft"));
  BOOST_TEST(Sent.size() == 1U);
}

// ORDER: an incomplete last event was passed on and the stream ended.
BOOST_AUTO_TEST_CASE(streamThatEndsInsideAnEventIsNotComplete) {
  First = stream(FirstEvents + "id: 3\nda");
  expectCutAfterFirstEvents(play({}));
}

BOOST_AUTO_TEST_CASE(streamThatEndsInsideAnEventIsResumed) {
  First = stream(FirstEvents + "id: 3\nda");
  ReceivedStream Got = play({stream(eventText(3))});
  BOOST_TEST(Got.Body == FirstEvents + eventText(3));
  BOOST_TEST(Got.Complete);
}

// MIXED: the head of an error was passed on inside a stream without a length.
BOOST_AUTO_TEST_CASE(errorHeadInsideAnUnframedStreamIsNotPassedOn) {
  First = [](const std::string &R) {
    return RawServer::Answer{
        "HTTP/1.1 200 OK\r\nRequest-Id: " + field(R, "Request-Id") +
            "\r\nSignature: s\r\n\r\n" + FirstEvents +
            whole("500 Oops", "", HtmlText)(R).Bytes,
        true, false};
  };
  expectCutAfterFirstEvents(play({}));
}

BOOST_AUTO_TEST_CASE(errorHeadInsideAFramedStreamIsNotPassedOn) {
  First = [](const std::string &R) {
    // The long event moves the error into a later read than the first events.
    return RawServer::Answer{
        streamHead(R) +
            renderChunk(FirstEvents + "data: " + std::string(5000, 'x')) +
            whole("500 Oops", "", HtmlText)(R).Bytes,
        true, false};
  };
  expectCutAfterFirstEvents(play({}));
}

BOOST_AUTO_TEST_CASE(errorAfterTheEndOfAStreamIsNotPassedOn) {
  First = [](const std::string &R) {
    return RawServer::Answer{stream(FirstEvents)(R).Bytes +
                                 whole("500 Oops", "", HtmlText)(R).Bytes,
                             false, false};
  };
  ReceivedStream Got = play({});
  BOOST_TEST(Got.Body == FirstEvents);
  BOOST_TEST(Got.Complete);
}

BOOST_AUTO_TEST_CASE(refusedPlacementCutsAStreamOff) {
  addEndpoint("a", "engines", [this](const std::string &R) {
    Fleet.removeEndpoint(EndpointId("a"), Duration::zero());
    return First(R);
  });
  expectCutAfterFirstEvents(parseStream(ask(request("ask"))));
  BOOST_REQUIRE(Done.size() == 1U);
  BOOST_TEST(Done[0].Outcome == "stream_broken_no_endpoint");
}

// The caller resumes its stream, and the host resumes it again.
BOOST_AUTO_TEST_CASE(laterEventIdReplacesTheCallers) {
  allowEndpoints(2);
  auto InTurn = [this](const std::string &R) {
    Sent.push_back(R);
    return Sent.size() == 1 ? First(R) : stream(eventText(3))(R);
  };
  addEndpoint("a", "engines", InTurn);
  addEndpoint("b", "engines", InTurn);
  ReceivedStream Got = parseStream(ask(request("ask", "Last-Event-Id: 0\r\n")));
  BOOST_TEST(Got.Body == FirstEvents + eventText(3));
  BOOST_REQUIRE(Sent.size() == 2U);
  BOOST_TEST(field(Sent[0], "Last-Event-Id") == "0");
  BOOST_TEST(field(Sent[1], "Last-Event-Id") == "2");
}

BOOST_AUTO_TEST_CASE(timeoutCutsAStreamOff) {
  addEndpoint("a", "engines", [](const std::string &R) {
    return RawServer::Answer{streamHead(R) + renderChunk(FirstEvents), false,
                             false};
  });
  testing::RawCaller C(Loop, Front.address().str(), request("ask"));
  testing::runUntil(
      Loop, [&] { return C.received().find("id: 2") != std::string::npos; });
  Now += std::chrono::seconds(11);
  Loop.timers().runDue(Now);
  testing::runUntil(Loop, [&] { return C.closed(); });
  expectCutAfterFirstEvents(parseStream(C.received()));
  BOOST_REQUIRE(Done.size() == 1U);
  BOOST_TEST(Done[0].Outcome == "stream_broken_timeout");
}

BOOST_AUTO_TEST_CASE(streamIsResumedThroughAnotherHost) {
  RawServer &Other =
      addOtherHost("engines", stream(eventText(3) + eventText(4)));
  addEndpoint("a", "engines", First);
  ReceivedStream Got = parseStream(ask(request("ask")));
  BOOST_TEST(Got.Body == FirstEvents + eventText(3) + eventText(4));
  BOOST_TEST(Got.Complete);
  BOOST_REQUIRE(Other.Requests.size() == 1U);
  BOOST_TEST(field(Other.Requests[0], "Last-Event-Id") == "2");
}

BOOST_AUTO_TEST_CASE(failuresOfAnotherHostDoNotReachTheStream) {
  const std::string NotRun = std::string(NotRunField) + ": 1\r\n";
  RawServer::Script Current;
  unsigned Asked = 0;
  addOtherHost("engines", [&](const std::string &R) {
    ++Asked;
    return Current(R);
  });
  addEndpoint("a", "engines", First);
  for (const RawServer::Script &Failure :
       {whole("503 No", NotRun, HtmlText), whole("502 Bad", "", HtmlText),
        whole("504 Late", "", HtmlText),
        whole("200 OK", "Signature: s\r\n", HtmlText),
        stream(FirstEvents + eventText(3))}) {
    Asked = 0;
    Current = Failure;
    expectCutAfterFirstEvents(parseStream(ask(request("ask"))));
    BOOST_TEST(Asked >= 1U);
    Decisions.forget(endpointKeyOf(EndpointId("a"), 1));
  }
}

BOOST_AUTO_TEST_CASE(streamThatAnotherHostBeganAndBrokeOffIsCut) {
  addOtherHost("engines", First);
  expectCutAfterFirstEvents(parseStream(ask(request("ask"))));
}

BOOST_AUTO_TEST_SUITE_END()
