#include <boost/test/unit_test.hpp>

#include "fleethost/internal/snapshotcodec.h"

using namespace celerybeam;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(SnapshotCodecTests)

BOOST_AUTO_TEST_CASE(snapshotKeepsWhatIsRetained) {
  StoreSnapshot Sent;
  Sent.AsOf = {2, 40};
  Sent.ChangesOnly = true;
  Sent.Items = {{"a", "1", {2, 39}, false}, {"b", "", {2, 40}, true}};
  Sent.Retained = {{"a", "2", {1, 50}, false}, {"c", "", {1, 51}, true}};
  Sent.SettlesIn = 1500ms;
  Sent.Current = true;
  Sent.CertainAfter = {2, 38};
  auto Read = detail::readSnapshot(detail::writeSnapshot(Sent));
  BOOST_REQUIRE(Read.has_value());
  BOOST_TEST((Read->AsOf == Sent.AsOf));
  BOOST_TEST(Read->ChangesOnly);
  BOOST_TEST(Read->Items.size() == 2U);
  BOOST_REQUIRE(Read->Retained.size() == 2U);
  BOOST_TEST(Read->Retained[0].Value == "2");
  BOOST_TEST((Read->Retained[1].At == StoreRevision{1, 51}));
  BOOST_TEST(Read->Retained[1].Removed);
  BOOST_TEST((Read->SettlesIn == 1500ms));
  BOOST_TEST(Read->Current);
  BOOST_TEST((Read->CertainAfter == Sent.CertainAfter));
}

BOOST_AUTO_TEST_CASE(longestRetentionIsBounded) {
  StoreSnapshot Sent;
  Sent.SettlesIn = 100h;
  auto Read = detail::readSnapshot(detail::writeSnapshot(Sent));
  BOOST_REQUIRE(Read.has_value());
  BOOST_TEST((Read->SettlesIn == StoreMirror::RollbackSettleTime));
  BOOST_TEST(!detail::readSnapshot("\xff\xff").has_value());
}

BOOST_AUTO_TEST_CASE(summaryIsReadAsWritten) {
  detail::MirrorSummary Sent{RegionId("kigali"), {2, 40}, {1, 39}, true, false};
  auto Read = detail::readSummary(detail::writeSummary(Sent));
  BOOST_REQUIRE(Read.has_value());
  BOOST_TEST(Read->Region.str() == "kigali");
  BOOST_TEST((Read->Operator == Sent.Operator));
  BOOST_TEST((Read->Endpoints == Sent.Endpoints));
  BOOST_TEST(Read->Current);
  BOOST_TEST(!Read->Settling);
  BOOST_TEST(!detail::readSummary("\xff\xff").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
