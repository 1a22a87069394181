#include <deque>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "requests/internal/forwardclient.h"
#include "requests/internal/forwardserver.h"

using namespace celerybeam;
using detail::ForwardClient;
using detail::ForwardServer;

namespace {

// A client and a server whose messages are queued until a test delivers them.
struct Fixture {
  PeerHooks from(const std::string &Name) {
    return {[this, Name](const HostId &, messages::Envelope Message) {
      Message.set_from(Name);
      Wire.push_back(std::move(Message));
    }};
  }

  void deliver(const messages::Envelope &Message) {
    Client.handle(Message);
    Server.handle(Message);
  }

  void deliverAll() {
    while (!Wire.empty()) {
      messages::Envelope Message = Wire.front();
      Wire.pop_front();
      deliver(Message);
    }
  }

  void start(std::uint32_t Hops) {
    messages::ForwardRequest Request;
    Request.set_request_id("r");
    Request.set_attempt(1);
    Request.set_hops(Hops);
    CallObserver Observer;
    Observer.OnHead = [this](const ResponseHead &Head) {
      Status = Head.Status;
    };
    Observer.OnData = [this](const std::string &Data) {
      Body += Data;
      return OnDataResult;
    };
    Observer.OnEnd = [this](const Result<void> &Outcome) {
      Ends.push_back(Outcome);
    };
    Client.start(HostId("server"), Request, Observer);
  }

  Runtime runtime() {
    Runtime R;
    R.After = [this](Duration, Task Work) {
      Timers.push_back(std::move(Work));
    };
    return R;
  }

  void passTime() {
    for (Task &Work : std::exchange(Timers, {}))
      Work();
  }

  std::vector<Task> Timers;
  std::deque<messages::Envelope> Wire;
  ResponseHooks Response;
  unsigned Started = 0;
  unsigned ResumeCount = 0;
  Flow OnDataResult = Flow::Continue;
  int Status = 0;
  std::string Body;
  std::vector<Result<void>> Ends;
  ForwardClient Client{from("client"), runtime()};
  ForwardServer Server{
      from("server"),
      {[this](const messages::ForwardRequest &, ResponseHooks Hooks) {
         ++Started;
         Response = std::move(Hooks);
       },
       [this](const AttemptId &) { ++ResumeCount; }, [](const AttemptId &) {}}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ForwardTests, Fixture)

BOOST_AUTO_TEST_CASE(responseArrivesCompleteAndInOrder) {
  start(1);
  deliverAll();
  Response.Head({200, {}});
  Response.Chunk("one ");
  Response.Chunk("two");
  Response.End({});
  deliverAll();
  BOOST_TEST(Status == 200);
  BOOST_TEST(Body == "one two");
  BOOST_REQUIRE_EQUAL(Ends.size(), 1U);
  BOOST_TEST(Ends[0].has_value());
}

BOOST_AUTO_TEST_CASE(repeatedFramesChangeNothing) {
  start(1);
  messages::Envelope Request = Wire.front();
  deliverAll();
  deliver(Request);
  BOOST_TEST(Started == 1U);
  Response.Head({200, {}});
  Response.Chunk("one");
  messages::Envelope Chunk = Wire.back();
  deliverAll();
  deliver(Chunk);
  Response.End({});
  deliverAll();
  BOOST_TEST(Body == "one");
  BOOST_TEST(Ends[0].has_value());
}

BOOST_AUTO_TEST_CASE(lostFrameEndsWithConnectionLost) {
  start(1);
  deliverAll();
  Response.Head({200, {}});
  Response.Chunk("one");
  Wire.pop_back();
  Response.Chunk("two");
  deliverAll();
  BOOST_REQUIRE_EQUAL(Ends.size(), 1U);
  BOOST_TEST((Ends[0].error().Kind == ErrorKind::ConnectionLost));
  BOOST_TEST(Body.empty());
}

BOOST_AUTO_TEST_CASE(unconfirmedRequestEndsWithConnectFailed) {
  start(1);
  Wire.clear();
  passTime();
  BOOST_REQUIRE_EQUAL(Ends.size(), 1U);
  BOOST_TEST((Ends[0].error().Kind == ErrorKind::ConnectFailed));
}

BOOST_AUTO_TEST_CASE(acceptedRequestDoesNotTimeOut) {
  start(1);
  deliverAll();
  passTime();
  BOOST_TEST(Ends.empty());
}

BOOST_AUTO_TEST_CASE(secondHopIsRefused) {
  start(2);
  deliverAll();
  BOOST_TEST(Started == 0U);
  BOOST_REQUIRE_EQUAL(Ends.size(), 1U);
  BOOST_TEST((Ends[0].error().Kind == ErrorKind::LoopRefused));
}

BOOST_AUTO_TEST_CASE(slowCallerPausesTheServer) {
  start(1);
  deliverAll();
  Response.Head({200, {}});
  OnDataResult = Flow::Pause;
  unsigned Sent = 0;
  while (Response.Chunk("x") == Flow::Continue)
    ++Sent;
  deliverAll();
  BOOST_TEST(Sent + 1 == detail::ForwardWindowChunks);
  BOOST_TEST(ResumeCount == 0U);
  Client.resume({RequestId("r"), 1});
  deliverAll();
  BOOST_TEST(ResumeCount == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
