#include "admission/admissioncontroller.h"

#include <boost/test/unit_test.hpp>

#include <map>

#include "support/virtualtime.h"

using namespace celerybeam;
using namespace std::chrono_literals;

namespace {

/// One entry host with one pool of 8 slots.
struct Fixture {
  Fixture() : Board(identity()), Admission(Board, Time.runtime(), hooks()) {
    Route.Name = RouteName("quotes");
    Pool.Name = PoolName("cedar");
    Pool.Label = "cedar";
    publish();
    EndpointDescriptor D;
    D.Id = EndpointId("m1");
    D.Region = identity().Region;
    D.Label = "cedar";
    D.Slots = 8;
    Board.describeEndpoint(D, EndpointState::Live);
    run(3s);
  }

  static HostIdentity identity() {
    HostIdentity Self;
    Self.Id = HostId("h1");
    Self.Region = RegionId("huye");
    return Self;
  }

  PeerHooks hooks() {
    return {[this](const HostId &, const messages::Envelope &Message) {
      Sent.push_back(Message);
    }};
  }

  void addPeer() {
    PeerRecord Peer;
    Peer.Id = HostId("h2");
    Peer.Region = RegionId("huye");
    Board.peers().set(Peer.Id, Peer);
  }

  /// Submits as customer after customer until the keeper of the limit is the
  /// other host.
  RequestId submitWithRemoteKeeper() {
    while (true) {
      RequestId Id =
          submit(RequestClass::Short, "customer" + std::to_string(Submitted));
      if (waits(Id))
        return Id;
    }
  }

  /// Grants the share that was asked for last.
  void grant(double Amount) {
    BOOST_REQUIRE(!Sent.empty());
    messages::Envelope Reply = Sent.back();
    Reply.set_from("h2");
    Reply.mutable_share_transfer()->set_acknowledged(true);
    Reply.mutable_share_transfer()->set_amount(Amount);
    Admission.handle(Reply);
  }

  void publish() {
    auto T = std::make_shared<Tables>();
    T->Number = Board.tables()->Number + 1;
    T->Routes = {Route};
    T->Pools = {Pool};
    Board.adoptTables(T);
  }

  void run(Duration Span) {
    for (Duration Past{}; Past < Span;
         Past += AdmissionController::TickInterval) {
      Time.runFor(AdmissionController::TickInterval);
      Admission.tick();
    }
  }

  RequestId submit(RequestClass Class, const std::string &Customer = "t",
                   Duration Deadline = 60s) {
    RequestId Id("r" + std::to_string(++Submitted));
    AdmissionRequest Ask{
        Id, Route.Name,           Pool.Name, CustomerId(Customer), Class,
        10, Time.now() + Deadline};
    Admission.submit(Ask, [this, Id](Result<void> R) {
      Order.push_back(Id);
      Results.emplace(Id, std::move(R));
    });
    return Id;
  }

  std::vector<RequestId> fill(unsigned Count,
                              RequestClass Class = RequestClass::Short,
                              const std::string &Customer = "t",
                              Duration Deadline = 60s) {
    std::vector<RequestId> Ids;
    Ids.reserve(Count);
    for (unsigned I = 0; I < Count; ++I)
      Ids.push_back(submit(Class, Customer, Deadline));
    return Ids;
  }

  bool admitted(const RequestId &Id) const {
    auto It = Results.find(Id);
    return It != Results.end() && It->second.has_value();
  }

  bool waits(const RequestId &Id) const { return !Results.contains(Id); }

  const Error &error(const RequestId &Id) const {
    BOOST_REQUIRE(Results.contains(Id));
    BOOST_REQUIRE(!Results.at(Id));
    return Results.at(Id).error();
  }

  testing::VirtualTime Time{3};
  std::vector<messages::Envelope> Sent;
  RouteRow Route;
  PoolRow Pool;
  Blackboard Board;
  AdmissionController Admission;
  unsigned Submitted = 0;
  std::map<RequestId, Result<void>> Results;
  std::vector<RequestId> Order;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AdmissionTests, Fixture)

BOOST_AUTO_TEST_CASE(theWindowIsThePoolsSlots) {
  auto Ids = fill(9);
  BOOST_TEST(admitted(Ids[7]));
  BOOST_TEST(waits(Ids[8]));
  Admission.finished(Ids[0], 10);
  BOOST_TEST(admitted(Ids[8]));
  BOOST_TEST(Admission.view(Pool.Name).Admitted == 8U);
}

BOOST_AUTO_TEST_CASE(hostsOfARegionShareTheSlots) {
  addPeer();
  Board.endpoints().update(EndpointId("m1"),
                           [](EndpointRecord &E) { E.Report.Running = 8; });
  run(1s);
  auto Ids = fill(5);
  BOOST_TEST(admitted(Ids[3]));
  BOOST_TEST(waits(Ids[4]));
}

BOOST_AUTO_TEST_CASE(freeSlotsOfOtherHostsAreBorrowed) {
  addPeer();
  run(1s);
  auto Ids = fill(7);
  BOOST_TEST(waits(Ids[6]));
  run(3s);
  BOOST_TEST(admitted(Ids[6]));
}

// Sustained overload over many hosts: what each borrowed while slots stood free
// comes back once requests wait at the endpoints.
BOOST_AUTO_TEST_CASE(borrowedSlotsAreGivenBackUnderOverload) {
  addPeer();
  run(1s);
  auto Ids = fill(12);
  run(6s);
  BOOST_REQUIRE(admitted(Ids[7]));
  BOOST_REQUIRE(waits(Ids[8]));
  Board.endpoints().update(EndpointId("m1"), [](EndpointRecord &E) {
    E.Report.Running = 8;
    E.Report.Waiting = 4;
  });
  for (int I = 0; I < 4; ++I) {
    run(200ms);
    Admission.finished(Ids[I], 10);
  }
  BOOST_TEST(waits(Ids[8]));
  BOOST_TEST(Admission.view(Pool.Name).Admitted == 4U);
}

BOOST_AUTO_TEST_CASE(shortQuestionsOvertakeLongDrafts) {
  auto Ids = fill(8);
  auto Drafts = fill(3, RequestClass::Long, "t", 1h);
  RequestId Question = submit(RequestClass::Short);
  Admission.finished(Ids[0], 10);
  Admission.finished(Ids[1], 10);
  // A draft has its turn once in a while; then the question comes first.
  BOOST_TEST(admitted(Drafts[0]));
  BOOST_TEST(admitted(Question));
  Admission.finished(Ids[2], 10);
  BOOST_TEST(admitted(Drafts[1]));
  BOOST_TEST(waits(Drafts[2]));
}

BOOST_AUTO_TEST_CASE(longDraftsLeaveSlotsFree) {
  auto Drafts = fill(8, RequestClass::Long);
  BOOST_TEST(admitted(Drafts[5]));
  BOOST_TEST(waits(Drafts[6]));
  BOOST_TEST(admitted(submit(RequestClass::Short)));
}

BOOST_AUTO_TEST_CASE(refusedAtOnceWhenTheDeadlineCannotBeMet) {
  fill(40);
  RequestId Late = submit(RequestClass::Short, "t", 2s);
  BOOST_TEST((error(Late).Kind == ErrorKind::NoCapacityInTime));
  // 32 wait for 8 slots of a second each: the queue is about 4 s long.
  BOOST_TEST((*error(Late).RetryAfter >= 2s));
  BOOST_TEST((*error(Late).RetryAfter <= 4s));
}

BOOST_AUTO_TEST_CASE(aWaiterIsRefusedAsSoonAsItCannotBeServed) {
  fill(8);
  RequestId Waiter = submit(RequestClass::Short, "u", 1500ms);
  BOOST_TEST(waits(Waiter));
  fill(24);
  run(900ms);
  BOOST_TEST((error(Waiter).Kind == ErrorKind::NoCapacityInTime));
  // As long as one with the same time would wait now, not at once.
  BOOST_TEST((*error(Waiter).RetryAfter >= 200ms));
}

// Answers of equal length under overload: one admitted with less time than
// they take would only waste its slot.
BOOST_AUTO_TEST_CASE(serviceTimeIsLearnedFromTheFirstAnswers) {
  auto Ids = fill(8);
  run(3s);
  for (int I = 0; I < 4; ++I)
    Admission.finished(Ids[I], 10);
  fill(4);
  auto Late = submit(RequestClass::Short, "t", 2800ms);
  BOOST_TEST((error(Late).Kind == ErrorKind::NoCapacityInTime));
}

// Lengths that differ: the shorter ones may still be in time.
BOOST_AUTO_TEST_CASE(serviceTimesThatDifferLeaveAChance) {
  auto Ids = fill(8);
  run(1s);
  Admission.finished(Ids[0], 10);
  Admission.finished(Ids[1], 10);
  run(4s);
  Admission.finished(Ids[2], 10);
  Admission.finished(Ids[3], 10);
  fill(3);
  auto Late = submit(RequestClass::Short, "t", 2800ms);
  BOOST_TEST(admitted(Late));
}

BOOST_AUTO_TEST_CASE(aFullQueueShedsLongThenTheNewestOfTheLargestCustomer) {
  fill(8);
  RequestId Draft = submit(RequestClass::Long, "polite", 1h);
  auto Flood = fill(63, RequestClass::Short, "flood", 1h);
  BOOST_TEST(waits(Draft));
  RequestId Polite = submit(RequestClass::Short, "polite", 1h);
  BOOST_TEST((error(Draft).Kind == ErrorKind::Overloaded));
  BOOST_TEST(error(Draft).RetryAfter.has_value());
  RequestId Second = submit(RequestClass::Short, "polite", 1h);
  BOOST_TEST(waits(Polite));
  BOOST_TEST(waits(Second));
  BOOST_TEST((error(Flood.back()).Kind == ErrorKind::Overloaded));
}

BOOST_AUTO_TEST_CASE(cancelledRequestsAreNeverAdmitted) {
  auto Ids = fill(9);
  Admission.cancel(Ids[8]);
  Admission.finished(Ids[0], 10);
  BOOST_TEST(waits(Ids[8]));
  BOOST_TEST(Admission.view(Pool.Name).Admitted == 7U);
  // Of an admitted request whose end nobody told.
  Admission.cancel(Ids[1]);
  BOOST_TEST(Admission.view(Pool.Name).Admitted == 6U);
}

BOOST_AUTO_TEST_CASE(limitsRefuseWithTheTimeToTheNextToken) {
  Route.Limits.CustomerRequestsPerSecond = 2;
  publish();
  auto Ids = fill(3);
  BOOST_TEST(admitted(Ids[1]));
  BOOST_TEST((error(Ids[2]).Kind == ErrorKind::RateLimited));
  BOOST_TEST((*error(Ids[2]).RetryAfter > 400ms));
  BOOST_TEST((*error(Ids[2]).RetryAfter <= 600ms));
  run(520ms);
  BOOST_TEST(admitted(submit(RequestClass::Short)));
  BOOST_TEST(admitted(submit(RequestClass::Short, "other")));
}

BOOST_AUTO_TEST_CASE(concurrencyIsGivenBackWhateverTheEnd) {
  Route.Limits.CustomerConcurrency = 2;
  publish();
  auto Ids = fill(3);
  BOOST_TEST((error(Ids[2]).Kind == ErrorKind::RateLimited));
  Admission.finished(Ids[0], 10);
  Admission.cancel(Ids[1]);
  auto More = fill(3);
  BOOST_TEST(admitted(More[1]));
  BOOST_TEST(!admitted(More[2]));
}

BOOST_AUTO_TEST_CASE(tokensUsedAreCountedInPlaceOfThoseAsked) {
  Route.Limits.CustomerTokensPerSecond = 100;
  publish();
  RequestId First = submit(RequestClass::Short);
  BOOST_TEST(admitted(First));
  Admission.finished(First, 500);
  RequestId Second = submit(RequestClass::Short);
  BOOST_TEST((error(Second).Kind == ErrorKind::RateLimited));
  BOOST_TEST((*error(Second).RetryAfter > 3s));
}

BOOST_AUTO_TEST_CASE(aRequestWaitsForTheShareOfAnotherHost) {
  addPeer();
  Route.Limits.CustomerConcurrency = 4;
  publish();
  run(3s);
  RequestId Id = submitWithRemoteKeeper();
  BOOST_TEST(waits(Id));
  grant(0.25);
  BOOST_TEST(admitted(Id));
}

BOOST_AUTO_TEST_CASE(withoutAShareLeftItIsRefusedAtOnce) {
  addPeer();
  Route.Limits.CustomerConcurrency = 4;
  publish();
  run(3s);
  RequestId Id = submitWithRemoteKeeper();
  grant(0);
  BOOST_TEST((error(Id).Kind == ErrorKind::RateLimited));
}

BOOST_AUTO_TEST_CASE(aSilentKeeperIsNotWaitedForWithoutEnd) {
  addPeer();
  Route.Limits.CustomerConcurrency = 4;
  publish();
  run(3s);
  RequestId Id = submitWithRemoteKeeper();
  std::size_t Questions = Sent.size();
  run(1s);
  BOOST_TEST(waits(Id));
  BOOST_TEST(Sent.size() > Questions + 5);
  run(2s);
  BOOST_TEST((error(Id).Kind == ErrorKind::RateLimited));
  BOOST_TEST(error(Id).RetryAfter.has_value());
}

BOOST_AUTO_TEST_CASE(requestsThatGoAwayTakeNoPlace) {
  fill(8);
  AdmissionRequest Ask{
      RequestId("away"),   Route.Name, Pool.Name,       CustomerId("t"),
      RequestClass::Short, 10,         Time.now() + 9s, true};
  bool Done = false;
  Admission.submit(Ask, [&](const Result<void> &R) { Done = R.has_value(); });
  BOOST_TEST(Done);
}

BOOST_AUTO_TEST_CASE(aPastDeadlineIsTold) {
  BOOST_TEST((error(submit(RequestClass::Short, "t", 0s)).Kind ==
              ErrorKind::DeadlineExpired));
}

BOOST_AUTO_TEST_SUITE_END()
