#include <set>

#include <boost/test/unit_test.hpp>

#include "relay/tests/receivedresponse.h"
#include "relay/tests/relayfixture.h"

using namespace celerybeam;
using testing::parseResponse;
using testing::RawServer;
using testing::Received;
using testing::RelayFixture;

namespace {

enum class Framing { Close, Length, Chunks };

/// A response of which an endpoint sends only the beginning.
struct Sample {
  std::string Name;
  std::string Route;
  /// Parts of the body; for a stream, events and comments.
  std::vector<std::string> Parts = {};
  Framing Mark = Framing::Close;
  std::string Version = "HTTP/1.1";
  /// Bytes before the head; "ID" stands for the request's id.
  std::string Before = {};
};

class Endpoint {
public:
  Endpoint(Sample S, const std::string &Request) : Sample_(std::move(S)) {
    const std::string Id = RelayFixture::field(Request, "Request-Id");
    std::string Before = Sample_.Before;
    if (auto At = Before.find("ID"); At != std::string::npos)
      Before.replace(At, 2, Id);
    Text_ = Before + Sample_.Version + " 200 OK\r\nRequest-Id: " + Id +
            "\r\nSignature: s\r\n";
    std::size_t Length = 0;
    for (const std::string &Part : Sample_.Parts)
      Length += Part.size();
    if (Sample_.Mark == Framing::Length)
      Text_ += "Content-Length: " + std::to_string(Length) + "\r\n";
    if (Sample_.Mark == Framing::Chunks)
      Text_ += "Transfer-Encoding: chunked\r\n";
    Text_ += "\r\n";
    BodyAt_ = Text_.size();
    bool HasEvent = false;
    for (const std::string &Part : Sample_.Parts) {
      Text_ += Sample_.Mark == Framing::Chunks ? renderChunk(Part) : Part;
      HasEvent = HasEvent || Part.front() != ':';
      if (HasEvent)
        Borders_.insert(Text_.size());
    }
    if (Sample_.Mark == Framing::Chunks)
      Text_ += LastChunk;
  }

  const std::string &text() const { return Text_; }

  /// Whether nothing distinguishes the first bytes from a whole response.
  bool looksWhole(std::size_t Bytes, bool Reset) const {
    if (Sample_.Mark != Framing::Close)
      return Bytes == Text_.size();
    bool Stream = Sample_.Route == "draft" || Sample_.Route == "ask";
    return !Reset && (Stream ? Borders_.count(Bytes) > 0 : Bytes > BodyAt_);
  }

private:
  Sample Sample_;
  std::string Text_;
  std::size_t BodyAt_ = 0;
  /// The ends of events in the text, and of comments after an event.
  std::set<std::size_t> Borders_;
};

/// Plays a sample that is cut after each of its bytes. The caller never gets a
/// complete success out of a response that is not one.
void cutAtEachByte(const Sample &S, bool Reset) {
  const std::size_t Size = Endpoint(S, "\r\nRequest-Id: q1\r\n").text().size();
  for (std::size_t Bytes = 0; Bytes <= Size; ++Bytes) {
    RelayFixture Host([] { return TimePoint(std::chrono::hours(1)); });
    Host.addEndpoint(
        "e1", S.Route == "book" || S.Route == "look" ? "plain" : "engines",
        [&](const std::string &Request) {
          return RawServer::Answer{Endpoint(S, Request).text().substr(0, Bytes),
                                   true, Reset};
        });
    Received Got = parseResponse(Host.ask(Host.request(S.Route)));
    Endpoint Whole(S, "\r\nRequest-Id: q1\r\n");
    bool Success = Got.Status == 200 && Got.Complete;
    BOOST_TEST_CONTEXT(S.Name << " on " << S.Route << ", "
                              << (Reset ? "reset" : "closed") << " after "
                              << Bytes << " of " << Size << " bytes") {
      if (Success)
        BOOST_TEST(Whole.looksWhole(Bytes, Reset));
      if (Bytes == Size && !Reset)
        BOOST_TEST(Success);
    }
  }
}

const std::vector<std::string> Numbered = {"id: 1\ndata: aa\n\n",
                                           "id: 2\ndata: bb\n\n"};
const std::vector<std::string> Plain = {"booked"};

std::vector<Sample> unframedStreams() {
  std::vector<Sample> Samples;
  for (const char *Route : {"draft", "ask"}) {
    Samples.push_back({"numbered events", Route, Numbered});
    Samples.push_back({"events without a number",
                       Route,
                       {"data: aa\n\n", "data: [DONE]\n\n"}});
    Samples.push_back(
        {"a comment first", Route, {": hi\n\n", "id: 1\ndata: aa\n\n"}});
    Samples.push_back(
        {"a comment last", Route, {"id: 1\ndata: aa\n\n", ": hi\n\n"}});
    Samples.push_back({"lines that end with CR LF",
                       Route,
                       {"id: 1\r\ndata: aa\r\n\r\n", "data: b\r\n\r\n"}});
    Samples.push_back(
        {"another field first", Route, {"version: 3\nid: 1\ndata: aa\n\n"}});
  }
  return Samples;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BrokenResponseTests)

BOOST_AUTO_TEST_CASE(unframedStreamThatIsCutIsNotComplete) {
  for (const Sample &S : unframedStreams())
    cutAtEachByte(S, false);
}

BOOST_AUTO_TEST_CASE(unframedStreamThatIsResetIsNotComplete) {
  for (const Sample &S : unframedStreams())
    cutAtEachByte(S, true);
}

BOOST_AUTO_TEST_CASE(framedStreamThatIsCutIsNotComplete) {
  for (Framing Mark : {Framing::Length, Framing::Chunks})
    for (bool Reset : {false, true})
      cutAtEachByte({"numbered events", "ask", Numbered, Mark}, Reset);
}

BOOST_AUTO_TEST_CASE(responseThatIsCutInItsHeadIsNotComplete) {
  for (const char *Route : {"book", "look"})
    for (bool Reset : {false, true})
      for (Framing Mark : {Framing::Close, Framing::Length, Framing::Chunks})
        cutAtEachByte({"a body", Route, Plain, Mark}, Reset);
}

BOOST_AUTO_TEST_CASE(responseOfAnOlderVersionThatIsCutIsNotComplete) {
  for (Framing Mark : {Framing::Close, Framing::Length})
    cutAtEachByte({"HTTP/1.0", "book", Plain, Mark, "HTTP/1.0"}, false);
}

BOOST_AUTO_TEST_CASE(unmarkedResponseOfAnotherHostIsNotComplete) {
  for (const char *Route : {"ask", "look"}) {
    RelayFixture Host([] { return TimePoint(std::chrono::hours(1)); });
    const bool Stream = Route == std::string("ask");
    Sample S{"from a host", Route, Stream ? Numbered : Plain};
    Host.addOtherHost(
        Stream ? "engines" : "plain", [&](const std::string &Request) {
          return RawServer::Answer{Endpoint(S, Request).text(), true, false};
        });
    Received Got = parseResponse(Host.ask(Host.request(Route)));
    BOOST_TEST(!(Got.Status == 200 && Got.Complete), Route);
  }
}

BOOST_AUTO_TEST_CASE(refusalThatIsCutInItsHeadIsNotBelieved) {
  const std::string Refusal = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
                              "Content-Length: 0\r\n\r\n";
  for (std::size_t Bytes = 0; Bytes < Refusal.size(); ++Bytes) {
    RelayFixture Host([] { return TimePoint(std::chrono::hours(1)); });
    RawServer &Server =
        Host.addEndpoint("e1", "plain", [&](const std::string &) {
          return RawServer::Answer{Refusal.substr(0, Bytes), true, false};
        });
    Received Got = parseResponse(Host.ask(Host.request("book")));
    BOOST_TEST(Got.Status == 502U, "cut after " << Bytes);
    BOOST_TEST(Server.Requests.size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(responseWithTwoLengthsIsInvalid) {
  for (const char *Framing :
       {"Content-Length: 6\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nContent-Length: 6\r\n",
        "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 6\r\n"}) {
    RelayFixture Host([] { return TimePoint(std::chrono::hours(1)); });
    Host.addEndpoint("e1", "plain", [&](const std::string &Request) {
      return RawServer::Answer{"HTTP/1.1 200 OK\r\nRequest-Id: " +
                                   RelayFixture::field(Request, "Request-Id") +
                                   "\r\nSignature: s\r\n" + Framing +
                                   "\r\n6\r\nbooked\r\n0\r\n\r\n",
                               true, false};
    });
    Received Got = parseResponse(Host.ask(Host.request("book")));
    BOOST_TEST(Got.Status == 502U, Framing);
  }
}

namespace {

/// Plays a chunked stream to a caller with HTTP/1.0, which knows no chunks.
/// \param Bytes  after how many bytes the endpoint closes the connection.
struct OlderCaller {
  explicit OlderCaller(std::size_t Bytes)
      : Host([] { return TimePoint(std::chrono::hours(1)); }) {
    Host.addEndpoint("e1", "engines", [Bytes](const std::string &Request) {
      return RawServer::Answer{streamText(Request).substr(0, Bytes), true,
                               false};
    });
    std::string Request = Host.request("draft");
    Request.replace(Request.find("HTTP/1.1"), 8, "HTTP/1.0");
    testing::RawCaller Caller(Host.Loop, Host.Front.address().str(), Request);
    testing::runUntil(Host.Loop, [&] { return Caller.closed(); });
    Received = Caller.received();
    WasReset = Caller.wasReset();
  }

  static std::string streamText(const std::string &Request) {
    return Endpoint({"", "draft", Numbered, Framing::Chunks}, Request).text();
  }

  RelayFixture Host;
  std::string Received;
  bool WasReset = false;
};

} // namespace

BOOST_AUTO_TEST_CASE(olderCallerReceivesAStreamUpToTheEndOfItsConnection) {
  OlderCaller Whole(std::string::npos);
  BOOST_TEST(Whole.Received.find("chunked") == std::string::npos);
  BOOST_TEST(Whole.Received.ends_with("\r\n\r\n" + Numbered[0] + Numbered[1]));
  BOOST_TEST(!Whole.WasReset);
}

BOOST_AUTO_TEST_CASE(brokenStreamOfAnOlderCallerEndsWithAReset) {
  const std::size_t Size =
      OlderCaller::streamText("\r\nRequest-Id: q1\r\n").size();
  for (std::size_t Missing = 1; Missing < LastChunk.size() + Numbered[1].size();
       ++Missing) {
    OlderCaller Cut(Size - Missing);
    BOOST_TEST(Cut.WasReset, "without the last " << Missing << " bytes");
  }
}

BOOST_AUTO_TEST_CASE(headThatIsCutAfterAnInterimResponseIsNotComplete) {
  cutAtEachByte({"after 100", "book", Plain, Framing::Length, "HTTP/1.1",
                 "HTTP/1.1 100 Continue\r\nRequest-Id: ID\r\n\r\n"},
                false);
}

BOOST_AUTO_TEST_CASE(headThatIsCutAfterASkippedResponseIsNotComplete) {
  cutAtEachByte({"after another response", "book", Plain, Framing::Length,
                 "HTTP/1.1",
                 "HTTP/1.1 200 OK\r\nRequest-Id: late\r\nSignature: s\r\n"
                 "Content-Length: 4\r\n\r\nlate"},
                false);
}

BOOST_AUTO_TEST_SUITE_END()
