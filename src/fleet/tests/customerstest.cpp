#include <boost/test/unit_test.hpp>

#include "fleet/customers.h"

using namespace celerybeam;

namespace {

Customer customer(const char *Name, const std::vector<std::string> &Keys,
                  unsigned Rank = 1) {
  Customer Made;
  Made.Name = CustomerId(Name);
  Made.Rank = Rank;
  for (const std::string &Key : Keys)
    Made.Keys.push_back(digestOfKey(Key));
  return Made;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CustomerTableTests)

BOOST_AUTO_TEST_CASE(keyFindsItsCustomer) {
  CustomerTable Table({customer("a", {"k1", "k2"}), customer("b", {"k3"})});
  BOOST_REQUIRE(Table.findByKey(digestOfKey("k2")) != nullptr);
  BOOST_TEST(Table.findByKey(digestOfKey("k2"))->Name == CustomerId("a"));
  BOOST_TEST(Table.findByKey(digestOfKey("k3"))->Name == CustomerId("b"));
  BOOST_TEST(Table.findByKey(digestOfKey("k4")) == nullptr);
}

// A key that two customers hold would be charged to the wrong one.
BOOST_AUTO_TEST_CASE(keyOfTwoCustomersFindsNeither) {
  CustomerTable Table({customer("a", {"k1", "k2"}), customer("b", {"k1"}),
                       customer("c", {"k1"})});
  BOOST_TEST(Table.findByKey(digestOfKey("k1")) == nullptr);
  BOOST_TEST(Table.findByKey(digestOfKey("k2"))->Name == CustomerId("a"));
  BOOST_REQUIRE(Table.problems().size() == 2U);
  BOOST_TEST(Table.problems()[0].Name == CustomerId("b"));
  BOOST_TEST(Table.problems()[0].Field == "keys");
}

BOOST_AUTO_TEST_CASE(repeatedKeyOfOneCustomerIsNoProblem) {
  CustomerTable Table({customer("a", {"k1", "k1"})});
  BOOST_TEST(Table.findByKey(digestOfKey("k1")) != nullptr);
  BOOST_TEST(Table.problems().empty());
}

BOOST_AUTO_TEST_CASE(digestSurvivesItsText) {
  KeyDigest Digest = digestOfKey("k1");
  BOOST_TEST(Digest.hex().size() == 64U);
  BOOST_TEST((KeyDigest::fromHex(Digest.hex()) == Digest));
  BOOST_TEST(!KeyDigest::fromHex("12"));
  BOOST_TEST(!KeyDigest::fromHex(std::string(64, 'g')));
}

BOOST_AUTO_TEST_CASE(customersRankPrecedesTheRoutes) {
  CustomerTable Table({customer("a", {}, 2), customer("b", {}, 4)});
  unsigned Urgent = Table.combinedRank(*Table.find(CustomerId("a")), 9);
  unsigned Other = Table.combinedRank(*Table.find(CustomerId("b")), 0);
  BOOST_TEST(Urgent < Other);
  BOOST_TEST(customerRankOf(Urgent) == 0U);
  BOOST_TEST(customerRankOf(Other) == 2U);
}

// Decisions treat rank 0 apart, so equal customers must not shift it.
BOOST_AUTO_TEST_CASE(ranksOfEqualCustomersAreThoseOfTheRoutes) {
  CustomerTable Table({customer("a", {}, 3), customer("b", {}, 3)});
  BOOST_TEST(Table.combinedRank(*Table.find(CustomerId("b")), 2) == 2U);
}

BOOST_AUTO_TEST_CASE(onlyCommonHomesRemain) {
  RegionId A("a");
  RegionId B("b");
  HomeRegions Any;
  HomeRegions Both = HomeRegions::only({A, B});
  BOOST_TEST((Any.both(Both) == Both));
  BOOST_TEST((Both.both(Any) == Both));
  BOOST_TEST((Both.both(HomeRegions::only({B})) == HomeRegions::only({B})));
  HomeRegions None = HomeRegions::only({A}).both(HomeRegions::only({B}));
  BOOST_TEST(None.isRestricted());
  BOOST_TEST(!None.allows(A));
}

// The digests of 49,000 customers would be held twice.
BOOST_AUTO_TEST_CASE(tableHoldsEachDigestOnce) {
  CustomerTable Table({customer("a", {"k1"})});
  BOOST_TEST(Table.find(CustomerId("a"))->Keys.capacity() == 0U);
  BOOST_TEST(Table.findByKey(digestOfKey("k1")) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
