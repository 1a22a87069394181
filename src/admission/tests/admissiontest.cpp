#include "admission/admissioncontroller.h"

#include <boost/test/unit_test.hpp>

#include <map>

#include "support/virtualtime.h"

using namespace celerybeam;
using namespace std::chrono_literals;

namespace {

/// An AdmissionController of one entry host with one pool of 8 slots.
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
    Board.upsertEndpoint(D, EndpointState::Live);
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

  /// Submits a request for one customer after another until the allocator of
  /// the customer's limit is the other host; returns that request.
  RequestId submitWithRemoteAllocator() {
    while (true) {
      RequestId Id =
          submit(RequestClass::Short, "customer" + std::to_string(Submitted));
      if (waits(Id))
        return Id;
    }
  }

  /// Replies to the last share request with a grant of Amount.
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
    AdmissionRequest Request{
        Id, Route.Name,           Pool.Name, CustomerId(Customer), Class,
        10, Time.now() + Deadline};
    Admission.submit(Request, [this, Id](Result<void> R) {
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

BOOST_AUTO_TEST_CASE(windowEqualsThePoolsSlots) {
  auto Ids = fill(9);
  BOOST_TEST(admitted(Ids[7]));
  BOOST_TEST(waits(Ids[8]));
  Admission.finished(Ids[0], 10);
  BOOST_TEST(admitted(Ids[8]));
  BOOST_TEST(Admission.poolStats(Pool.Name).Admitted == 8U);
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

// Guards against permanent oversubscription: under sustained overload of
// several hosts, slots borrowed while some were free are returned once requests
// wait at the endpoints.
BOOST_AUTO_TEST_CASE(borrowedSlotsAreReturnedUnderOverload) {
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
  BOOST_TEST(Admission.poolStats(Pool.Name).Admitted == 4U);
}

BOOST_AUTO_TEST_CASE(shortRequestsOvertakeLongRequests) {
  auto Ids = fill(8);
  auto LongRequests = fill(3, RequestClass::Long, "t", 1h);
  RequestId ShortRequest = submit(RequestClass::Short);
  Admission.finished(Ids[0], 10);
  Admission.finished(Ids[1], 10);
  // A long request is admitted once per minimum interval; otherwise the short
  // request goes first.
  BOOST_TEST(admitted(LongRequests[0]));
  BOOST_TEST(admitted(ShortRequest));
  Admission.finished(Ids[2], 10);
  BOOST_TEST(admitted(LongRequests[1]));
  BOOST_TEST(waits(LongRequests[2]));
}

BOOST_AUTO_TEST_CASE(longRequestsLeaveSlotsFree) {
  auto LongRequests = fill(8, RequestClass::Long);
  BOOST_TEST(admitted(LongRequests[5]));
  BOOST_TEST(waits(LongRequests[6]));
  BOOST_TEST(admitted(submit(RequestClass::Short)));
}

BOOST_AUTO_TEST_CASE(refusedAtOnceWhenTheDeadlineCannotBeMet) {
  fill(40);
  RequestId Late = submit(RequestClass::Short, "t", 2s);
  BOOST_TEST((error(Late).Kind == ErrorKind::NoCapacityInTime));
  // 32 requests are queued for 8 slots with a service time of 1 s each, so the
  // queue takes about 4 s.
  BOOST_TEST((*error(Late).RetryAfter >= 2s));
  BOOST_TEST((*error(Late).RetryAfter <= 4s));
}

BOOST_AUTO_TEST_CASE(queuedRequestIsRefusedOnceItCannotBeServed) {
  fill(8);
  RequestId Queued = submit(RequestClass::Short, "u", 1500ms);
  BOOST_TEST(waits(Queued));
  fill(24);
  run(900ms);
  BOOST_TEST((error(Queued).Kind == ErrorKind::NoCapacityInTime));
  // The retry delay is the wait of a new request, not the minimum.
  BOOST_TEST((*error(Queued).RetryAfter >= 200ms));
}

// Under overload with equal service times, a request admitted with less time
// left than they take would only waste its slot.
BOOST_AUTO_TEST_CASE(serviceTimeIsLearnedFromTheFirstResponses) {
  auto Ids = fill(8);
  run(3s);
  for (int I = 0; I < 4; ++I)
    Admission.finished(Ids[I], 10);
  fill(4);
  auto Late = submit(RequestClass::Short, "t", 2800ms);
  BOOST_TEST((error(Late).Kind == ErrorKind::NoCapacityInTime));
}

// With differing service times, a shorter request may still finish in time and
// must not be refused.
BOOST_AUTO_TEST_CASE(requestIsAdmittedWhenServiceTimesVary) {
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
  RequestId LongRequest = submit(RequestClass::Long, "polite", 1h);
  auto Flood = fill(63, RequestClass::Short, "flood", 1h);
  BOOST_TEST(waits(LongRequest));
  RequestId Polite = submit(RequestClass::Short, "polite", 1h);
  BOOST_TEST((error(LongRequest).Kind == ErrorKind::Overloaded));
  BOOST_TEST(error(LongRequest).RetryAfter.has_value());
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
  BOOST_TEST(Admission.poolStats(Pool.Name).Admitted == 7U);
  // Cancelling an admitted request, whose end was not reported, frees its slot.
  Admission.cancel(Ids[1]);
  BOOST_TEST(Admission.poolStats(Pool.Name).Admitted == 6U);
}

BOOST_AUTO_TEST_CASE(rateLimitErrorStatesTimeToNextToken) {
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

BOOST_AUTO_TEST_CASE(concurrencyIsReleasedAfterFinishOrCancel) {
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

BOOST_AUTO_TEST_CASE(usedTokensReplaceEstimatedTokens) {
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
  RequestId Id = submitWithRemoteAllocator();
  BOOST_TEST(waits(Id));
  grant(0.25);
  BOOST_TEST(admitted(Id));
}

BOOST_AUTO_TEST_CASE(requestIsRefusedAtOnceWithoutAShareLeft) {
  addPeer();
  Route.Limits.CustomerConcurrency = 4;
  publish();
  run(3s);
  RequestId Id = submitWithRemoteAllocator();
  grant(0);
  BOOST_TEST((error(Id).Kind == ErrorKind::RateLimited));
}

BOOST_AUTO_TEST_CASE(waitForUnresponsiveAllocatorIsBounded) {
  addPeer();
  Route.Limits.CustomerConcurrency = 4;
  publish();
  run(3s);
  RequestId Id = submitWithRemoteAllocator();
  std::size_t SentBefore = Sent.size();
  run(1s);
  BOOST_TEST(waits(Id));
  BOOST_TEST(Sent.size() > SentBefore + 5);
  run(2s);
  BOOST_TEST((error(Id).Kind == ErrorKind::RateLimited));
  BOOST_TEST(error(Id).RetryAfter.has_value());
}

BOOST_AUTO_TEST_CASE(forwardedRequestsTakeNoSlot) {
  fill(8);
  AdmissionRequest Request{
      RequestId("away"),   Route.Name, Pool.Name,       CustomerId("t"),
      RequestClass::Short, 10,         Time.now() + 9s, true};
  bool Done = false;
  Admission.submit(Request,
                   [&](const Result<void> &R) { Done = R.has_value(); });
  BOOST_TEST(Done);
}

BOOST_AUTO_TEST_CASE(pastDeadlineIsRefused) {
  BOOST_TEST((error(submit(RequestClass::Short, "t", 0s)).Kind ==
              ErrorKind::DeadlineExpired));
}

BOOST_AUTO_TEST_SUITE_END()
