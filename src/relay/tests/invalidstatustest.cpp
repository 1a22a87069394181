#include <array>

#include <boost/test/unit_test.hpp>

#include "relay/tests/relayfixture.h"

using namespace celerybeam;
using testing::RawServer;
using testing::RelayFixture;

namespace {

constexpr std::array InvalidStatuses = {"000", "001", "099",
                                        "101", "600", "999"};
constexpr std::array Routes = {"look", "book", "draft", "ask"};
constexpr std::array Framings = {"length", "chunks", "close"};

/// Whether a request of the route may run once at most.
bool runsOnce(std::string_view Route) {
  return Route == "book" || Route == "draft";
}

bool isStream(std::string_view Route) {
  return Route == "draft" || Route == "ask";
}

const char *poolOf(std::string_view Route) {
  return isStream(Route) ? "engines" : "plain";
}

/// A signed response with a body that suits the route.
/// \param Extra  further header fields.
std::string respond(std::string_view Status, std::string_view Route,
                    const std::string &Request,
                    std::string_view Framing = "length",
                    const std::string &Extra = {}) {
  const std::string Body = isStream(Route) ? "id: 1\ndata: t\n\n" : "ran";
  std::string Text =
      "HTTP/1.1 " + std::string(Status) +
      " Any\r\nRequest-Id: " + RelayFixture::field(Request, "Request-Id") +
      "\r\nSignature: s\r\n" + Extra;
  if (Framing == "length")
    return Text + "Content-Length: " + std::to_string(Body.size()) +
           "\r\n\r\n" + Body;
  if (Framing == "chunks")
    return Text + "Transfer-Encoding: chunked\r\n\r\n" + renderChunk(Body) +
           std::string(LastChunk);
  return Text + "\r\n" + Body;
}

unsigned statusOf(const std::string &Response) {
  auto At = Response.find(' ');
  return At == std::string::npos ? 0 : std::stoul(Response.substr(At));
}

/// Adds the server that gets all requests of a route.
RawServer &addServer(RelayFixture &Host, bool Forwarded, const char *Route,
                     RawServer::Script Script) {
  if (Forwarded)
    return Host.addOtherHost(poolOf(Route), std::move(Script));
  return Host.addEndpoint("e1", poolOf(Route), std::move(Script));
}

struct Case {
  const char *Status;
  const char *Route;
  const char *Framing;
  bool Forwarded;
};

std::ostream &operator<<(std::ostream &Out, const Case &C) {
  return Out << C.Status << " by " << C.Framing << " on " << C.Route
             << (C.Forwarded ? ", forwarded" : "");
}

std::vector<Case> allCases() {
  std::vector<Case> Cases;
  for (const char *Status : InvalidStatuses)
    for (const char *Route : Routes)
      for (const char *Framing : Framings)
        for (bool Forwarded : {false, true})
          Cases.push_back({Status, Route, Framing, Forwarded});
  return Cases;
}

} // namespace

BOOST_AUTO_TEST_SUITE(InvalidStatusTests)

// A caller must not get a status that is none, nor a response that follows one.
BOOST_AUTO_TEST_CASE(responseWithAnInvalidStatusIsBroken) {
  for (const Case &C : allCases()) {
    RelayFixture Host;
    auto Script = [&](const std::string &Request) {
      // A call that takes the first response for an interim one goes on to the
      // second. Only a close can end the first one when it has no framing.
      bool Close = C.Framing == std::string_view("close");
      std::string Bytes = respond(C.Status, C.Route, Request, C.Framing);
      if (!Close)
        Bytes += respond("200", C.Route, Request);
      return RawServer::Answer{Bytes, Close, false};
    };
    RawServer &Server = addServer(Host, C.Forwarded, C.Route, Script);
    BOOST_TEST_CONTEXT(C) {
      BOOST_TEST(statusOf(Host.ask(Host.request(C.Route))) == 502U);
      if (runsOnce(C.Route))
        BOOST_TEST(Server.Requests.size() == 1U);
      // An endpoint that has ended its connection may count as crashed.
      BOOST_TEST(Host.Done.back().Attempts.find("peer=open") !=
                 std::string::npos);
    }
  }
}

// A switch of protocols has no body, so that a response can follow its head.
BOOST_AUTO_TEST_CASE(switchOfProtocolsIsBroken) {
  for (const char *Route : Routes)
    for (const char *Extra : {"", "Connection: upgrade\r\nUpgrade: h2c\r\n"})
      for (bool Forwarded : {false, true}) {
        RelayFixture Host;
        auto Script = [&](const std::string &Request) {
          return RawServer::Answer{"HTTP/1.1 101 Any\r\n" + std::string(Extra) +
                                       "\r\n" + respond("200", Route, Request),
                                   false, false};
        };
        addServer(Host, Forwarded, Route, Script);
        BOOST_TEST(statusOf(Host.ask(Host.request(Route))) == 502U,
                   Route << (Forwarded ? ", forwarded " : " ") << Extra);
      }
}

// A call that waits for a further response takes the whole time of the request,
// which then ends as 504.
BOOST_AUTO_TEST_CASE(invalidStatusWithoutAFurtherResponseEndsTheCall) {
  for (const char *Status : InvalidStatuses)
    for (const char *Framing : {"length", "chunks"}) {
      RelayFixture Host;
      Host.addEndpoint("e1", "plain", [&](const std::string &Request) {
        return RawServer::Answer{respond(Status, "book", Request, Framing),
                                 false, false};
      });
      BOOST_TEST(statusOf(Host.ask(Host.request("book"))) == 502U,
                 Status << " by " << Framing);
    }
}

// TWICE: fields that state that the request was not run prove nothing in a
// response that is invalid.
BOOST_AUTO_TEST_CASE(invalidStatusProvesNothingAboutTheRun) {
  for (const char *Status : InvalidStatuses) {
    RelayFixture Host;
    unsigned Sends = 0;
    for (const char *Id : {"e1", "e2"})
      Host.addEndpoint(Id, "plain", [&](const std::string &Request) {
        std::string Bytes = ++Sends == 1
                                ? respond(Status, "book", Request, "length",
                                          "Not-Executed: 1\r\n")
                                : respond("200", "book", Request);
        return RawServer::Answer{Bytes, false, Sends == 1};
      });
    BOOST_TEST_CONTEXT(Status) {
      BOOST_TEST(statusOf(Host.ask(Host.request("book"))) == 502U);
      BOOST_TEST(Sends == 1U);
    }
  }
}

BOOST_AUTO_TEST_CASE(invalidStatusOfAnotherHostProvesNothingAboutTheRun) {
  for (const char *Status : InvalidStatuses) {
    RelayFixture Host;
    RawServer &Other = Host.addOtherHost("plain", [&](const std::string &) {
      return RawServer::Answer{"HTTP/1.1 " + std::string(Status) +
                                   " Any\r\nCelerybeam-Not-Run: 1\r\n"
                                   "Content-Length: 0\r\n\r\n",
                               true, false};
    });
    BOOST_TEST_CONTEXT(Status) {
      BOOST_TEST(statusOf(Host.ask(Host.request("book"))) == 502U);
      BOOST_TEST(Other.Requests.size() == 1U);
    }
  }
}

// Guards against the loss of a repeat that a broken response allows.
BOOST_AUTO_TEST_CASE(routeThatMayRepeatIsRetriedAfterAnInvalidStatus) {
  for (const char *Status : InvalidStatuses)
    for (const char *Route : Routes) {
      RelayFixture Host;
      unsigned Sends = 0;
      for (const char *Id : {"e1", "e2"})
        Host.addEndpoint(Id, poolOf(Route), [&](const std::string &Request) {
          std::string Bytes =
              respond(++Sends == 1 ? Status : "200", Route, Request);
          return RawServer::Answer{Bytes, true, false};
        });
      bool Once = runsOnce(Route);
      BOOST_TEST_CONTEXT(Status << " on " << Route) {
        BOOST_TEST(statusOf(Host.ask(Host.request(Route))) ==
                   (Once ? 502U : 200U));
        BOOST_TEST(Sends == (Once ? 1U : 2U));
      }
    }
}

// Guards against the refusal of interim responses, which may have no fields.
BOOST_AUTO_TEST_CASE(interimResponsesPrecedeTheFinalOne) {
  const std::vector<std::vector<const char *>> Lists = {
      {"100"}, {"102"}, {"103"}, {"199"}, {"100", "103", "103"}};
  for (const auto &Interim : Lists)
    for (const char *Route : Routes)
      for (bool Forwarded : {false, true}) {
        RelayFixture Host;
        auto Script = [&](const std::string &Request) {
          std::string Bytes;
          for (const char *Status : Interim)
            Bytes += "HTTP/1.1 " + std::string(Status) + " Any\r\n\r\n";
          return RawServer::Answer{Bytes + respond("200", Route, Request),
                                   false, false};
        };
        addServer(Host, Forwarded, Route, Script);
        BOOST_TEST(statusOf(Host.ask(Host.request(Route))) == 200U,
                   Interim.size()
                       << " times " << Interim.front() << " on " << Route);
      }
}

// Guards against the refusal of a status at the ends of the valid range.
BOOST_AUTO_TEST_CASE(validFinalStatusesReachTheCaller) {
  for (unsigned Status : {200U, 201U, 299U, 300U, 399U, 400U, 499U, 500U, 599U})
    for (bool Forwarded : {false, true}) {
      RelayFixture Host;
      auto Script = [&](const std::string &Request) {
        return RawServer::Answer{
            respond(std::to_string(Status), "book", Request), false, false};
      };
      addServer(Host, Forwarded, "book", Script);
      BOOST_TEST(statusOf(Host.ask(Host.request("book"))) == Status);
    }
}

BOOST_AUTO_TEST_SUITE_END()
