#include <boost/test/unit_test.hpp>

#include "gateway/operatorserver.h"
#include "gateway/tests/testclient.h"

using namespace celerybeam;

namespace {

struct Fixture {
  OperatorServer &serve() {
    Server.emplace(
        Options,
        [this]() -> Result<void> {
          if (Ready)
            return {};
          return makeError(ErrorKind::NotReady, "No tables yet.");
        },
        [] { return std::string("celerybeam_up 1\n"); });
    for (const char *Method : {"GET", "POST"})
      Server->handle(Method, "/admin/echo", [](const OperatorRequest &R) {
        return OperatorResponse{200, R.Method + " " + R.Rest + " " + R.Query +
                                         " " + R.Body};
      });
    BOOST_REQUIRE(Server->start());
    return *Server;
  }

  /// Sends one request and reads the whole response.
  std::string ask(const std::string &Method, const std::string &Target,
                  const std::string &Fields = "",
                  const std::string &Body = "") {
    TestClient Client(Server->port());
    Client.send(Method + " " + Target + " HTTP/1.1\r\nHost: h\r\n" + Fields +
                "Connection: close\r\nContent-Length: " +
                std::to_string(Body.size()) + "\r\n\r\n" + Body);
    return Client.readAll();
  }

  static bool contains(const std::string &Text, std::string_view Part) {
    return Text.find(Part) != std::string::npos;
  }

  OperatorServerOptions Options;
  bool Ready = true;
  std::optional<OperatorServer> Server;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OperatorServing, Fixture)

BOOST_AUTO_TEST_CASE(ServesHealthReadinessAndMetrics) {
  serve();
  BOOST_TEST(contains(ask("GET", "/healthz"), "{\"healthy\":true}"));
  BOOST_TEST(contains(ask("GET", "/readyz"), "{\"ready\":true}"));
  Ready = false;
  std::string NotReady = ask("GET", "/readyz");
  BOOST_TEST(contains(NotReady, "HTTP/1.1 503"));
  BOOST_TEST(contains(NotReady, "No tables yet."));
  BOOST_TEST(contains(ask("GET", "/metrics"), "celerybeam_up 1"));
}

BOOST_AUTO_TEST_CASE(DispatchesRequestsToTheLongestPrefix) {
  serve();
  BOOST_TEST(contains(ask("POST", "/admin/echo/a%20b?x=1&y", "", "body"),
                      "POST /a%20b x=1&y body"));
  BOOST_TEST(contains(ask("DELETE", "/admin/echo"), "HTTP/1.1 405"));
  BOOST_TEST(contains(ask("GET", "/nowhere"), "HTTP/1.1 404"));
}

BOOST_AUTO_TEST_CASE(RequiresTheTokenExceptForProbes) {
  Options.BearerToken = "secret";
  serve();
  BOOST_TEST(contains(ask("GET", "/metrics"), "HTTP/1.1 401"));
  BOOST_TEST(contains(ask("GET", "/admin/echo", "Authorization: Bearer x\r\n"),
                      "HTTP/1.1 401"));
  BOOST_TEST(
      contains(ask("GET", "/metrics", "Authorization: Bearer secret\r\n"),
               "celerybeam_up 1"));
  BOOST_TEST(contains(ask("GET", "/healthz"), "HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(RefusesLargeBodiesInsteadOfTruncatingThem) {
  Options.BodyLimit = 10;
  serve();
  BOOST_TEST(
      contains(ask("POST", "/admin/echo", "", "0123456789"), "0123456789"));
  BOOST_TEST(
      contains(ask("POST", "/admin/echo", "", "0123456789a"), "HTTP/1.1 413"));
}

BOOST_AUTO_TEST_CASE(NamesTheSettingThatIsWrong) {
  Options.Bind = Address("nowhere");
  OperatorServer Wrong(Options, nullptr, nullptr);
  BOOST_TEST((Wrong.start().error().Kind == ErrorKind::InvalidSettings));
  Options.Bind = Address("127.0.0.1:0");
  Options.Tls = {"no-such-file.pem", "no-such-file.pem"};
  OperatorServer NoFiles(Options, nullptr, nullptr);
  BOOST_TEST(NoFiles.start().error().Message.find("no-such-file.pem") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
