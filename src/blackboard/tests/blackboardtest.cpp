#include "blackboard/blackboard.h"

#include <boost/test/unit_test.hpp>

using namespace celerybeam;

namespace {

HostIdentity identity() {
  return {HostId("k1"), RegionId("kigali"), ZoneId("kigali-a"),
          Address("127.0.0.1:1"), Address("127.0.0.1:2")};
}

TablesSnapshot revision(Revision Number) {
  auto T = std::make_shared<Tables>();
  T->Number = Number;
  return T;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BlackboardTests)

BOOST_AUTO_TEST_CASE(olderTablesAreNotAdopted) {
  Blackboard Board(identity());
  BOOST_TEST(Board.adoptTables(revision(3)));
  BOOST_TEST(!Board.adoptTables(revision(2)));
  BOOST_TEST(!Board.adoptTables(revision(3)));
  BOOST_TEST(Board.tables()->Number == 3U);
}

BOOST_AUTO_TEST_CASE(endpointIndexFollowsLabels) {
  Blackboard Board(identity());
  EndpointDescriptor E;
  E.Id = EndpointId("m1");
  E.Label = "cedar";
  Board.upsertEndpoint(E, EndpointState::Live);
  BOOST_TEST(Board.endpointsWithLabel("cedar")->size() == 1U);
  E.Label = "eucalyptus";
  Board.upsertEndpoint(E, EndpointState::Leaving);
  BOOST_TEST(Board.endpointsWithLabel("cedar")->empty());
  BOOST_TEST(Board.endpointsWithLabel("eucalyptus")->size() == 1U);
  Board.removeEndpoint(E.Id);
  BOOST_TEST(Board.endpointsWithLabel("eucalyptus")->empty());
}

BOOST_AUTO_TEST_SUITE_END()
