#include "framework/tenantkey.h"

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

BOOST_AUTO_TEST_SUITE(TenantKeyTests)

BOOST_AUTO_TEST_CASE(aMintedKeyNamesItsTenant) {
  TenantKeys Keys({"secret"});
  Result<TenantId> Tenant =
      Keys.verify(bearer(Keys.mint(TenantId("roofer-7"), NoExpiry)), Now);
  BOOST_REQUIRE(Tenant.has_value());
  BOOST_TEST(*Tenant == TenantId("roofer-7"));
}

BOOST_AUTO_TEST_CASE(anOldSecretStillVerifiesAfterItsReplacement) {
  TenantKeys Old({"old"});
  std::string Header = bearer(Old.mint(TenantId("roofer"), NoExpiry));
  BOOST_TEST(TenantKeys({"new", "old"}).verify(Header, Now).has_value());
  BOOST_TEST(!TenantKeys({"new"}).verify(Header, Now).has_value());
}

BOOST_AUTO_TEST_CASE(anExpiredKeyIsRefused) {
  TenantKeys Keys({"secret"});
  std::string Header = bearer(
      Keys.mint(TenantId("roofer"), std::chrono::seconds(1'796'353'542)));
  BOOST_TEST(Keys.verify(Header, Now - UnixMillis(1)).has_value());
  BOOST_TEST(!Keys.verify(Header, Now).has_value());
}

BOOST_AUTO_TEST_CASE(changedAndMalformedKeysAreRefused) {
  TenantKeys Keys({"secret"});
  std::string Key = *Keys.mint(TenantId("roofer"), NoExpiry);
  std::string OtherTenant = Key;
  OtherTenant.replace(Key.find("roofer"), 6, "baker_");
  for (const std::string &Text :
       {std::string(), std::string("Bearer "), Key, "Basic " + Key,
        "Bearer " + OtherTenant, "Bearer " + Key + "0",
        "Bearer cbk1.roofer.x." + Key, std::string("Bearer cbk1.roofer.0."),
        std::string("Bearer cbk1..0.00")})
    BOOST_TEST(!Keys.verify(Text, Now).has_value(), Text);
}

BOOST_AUTO_TEST_CASE(tenantNamesThatDoNotFitInAKeyAreRefused) {
  TenantKeys Keys({"secret"});
  for (const char *Name : {"", "a.b", "a b", "a/b"})
    BOOST_TEST(!Keys.mint(TenantId(Name), NoExpiry).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
