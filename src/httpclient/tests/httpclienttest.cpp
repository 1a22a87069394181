#include "httpclient/httpclient.h"

#include <future>

#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include "fakes/fakeserver.h"
#include "httpclient/tests/closingserver.h"
#include "httpclient/tests/recordedcall.h"
#include "httpclient/urlencoding.h"

using namespace celerybeam;
using namespace celerybeam::tests;
using fakes::FakeReply;
using fakes::FakeRequest;
using fakes::FakeServer;
using std::chrono::milliseconds;

namespace {

HttpCall makeCall(std::string Method, std::string Url,
                  std::optional<std::string> Body = std::nullopt) {
  HttpCall Call;
  Call.Method = std::move(Method);
  Call.Url = std::move(Url);
  if (Body)
    Call.Body = std::make_shared<const std::string>(std::move(*Body));
  return Call;
}

HttpClientSettings oneThread() {
  HttpClientSettings S;
  S.Threads = 1;
  return S;
}

/// A port that accepts connections and sends no response. Connections are
/// refused once it is closed.
class UnresponsiveListener {
public:
  UnresponsiveListener() : Socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    struct sockaddr_in Address = {};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto *Generic = reinterpret_cast<struct sockaddr *>(&Address);
    socklen_t Size = sizeof(Address);
    BOOST_REQUIRE(bind(Socket_, Generic, Size) == 0);
    listen(Socket_, 8);
    getsockname(Socket_, Generic, &Size);
    Address_ = "127.0.0.1:" + std::to_string(ntohs(Address.sin_port));
  }
  ~UnresponsiveListener() { close(Socket_); }

  const std::string &address() const { return Address_; }

private:
  int Socket_;
  std::string Address_;
};

std::string refusingAddress() { return UnresponsiveListener().address(); }

FakeReply echo(const FakeRequest &R) {
  FakeReply Reply;
  Reply.Status = 201;
  Reply.Headers = {{"X-Method", R.Method},
                   {"X-Path", R.Path},
                   {"X-Length", R.header("content-length")},
                   {"X-Mark", R.header("x-mark")}};
  Reply.Body = R.Body;
  return Reply;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpClientTests)

BOOST_AUTO_TEST_CASE(requestAndResponseAreTransferredInFull) {
  FakeServer Server(0, echo);
  HttpClient Client;
  const std::string Url = "http://" + Server.address() + "/a%20b/c?x=1";
  for (const char *Method : {"POST", "PUT", "PATCH", "DELETE"}) {
    RecordedCall Record;
    HttpCall Call = makeCall(Method, Url, std::string(100000, 'x'));
    Call.Headers = {{"x-mark", "m"}, {"content-length", "3"}};
    Client.start(Call, Record.hooks());
    BOOST_TEST(!Record.waitError().has_value());
    ResponseHead Head = Record.waitHead();
    BOOST_TEST(Head.Status == 201);
    BOOST_TEST(findHeader(Head.Headers, "x-method") == Method);
    BOOST_TEST(findHeader(Head.Headers, "x-path") == "/a b/c");
    BOOST_TEST(findHeader(Head.Headers, "x-mark") == "m");
    BOOST_TEST(Record.body().size() == 100000);
  }
}

BOOST_AUTO_TEST_CASE(requestsWithoutBodyAreFramed) {
  FakeServer Server(0, echo);
  HttpClient Client;
  RecordedCall Get;
  Client.start(makeCall("GET", "http://" + Server.address() + "/"),
               Get.hooks());
  BOOST_TEST(!Get.waitError().has_value());
  BOOST_TEST(findHeader(Get.waitHead().Headers, "x-length").empty());
  RecordedCall Post;
  Client.start(makeCall("POST", "http://" + Server.address() + "/"),
               Post.hooks());
  BOOST_TEST(!Post.waitError().has_value());
  BOOST_TEST(findHeader(Post.waitHead().Headers, "x-length") == "0");
}

BOOST_AUTO_TEST_CASE(connectionsAreReusedUnlessAFreshOneIsRequested) {
  FakeServer Server(0, echo);
  HttpClient Client(oneThread());
  HttpCall Call = makeCall("POST", "http://" + Server.address() + "/", "x");
  for (int I = 0; I < 3; ++I) {
    RecordedCall Record;
    Client.start(Call, Record.hooks());
    Record.waitEnd();
  }
  BOOST_TEST(Client.counts().Connections == 1);
  Call.FreshConnection = true;
  RecordedCall Fresh;
  Client.start(Call, Fresh.hooks());
  BOOST_TEST(!Fresh.waitError().has_value());
  BOOST_TEST(Client.counts().Connections == 2);
}

BOOST_AUTO_TEST_CASE(requestIsNotSentAgainWhenAReusedConnectionCloses) {
  for (const char *Body : {"", "booking"}) {
    ClosingServer Server;
    HttpClient Client(oneThread());
    RecordedCall First;
    Client.start(makeCall("POST", Server.url(), Body), First.hooks());
    BOOST_TEST(!First.waitError().has_value());
    RecordedCall Second;
    Client.start(makeCall("POST", Server.url(), Body), Second.hooks());
    BOOST_TEST((Second.waitError() == ErrorKind::ConnectionLost));
    BOOST_TEST(Server.arrivals() == 2);
  }
}

BOOST_AUTO_TEST_CASE(requestOnAFreshConnectionIsNotSentAgain) {
  ClosingServer Server;
  HttpClient Client(oneThread());
  RecordedCall First;
  Client.start(makeCall("POST", Server.url(), "x"), First.hooks());
  First.waitEnd();
  HttpCall Call = makeCall("POST", Server.url(), "x");
  Call.FreshConnection = true;
  RecordedCall Second;
  Client.start(Call, Second.hooks());
  BOOST_TEST((Second.waitError() == ErrorKind::ConnectionLost));
  BOOST_TEST(Server.arrivals() == 2);
}

BOOST_AUTO_TEST_CASE(repeatableRequestIsSentOnceMoreWithinTheWindow) {
  for (milliseconds Window : {milliseconds(0), milliseconds(30000)}) {
    for (const char *Method : {"GET", "POST"}) {
      ClosingServer Server;
      HttpClientSettings Settings = oneThread();
      Settings.ResendWindow = Window;
      HttpClient Client(Settings);
      HttpCall Call = makeCall(Method, Server.url(), "prompt");
      Call.Repeatable = true;
      RecordedCall First;
      Client.start(Call, First.hooks());
      First.waitEnd();
      RecordedCall Second;
      Client.start(Call, Second.hooks());
      BOOST_TEST((Second.waitError() == ErrorKind::ConnectionLost));
      BOOST_TEST(Server.arrivals() == (Window.count() == 0 ? 2 : 3));
    }
  }
}

BOOST_AUTO_TEST_CASE(restartedServerGetsTheWholeRepeatedRequest) {
  // The server closes its kept-alive connection on the second request and
  // answers the third.
  ClosingServer Server(2);
  HttpClientSettings Settings = oneThread();
  Settings.ResendWindow = milliseconds(30000);
  HttpClient Client(Settings);
  HttpCall Call = makeCall("POST", Server.url(), std::string(100000, 'x'));
  Call.Repeatable = true;
  for (int I = 0; I < 2; ++I) {
    RecordedCall Record;
    Client.start(Call, Record.hooks());
    BOOST_TEST(!Record.waitError().has_value());
  }
  BOOST_TEST(Server.arrivals() == 3);
  BOOST_TEST(Server.lastBodySize() == 100000);
}

BOOST_AUTO_TEST_CASE(refusedConnectionReportsThatNothingWasSent) {
  HttpClient Client;
  RecordedCall Record;
  Client.start(makeCall("POST", "http://" + refusingAddress() + "/", "x"),
               Record.hooks());
  BOOST_TEST((Record.waitError() == ErrorKind::ConnectFailed));
}

BOOST_AUTO_TEST_CASE(unfinishedHandshakeReportsThatNothingWasSent) {
  UnresponsiveListener Unresponsive;
  HttpClient Client;
  HttpCall Call =
      makeCall("POST", "https://" + Unresponsive.address() + "/", "x");
  Call.ConnectTimeout = milliseconds(50);
  RecordedCall Record;
  Client.start(Call, Record.hooks());
  BOOST_TEST((Record.waitError() == ErrorKind::ConnectFailed));
}

BOOST_AUTO_TEST_CASE(silentServerEndsWithRequestTimeout) {
  UnresponsiveListener Unresponsive;
  HttpClient Client;
  HttpCall Call =
      makeCall("POST", "http://" + Unresponsive.address() + "/", "x");
  Call.Timeout = milliseconds(500);
  RecordedCall Record;
  Client.start(Call, Record.hooks());
  BOOST_TEST((Record.waitError() == ErrorKind::RequestTimeout));
}

BOOST_AUTO_TEST_CASE(silentReusedConnectionCausesFreshOnes) {
  std::atomic<bool> Unresponsive{false};
  std::promise<void> Release;
  auto Released = Release.get_future().share();
  FakeServer Server(0, [&](const FakeRequest &R) {
    if (Unresponsive)
      Released.wait();
    return echo(R);
  });
  HttpClientSettings Settings = oneThread();
  Settings.SilenceLimit = milliseconds(10);
  HttpClient Client(Settings);
  HttpCall Call = makeCall("GET", "http://" + Server.address() + "/");
  RecordedCall First;
  Client.start(Call, First.hooks());
  First.waitEnd();
  Unresponsive = true;
  Call.Timeout = milliseconds(500);
  RecordedCall Silent;
  Client.start(Call, Silent.hooks());
  BOOST_TEST((Silent.waitError() == ErrorKind::RequestTimeout));
  Unresponsive = false;
  Release.set_value();
  BOOST_TEST(Client.counts().SilentConnections == 1);
  Call.Timeout = {};
  for (unsigned Opened : {2U, 3U}) {
    RecordedCall Next;
    Client.start(Call, Next.hooks());
    BOOST_TEST(!Next.waitError().has_value());
    BOOST_TEST(Client.counts().Connections == Opened);
  }
}

BOOST_AUTO_TEST_CASE(responseThatBreaksOffEndsWithConnectionLost) {
  FakeServer Server(0,
                    [](const FakeRequest &) { return fakes::cutOffReply(); });
  HttpClient Client;
  RecordedCall Record;
  Client.start(makeCall("GET", "http://" + Server.address() + "/"),
               Record.hooks());
  BOOST_TEST((Record.waitError() == ErrorKind::ConnectionLost));
}

BOOST_AUTO_TEST_CASE(pausedCallGetsNoDataUntilItIsResumed) {
  constexpr std::size_t Size = 4UL * 1024 * 1024;
  FakeServer Server(0, [&](const FakeRequest &) {
    FakeReply Reply;
    Reply.Body = std::string(Size, 'x');
    return Reply;
  });
  HttpClient Client(oneThread());
  RecordedCall Paused;
  Paused.pauseAfterChunk();
  HttpCall Call = makeCall("GET", "http://" + Server.address() + "/");
  HttpCallId Id = Client.start(Call, Paused.hooks());
  const std::size_t First = Paused.waitBody(1).size();
  // Another call on the same thread completes while the first is paused.
  RecordedCall Other;
  Client.start(Call, Other.hooks());
  Other.waitEnd();
  BOOST_TEST(Paused.body().size() == First);
  BOOST_TEST(Paused.ends() == 0);
  Client.resume(Id);
  BOOST_TEST(!Paused.waitError().has_value());
  BOOST_TEST(Paused.body().size() == Size);
}

BOOST_AUTO_TEST_CASE(cancelEndsTheCallOnce) {
  UnresponsiveListener Unresponsive;
  HttpClient Client;
  RecordedCall Record;
  HttpCallId Id =
      Client.start(makeCall("GET", "http://" + Unresponsive.address() + "/"),
                   Record.hooks());
  Client.cancel(Id);
  Client.cancel(Id);
  Client.resume(Id);
  BOOST_TEST((Record.waitError() == ErrorKind::Cancelled));
  BOOST_TEST(Record.ends() == 1);
}

BOOST_AUTO_TEST_CASE(destructionEndsAllCallsAndThoseTheyStart) {
  UnresponsiveListener Unresponsive;
  const HttpCall Call =
      makeCall("GET", "http://" + Unresponsive.address() + "/");
  for (int Round = 0; Round < 20; ++Round) {
    RecordedCall First;
    RecordedCall Late;
    {
      HttpClient Client;
      ResponseHooks Hooks = First.hooks();
      Hooks.End = [&, End = Hooks.End](Result<void> Value) {
        Client.start(Call, Late.hooks());
        End(std::move(Value));
      };
      Client.start(Call, Hooks);
    }
    BOOST_TEST((First.waitError() == ErrorKind::Cancelled));
    BOOST_TEST((Late.waitError() == ErrorKind::Cancelled));
  }
}

BOOST_AUTO_TEST_CASE(callsThatCannotBeExpressedAreRefused) {
  HttpClient Client;
  HttpCall Smuggled = makeCall("GET", "http://127.0.0.1:1/");
  Smuggled.Headers = {{"x-a", "b\r\nx-c: d"}};
  for (const HttpCall &Call :
       {Smuggled, makeCall("GET", "ftp:x"), makeCall("", "http://127.0.0.1/"),
        makeCall("GET /", "http://127.0.0.1/")}) {
    RecordedCall Record;
    Client.start(Call, Record.hooks());
    BOOST_TEST((Record.waitError() == ErrorKind::BadRequest));
  }
}

BOOST_AUTO_TEST_CASE(pathsAreEncodedBySegment) {
  BOOST_TEST(encodeUrlPath("/a b/%2F/ü?") == "/a%20b/%252F/%C3%BC%3F");
  BOOST_TEST(encodeUrlComponent("a/b") == "a%2Fb");
  BOOST_TEST(encodeUrlPath("").empty());
}

BOOST_AUTO_TEST_SUITE_END()
