#include "framework/units.h"

#include <boost/test/unit_test.hpp>

using namespace celerybeam;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(UnitsTests)

BOOST_AUTO_TEST_CASE(durationsRoundTrip) {
  for (Duration D : {Duration(0us), Duration(250ms), Duration(60s),
                     Duration(90s), Duration(2h), Duration(1500us)}) {
    std::optional<Duration> Read = parseDuration(formatDuration(D));
    BOOST_REQUIRE(Read.has_value());
    BOOST_TEST(Read->count() == D.count());
  }
  BOOST_TEST(formatDuration(90s) == "90s");
  BOOST_TEST(parseDuration("1.5s")->count() == 1'500'000);
}

BOOST_AUTO_TEST_CASE(invalidDurationsAreRefused) {
  for (const char *Text : {"", "60", "s", "-1s", "60 s", "1d", "nans", "1e99h"})
    BOOST_TEST(!parseDuration(Text).has_value(), Text);
}

BOOST_AUTO_TEST_CASE(byteSizesRoundTrip) {
  BOOST_TEST(parseByteSize("8MiB")->Bytes == 8U << 20U);
  BOOST_TEST(formatByteSize({8U << 20U}) == "8MiB");
  BOOST_TEST(!parseByteSize("8MB").has_value());
}

BOOST_AUTO_TEST_CASE(wholeNumbersKeepTheirDecimalPoint) {
  BOOST_TEST(formatNumber(2) == "2.0");
  BOOST_TEST(formatNumber(0.1) == "0.1");
}

BOOST_AUTO_TEST_SUITE_END()
