#include <sstream>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "blackboard/idtypes.h"
#include "logging/logger.h"
#include "logging/logsetup.h"

using namespace celerybeam;

namespace {

using TimePoint = std::chrono::system_clock::time_point;

/// 2026-12-04T03:05:42.123Z.
constexpr TimePoint TestTime{std::chrono::milliseconds(1796353542123)};

/// Collects the lines of a test.
struct Fixture {
  void setUp(LogOptions Options) {
    Options.Now = [this] { return Now; };
    setUpLog(Out, std::move(Options));
  }
  ~Fixture() { tearDownLog(); }

  std::size_t lines() const {
    std::string Text = Out->str();
    return static_cast<std::size_t>(std::count(Text.begin(), Text.end(), '\n'));
  }

  std::shared_ptr<std::ostringstream> Out =
      std::make_shared<std::ostringstream>();
  TimePoint Now = TestTime;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Logging, Fixture)

BOOST_AUTO_TEST_CASE(WritesOneLineOfText) {
  setUp({});
  Logger("gateway").info("Request ended.", {{"request", RequestId("r1")},
                                            {"ms", 12},
                                            {"whole", true},
                                            {"path", "/a b"}});
  BOOST_TEST(Out->str() ==
             "2026-12-04T03:05:42.123Z INFO  [gateway] Request ended. "
             "request=r1 ms=12 whole=true path=\"/a b\"\n");
}

BOOST_AUTO_TEST_CASE(WritesOneJsonObjectPerLine) {
  LogOptions Options;
  Options.Json = true;
  setUp(Options);
  Logger("peers").warning("Peer lost.", {{"host", "k\"1"}, {"load", 0.5}});
  BOOST_TEST(Out->str() ==
             "{\"time\":\"2026-12-04T03:05:42.123Z\",\"level\":\"warning\","
             "\"part\":\"peers\",\"message\":\"Peer lost.\","
             "\"host\":\"k\\\"1\",\"load\":0.5}\n");
}

BOOST_AUTO_TEST_CASE(CallerTextCannotForgeALine) {
  setUp({});
  Logger("gateway").info("Refused\nhere.", {{"path", "/a\n2026 ERROR"}});
  BOOST_TEST(lines() == 1U);
}

BOOST_AUTO_TEST_CASE(SkipsLowerLevels) {
  setUp({LogLevel::Warning});
  Logger("a").debug("No.");
  Logger("a").info("No.");
  Logger("a").error("Yes.");
  BOOST_TEST(lines() == 1U);
  BOOST_TEST(!parseLogLevel("loud"));
  BOOST_TEST((parseLogLevel("debug") == LogLevel::Debug));
}

BOOST_AUTO_TEST_CASE(LimitsTheRateOfEachPartAndReportsDroppedLines) {
  LogOptions Options;
  Options.LinesPerSecond = 2;
  Options.BurstSeconds = 5;
  setUp(Options);
  for (int I = 0; I < 100; ++I)
    Logger("noisy").info("Again.");
  Logger("calm").info("Once.");
  BOOST_TEST(lines() == 11U);
  Now += std::chrono::seconds(1);
  Logger("noisy").info("Later.");
  BOOST_TEST(Out->str().find("dropped=90\n") != std::string::npos);
  BOOST_TEST(lines() == 13U);
}

BOOST_AUTO_TEST_CASE(ThreadsDoNotMixTheirLines) {
  LogOptions Options;
  Options.LinesPerSecond = 0;
  setUp(Options);
  constexpr int ThreadCount = 4;
  std::vector<std::thread> Threads;
  Threads.reserve(ThreadCount);
  for (int T = 0; T < ThreadCount; ++T)
    Threads.emplace_back([] {
      for (int I = 0; I < 250; ++I)
        Logger("a").info("Line.", {{"i", I}});
    });
  for (auto &Thread : Threads)
    Thread.join();
  BOOST_TEST(lines() == 1000U);
  std::istringstream In(Out->str());
  for (std::string Line; std::getline(In, Line);)
    BOOST_REQUIRE(Line.find("[a] Line. i=") == 31U);
}

BOOST_AUTO_TEST_SUITE_END()
