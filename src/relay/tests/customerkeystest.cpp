#include <boost/test/unit_test.hpp>

#include "relay/tests/relayfixture.h"

using namespace celerybeam;
using testing::RawServer;

namespace {

Customer customer(const char *Name, const char *Key, unsigned Rank = 1) {
  Customer Made;
  Made.Name = CustomerId(Name);
  Made.Keys = {digestOfKey(Key)};
  Made.Rank = Rank;
  return Made;
}

/// A host whose tables name the customers a and b with the keys ka and kb.
class Fixture : public testing::RelayFixture {
public:
  Fixture()
      : FromHosts(Loop, [this](HttpServerRequest Request, auto Answer) {
          relayRequest(Context, std::move(Request), std::move(Answer), true);
        }) {
    BOOST_REQUIRE(FromHosts.listen(Address("127.0.0.1:0")));
    setCustomers({customer("a", "ka"), customer("b", "kb")});
  }

  void setCustomers(std::vector<Customer> Customers) {
    change([&](FleetTables &Tables) {
      Tables.Customers =
          std::make_shared<const CustomerTable>(std::move(Customers));
    });
  }

  void change(const std::function<void(FleetTables &)> &Change) {
    FleetTables Tables = *Fleet.tables();
    ++Tables.Version;
    Change(Tables);
    bool Adopted = Fleet.adoptTables(std::move(Tables));
    BOOST_REQUIRE(Adopted);
  }

  RawServer &addEndpointIn(const std::string &Id,
                           const std::string &Pool = "plain") {
    return addEndpoint(Id, Pool,
                       [](const std::string &R) { return ran(R, "done"); });
  }

  /// The response to a request that another host forwards.
  std::string askFromHost(const std::string &Extra) {
    testing::RawCaller C(Loop, FromHosts.address().str(),
                         request("book", Extra));
    testing::runUntil(Loop, [&] {
      return C.received().find("\r\n\r\n") != std::string::npos;
    });
    return C.received();
  }

  HttpServer FromHosts;
};

bool hasStatus(const std::string &Answer, const char *Status) {
  return Answer.starts_with(std::string("HTTP/1.1 ") + Status);
}

std::string forwardedAs(const char *Name, const char *Key) {
  return std::string("Celerybeam-Tables: 2\r\nCelerybeam-Customer: ") + Name +
         "\r\nCelerybeam-Key: " + digestOfKey(Key).hex() + "\r\n";
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(CustomerKeyTests, Fixture)

// UNASKED: a caller names another customer than the one that holds its key.
BOOST_AUTO_TEST_CASE(endpointGetsTheKeysCustomerAndNotTheKey) {
  RawServer &E = addEndpointIn("e");
  BOOST_TEST(hasStatus(ask(request("look", "Key: ka\r\nCustomer: b\r\n"
                                           "customer: c\r\n")),
                       "200"));
  BOOST_REQUIRE(E.Requests.size() == 1U);
  BOOST_TEST(field(E.Requests[0], "Customer") == "a");
  BOOST_TEST(E.Requests[0].find("ka") == std::string::npos);
  BOOST_TEST(E.Requests[0].find(": c") == std::string::npos);
  BOOST_TEST(Done[0].Customer == CustomerId("a"));
}

// ROUTE: a request whose key no configuration has held must not run.
BOOST_AUTO_TEST_CASE(unknownAndMissingKeysAreRefused) {
  RawServer &E = addEndpointIn("e");
  BOOST_TEST(hasStatus(ask(request("look", "Key: other\r\n")), "401"));
  BOOST_TEST(hasStatus(ask(request("look")), "401"));
  BOOST_TEST(E.Requests.empty());
}

// DENIED: a host with old tables does not know a key that was just added.
BOOST_AUTO_TEST_CASE(unknownKeyIsNotDeniedByTablesThatMayBeOld) {
  TablesCurrent = false;
  std::string Answer = ask(request("look", "Key: other\r\n"));
  BOOST_TEST(hasStatus(Answer, "503"));
  BOOST_TEST(!field(Answer, "Retry-After").empty());
}

// DENIED: a host with old tables does not know that a route has become public,
// or that keys are no longer needed.
BOOST_AUTO_TEST_CASE(missingKeyIsNotDeniedByTablesThatMayBeOld) {
  RawServer &E = addEndpointIn("e");
  TablesCurrent = false;
  BOOST_TEST(hasStatus(ask(request("look")), "503"));
  BOOST_TEST(E.Requests.empty());
}

BOOST_AUTO_TEST_CASE(publicRouteNeedsNoKeyAndNamesNoCustomer) {
  RawServer &E = addEndpointIn("e");
  change([](FleetTables &Tables) {
    for (FleetRoute &Route : Tables.Routes)
      Route.IsPublic = true;
  });
  BOOST_TEST(
      hasStatus(ask(request("look", "Key: other\r\nCustomer: b\r\n")), "200"));
  BOOST_REQUIRE(E.Requests.size() == 1U);
  BOOST_TEST(field(E.Requests[0], "Key").empty());
  BOOST_TEST(field(E.Requests[0], "Customer").empty());
}

// Without customers both fields belong to the caller and the endpoint.
BOOST_AUTO_TEST_CASE(fieldsPassWhereTheTablesNameNoCustomers) {
  RawServer &E = addEndpointIn("e");
  change([](FleetTables &Tables) { Tables.Customers.reset(); });
  BOOST_TEST(
      hasStatus(ask(request("look", "Key: k\r\nCustomer: b\r\n")), "200"));
  BOOST_REQUIRE(E.Requests.size() == 1U);
  BOOST_TEST(field(E.Requests[0], "Key") == "k");
  BOOST_TEST(field(E.Requests[0], "Customer") == "b");
}

// HOME: only a region that is a home of both the route and the customer may
// run the request.
BOOST_AUTO_TEST_CASE(homesOfCustomerAndRouteBothBind) {
  RawServer &E = addEndpointIn("e");
  Customer Away = customer("a", "ka");
  Away.Homes = HomeRegions::only({RegionId("musanze")});
  setCustomers({Away, customer("b", "kb")});
  BOOST_TEST(hasStatus(ask(request("look", "Key: ka\r\n")), "503"));
  BOOST_TEST(hasStatus(ask(request("look", "Key: kb\r\n")), "200"));
  change([](FleetTables &Tables) {
    for (FleetRoute &Route : Tables.Routes)
      Route.Homes = HomeRegions::only({RegionId("kigali")});
  });
  // No region is a home of both.
  BOOST_TEST(hasStatus(ask(request("look", "Key: ka\r\n")), "503"));
  BOOST_TEST(Done.back().Total < std::chrono::milliseconds(100));
  BOOST_TEST(E.Requests.size() == 1U);
}

// HOME: the customer's homes change while its request waits to be sent.
BOOST_AUTO_TEST_CASE(requestFollowsItsCustomersHomes) {
  RawServer &E = addEndpointIn("e");
  testing::RawCaller C(Loop, Front.address().str(),
                       request("book", "Key: ka\r\n"));
  while (Caller.connectionsMade() == 0)
    Loop.context().run_one();
  Customer Away = customer("a", "ka");
  Away.Homes = HomeRegions::only({RegionId("musanze")});
  setCustomers({Away});
  testing::runUntil(Loop, [&] { return Done.size() == 1; });
  BOOST_TEST(E.Requests.empty());
  BOOST_TEST(Done[0].Status == 503U);
}

// The key would reach another region's host, and its log.
BOOST_AUTO_TEST_CASE(forwardedRequestCarriesCustomerAndDigestOnly) {
  RawServer &Other = addOtherHost(
      "plain", [](const std::string &R) { return ran(R, "done"); });
  BOOST_TEST(hasStatus(ask(request("look", "Key: ka\r\n")), "200"));
  BOOST_REQUIRE(Other.Requests.size() == 1U);
  BOOST_TEST(field(Other.Requests[0], "Celerybeam-Customer") == "a");
  BOOST_TEST(field(Other.Requests[0], "Celerybeam-Key") ==
             digestOfKey("ka").hex());
  BOOST_TEST(Other.Requests[0].find("Key: ka") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(forwardedRequestKeepsItsCustomer) {
  RawServer &E = addEndpointIn("e");
  BOOST_TEST(hasStatus(askFromHost(forwardedAs("a", "ka")), "200"));
  BOOST_REQUIRE(E.Requests.size() == 1U);
  BOOST_TEST(field(E.Requests[0], "Customer") == "a");
  BOOST_TEST(field(E.Requests[0], "Celerybeam-Key").empty());
}

// A key moved to another customer, or was removed, on the way between hosts of
// different versions.
BOOST_AUTO_TEST_CASE(forwardedRequestIsRefusedIfItsCustomerChanged) {
  RawServer &E = addEndpointIn("e");
  BOOST_TEST(hasStatus(askFromHost(forwardedAs("b", "ka")), "503"));
  BOOST_TEST(hasStatus(askFromHost(forwardedAs("a", "gone")), "503"));
  // The sender's tables name no customers yet.
  std::string Answer = askFromHost("Celerybeam-Tables: 2\r\nKey: ka\r\n");
  BOOST_TEST(hasStatus(Answer, "503"));
  BOOST_TEST(field(Answer, "Celerybeam-Not-Run") == "1");
  BOOST_TEST(E.Requests.empty());
}

// A caller cannot name its customer as another host does.
BOOST_AUTO_TEST_CASE(callersHostFieldsNameNoCustomer) {
  RawServer &E = addEndpointIn("e");
  BOOST_TEST(hasStatus(ask(request("look", forwardedAs("a", "ka"))), "401"));
  BOOST_TEST(E.Requests.empty());
}

// The customer's rank precedes the route's at the engines, too.
BOOST_AUTO_TEST_CASE(enginesGetTheCustomersPriority) {
  RawServer &E = addEndpoint("e", "engines", [](const std::string &R) {
    return RawServer::Answer{streamHead(R) + event(1) + "0\r\n\r\n", false,
                             false};
  });
  setCustomers({customer("a", "ka", 2), customer("b", "kb", 3)});
  Context.Hooks.Decode = [Decode = Context.Hooks.Decode](const auto &R) {
    auto D = Decode(R);
    D->PromptTokens = 10;
    return D;
  };
  ask(request("draft", "Key: ka\r\n"));
  ask(request("draft", "Key: kb\r\n"));
  BOOST_REQUIRE(E.Requests.size() == 2U);
  BOOST_TEST(field(E.Requests[0], "Priority") == "1");
  BOOST_TEST(field(E.Requests[1], "Priority") == "4");
}

// CONFIG: the key may have been removed while the host lost the store.
BOOST_AUTO_TEST_CASE(keyIsNotResolvedByTablesThatNobodyConfirms) {
  RawServer &E = addEndpointIn("e");
  Context.Hooks.MayResolveKey = [](TimePoint) { return false; };
  std::string Answer = ask(request("look", "Key: ka\r\n"));
  BOOST_TEST(hasStatus(Answer, "503"));
  BOOST_TEST(!field(Answer, "Retry-After").empty());
  BOOST_TEST(Done[0].Outcome == "tables_unconfirmed");
  BOOST_TEST(E.Requests.empty());
  // The first host has resolved it in time.
  BOOST_TEST(hasStatus(askFromHost(forwardedAs("a", "ka")), "200"));
  change([](FleetTables &Tables) {
    for (FleetRoute &Route : Tables.Routes)
      Route.IsPublic = true;
  });
  BOOST_TEST(hasStatus(ask(request("look")), "200"));
}

// A request that waited for a confirmation uses the tables that came with it.
BOOST_AUTO_TEST_CASE(requestWaitsForAConfirmation) {
  RawServer &E = addEndpointIn("e");
  bool Confirmed = false;
  Context.Hooks.MayResolveKey = [&](TimePoint) { return Confirmed; };
  Time.After(std::chrono::milliseconds(100), [&] {
    setCustomers({customer("b", "kb")});
    Confirmed = true;
  });
  BOOST_TEST(hasStatus(ask(request("look", "Key: ka\r\n")), "401"));
  BOOST_TEST(E.Requests.empty());
}

BOOST_AUTO_TEST_SUITE_END()
