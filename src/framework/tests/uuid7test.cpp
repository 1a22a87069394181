#include "framework/uuid7.h"

#include <boost/test/unit_test.hpp>

using namespace celerybeam;

namespace {

Runtime fixedRuntime() {
  Runtime R;
  R.WallNow = [] { return UnixMillis(1796353542123); };
  R.Random = [Seed = std::uint64_t(7)]() mutable {
    return Seed = Seed * 6364136223846793005ULL + 1442695040888963407ULL;
  };
  return R;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Uuid7Tests)

BOOST_AUTO_TEST_CASE(generatedKeyParsesAndKeepsItsTime) {
  Uuid7 Key = Uuid7::generate(fixedRuntime());
  Result<Uuid7> Parsed = Uuid7::parse(Key.str());
  BOOST_REQUIRE(Parsed.has_value());
  BOOST_TEST(Parsed->createdAt().count() == 1796353542123);
}

BOOST_AUTO_TEST_CASE(otherVersionsAndShapesAreRefused) {
  for (const char *Text : {"", "no", "550e8400-e29b-41d4-a716-446655440000",
                           "0190163d-8694-7000-0000-000000000000",
                           "0190163d86947000800000000000000000000"}) {
    Result<Uuid7> Parsed = Uuid7::parse(Text);
    BOOST_REQUIRE(!Parsed.has_value());
    BOOST_TEST((Parsed.error().Kind == ErrorKind::InvalidKey));
  }
}

BOOST_AUTO_TEST_SUITE_END()
