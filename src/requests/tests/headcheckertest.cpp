#include "requests/internal/headchecker.h"

#include <boost/test/unit_test.hpp>

using namespace celerybeam;
using detail::HeadChecker;

namespace {

struct Fixture {
  Fixture()
      : Board({HostId("k1"), RegionId("kigali"), ZoneId("kigali-a"),
               Address("a"), Address("b")}) {
    auto T = std::make_shared<Tables>();
    T->Number = 1;
    T->Routes = {route("open", ResidenceRule::None),
                 route("bound", ResidenceRule::Region)};
    RouteRow Slots = route("slots", ResidenceRule::Region);
    Slots.ResidenceRegion = RegionId("kigali");
    Slots.Models.clear();
    Slots.Repeatable = false;
    T->Routes.push_back(Slots);
    Board.adoptTables(T);
    Services.Board = &Board;
    Services.Time.Now = [] { return TimePoint(std::chrono::seconds(100)); };
    Services.Authenticate = [](std::string_view Key) -> Result<CustomerId> {
      if (Key != "good")
        return makeError(ErrorKind::Unauthorized, "send a customer key");
      return CustomerId("t");
    };
    Services.EntryAddressesOf = [](const RegionId &) {
      return std::vector<Address>{Address("10.0.0.9:80")};
    };
  }

  static RouteRow route(const std::string &Name, ResidenceRule Residence) {
    RouteRow Row;
    Row.Name = RouteName(Name);
    Row.Models = {ModelName("m@1")};
    Row.Residence = Residence;
    Row.ResidenceRegion = RegionId("huye");
    return Row;
  }

  ErrorKind refusal(const std::string &Path, HeaderFields Extra) {
    Extra.push_back({"authorization", "good"});
    auto Accepted = HeadChecker(Services).check({"POST", Path, "", Extra});
    BOOST_REQUIRE(!Accepted.has_value());
    BOOST_TEST(!Accepted.error().Message.empty());
    return Accepted.error().Kind;
  }

  Blackboard Board;
  RequestServices Services;
};

const std::string Chat = "/v1/chat/completions";

} // namespace

BOOST_FIXTURE_TEST_SUITE(HeadCheckerTests, Fixture)

BOOST_AUTO_TEST_CASE(namedOpenRouteIsAccepted) {
  auto Accepted = HeadChecker(Services).check({"POST",
                                               Chat,
                                               "",
                                               {{"authorization", "good"},
                                                {"celerybeam-route", "open"},
                                                {"request-timeout", "2.5"}}});
  BOOST_REQUIRE(Accepted.has_value());
  BOOST_TEST(
      (*Accepted->Deadline == TimePoint(std::chrono::milliseconds(102500))));
}

BOOST_AUTO_TEST_CASE(wrongRegionErrorListsEntryHosts) {
  auto Accepted = HeadChecker(Services).check(
      {"POST",
       Chat,
       "",
       {{"authorization", "good"}, {"celerybeam-route", "bound"}}});
  BOOST_REQUIRE(!Accepted.has_value());
  BOOST_TEST((Accepted.error().Kind == ErrorKind::WrongRegion));
  BOOST_TEST(Accepted.error().Message.find("10.0.0.9:80") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(unnamedRouteIsRefusedIfAnyMustStayElsewhere) {
  BOOST_TEST((refusal(Chat, {}) == ErrorKind::BadRequest));
}

BOOST_AUTO_TEST_CASE(badFieldsAreRefusedWithTheirKinds) {
  HeaderField Open{"celerybeam-route", "open"};
  BOOST_TEST((refusal(Chat, {{"celerybeam-route", "none"}}) ==
              ErrorKind::UnknownRoute));
  BOOST_TEST((refusal(Chat, {Open, {"request-timeout", "-1"}}) ==
              ErrorKind::DeadlineExpired));
  BOOST_TEST((refusal(Chat, {Open, {"request-timeout", "soon"}}) ==
              ErrorKind::BadRequest));
  BOOST_TEST((refusal(Chat, {Open, {"request-timeout", "nan"}}) ==
              ErrorKind::BadRequest));
  BOOST_TEST((refusal(Chat, {Open, {"celerybeam-class", "tiny"}}) ==
              ErrorKind::BadRequest));
  BOOST_TEST((refusal("/other", {}) == ErrorKind::NotFound));
}

BOOST_AUTO_TEST_CASE(bookingNeedsOneKeyOfVersion7) {
  const std::string Path = "/services/slots/book";
  BOOST_TEST((refusal(Path, {}) == ErrorKind::MissingKey));
  BOOST_TEST(
      (refusal(Path, {{"idempotency-key", "abc"}}) == ErrorKind::InvalidKey));
  HeaderField Key{"idempotency-key", "0190163d-8694-739b-aea5-966c26f8ad90"};
  BOOST_TEST((refusal(Path, {Key, Key}) == ErrorKind::MissingKey));
  auto Accepted = HeadChecker(Services).check(
      {"POST", Path, "", {{"authorization", "good"}, Key}});
  BOOST_REQUIRE(Accepted.has_value());
  BOOST_TEST((Accepted->Kind == RequestKind::Booking));
  BOOST_TEST(Accepted->ServicePath == "/book");
}

BOOST_AUTO_TEST_CASE(leavingHostRefusesRequests) {
  Board.setLeaving();
  BOOST_TEST((refusal(Chat, {}) == ErrorKind::ShuttingDown));
}

BOOST_AUTO_TEST_SUITE_END()
