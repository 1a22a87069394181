#include "framework/customerkey.h"

#include <boost/test/unit_test.hpp>

using namespace celerybeam;

namespace {

constexpr UnixMillis Now(1'796'353'542'000);
constexpr std::chrono::seconds NoExpiry(0);

std::string bearer(const Result<std::string> &Key) {
  BOOST_REQUIRE(Key.has_value());
  return "Bearer " + *Key;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CustomerKeyTests)

BOOST_AUTO_TEST_CASE(mintedKeyVerifiesForItsCustomer) {
  CustomerKeys Keys({"secret"});
  Result<CustomerId> Customer =
      Keys.verify(bearer(Keys.mint(CustomerId("roofer-7"), NoExpiry)), Now);
  BOOST_REQUIRE(Customer.has_value());
  BOOST_TEST(*Customer == CustomerId("roofer-7"));
}

BOOST_AUTO_TEST_CASE(anOldSecretStillVerifiesAfterItsReplacement) {
  CustomerKeys Old({"old"});
  std::string Header = bearer(Old.mint(CustomerId("roofer"), NoExpiry));
  BOOST_TEST(CustomerKeys({"new", "old"}).verify(Header, Now).has_value());
  BOOST_TEST(!CustomerKeys({"new"}).verify(Header, Now).has_value());
}

BOOST_AUTO_TEST_CASE(anExpiredKeyIsRefused) {
  CustomerKeys Keys({"secret"});
  std::string Header = bearer(
      Keys.mint(CustomerId("roofer"), std::chrono::seconds(1'796'353'542)));
  BOOST_TEST(Keys.verify(Header, Now - UnixMillis(1)).has_value());
  BOOST_TEST(!Keys.verify(Header, Now).has_value());
}

BOOST_AUTO_TEST_CASE(changedAndMalformedKeysAreRefused) {
  CustomerKeys Keys({"secret"});
  std::string Key = *Keys.mint(CustomerId("roofer"), NoExpiry);
  std::string OtherCustomer = Key;
  OtherCustomer.replace(Key.find("roofer"), 6, "baker_");
  for (const std::string &Text :
       {std::string(), std::string("Bearer "), Key, "Basic " + Key,
        "Bearer " + OtherCustomer, "Bearer " + Key + "0",
        "Bearer cbk1.roofer.x." + Key, std::string("Bearer cbk1.roofer.0."),
        std::string("Bearer cbk1..0.00")})
    BOOST_TEST(!Keys.verify(Text, Now).has_value(), Text);
}

BOOST_AUTO_TEST_CASE(customerNamesThatDoNotFitInAKeyAreRefused) {
  CustomerKeys Keys({"secret"});
  for (const char *Name : {"", "a.b", "a b", "a/b"})
    BOOST_TEST(!Keys.mint(CustomerId(Name), NoExpiry).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
