#ifndef CELERYBEAM_GATEWAY_TESTS_CALLERFIXTURE_H
#define CELERYBEAM_GATEWAY_TESTS_CALLERFIXTURE_H

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "gateway/callerserver.h"
#include "gateway/tests/testclient.h"

namespace celerybeam {

/// Fake request controller; a test delivers the responses itself.
class FakeController {
public:
  CallerHandler handler() {
    CallerHandler H;
    H.AcceptHead = [this](const RequestHead &Head) { return accept(Head); };
    H.Start = [this](const AcceptedHead &Accepted, std::string Body,
                     ResponseHooks Response) {
      return start(Accepted, std::move(Body), std::move(Response));
    };
    H.CallerReady = [this](const RequestId &) { bump(Ready); };
    H.CallerGone = [this](const RequestId &) { bump(Gone); };
    H.Authenticate = [](std::string_view Key) -> Result<CustomerId> {
      if (Key != "Bearer k")
        return makeError(ErrorKind::Unauthorized, "Send the customer's key.");
      return CustomerId("roofers");
    };
    H.Models = [](const CustomerId &T) {
      return "{\"t\":\"" + T.str() + "\"}";
    };
    H.Entries = [](const RequestHead &Head) -> Result<std::string> {
      return "{\"query\":\"" + Head.Query + "\"}";
    };
    H.RemoteEntries = [](const RequestHead &) { return "[\"huye-1\"]"; };
    H.BookingStatus = [](const CustomerId &, const RequestHead &, const Uuid7 &,
                         const Completion<BookingOutcome> &Done) {
      Done(BookingOutcome{BookingState::Done, 201, "text/plain", "slot 4"});
    };
    H.Ready = []() -> Result<void> {
      return makeError(ErrorKind::NotReady, "No tables yet.");
    };
    return H;
  }

  /// Waits for the next started request.
  ResponseHooks awaitStarted() {
    std::unique_lock Lock(Mutex_);
    Changed_.wait(Lock, [this] { return Taken_ < Started_.size(); });
    return Started_[Taken_++];
  }

  void await(const int &Count, int Minimum) {
    std::unique_lock Lock(Mutex_);
    Changed_.wait(Lock, [&] { return Count >= Minimum; });
  }

  bool reached(const int &Count, int Minimum) {
    std::lock_guard Lock(Mutex_);
    return Count >= Minimum;
  }

  bool Echo = false;
  int Ready = 0;
  int Gone = 0;
  int Heads = 0;

  std::string lastBody() {
    std::lock_guard Lock(Mutex_);
    return LastBody_;
  }
  std::size_t startedCount() {
    std::lock_guard Lock(Mutex_);
    return Started_.size();
  }

private:
  Result<AcceptedHead> accept(const RequestHead &Head) {
    bump(Heads);
    if (findHeader(Head.Headers, "celerybeam-region") == "huye")
      return makeError(ErrorKind::WrongRegion, "Use an entry host of huye.");
    AcceptedHead Accepted;
    Accepted.Head = Head;
    return Accepted;
  }

  RequestId start(const AcceptedHead &, std::string Body,
                  ResponseHooks Response) {
    if (Echo) {
      Response.Head({200,
                     {{"content-type", "text/plain"},
                      {"content-length", std::to_string(Body.size())}}});
      Response.Chunk(Body);
      Response.End({});
    }
    std::lock_guard Lock(Mutex_);
    LastBody_ = std::move(Body);
    Started_.push_back(std::move(Response));
    Changed_.notify_all();
    return RequestId("r" + std::to_string(Started_.size()));
  }

  void bump(int &Count) {
    std::lock_guard Lock(Mutex_);
    ++Count;
    Changed_.notify_all();
  }

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::vector<ResponseHooks> Started_;
  std::size_t Taken_ = 0;
  std::string LastBody_;
};

/// A CallerServer with a fake controller.
struct CallerFixture {
  CallerFixture() { Options.Threads = 2; }

  CallerServer &serve() {
    Server.emplace(Options, Controller.handler());
    auto Started = Server->start();
    BOOST_REQUIRE_MESSAGE(Started, "the listener starts");
    return *Server;
  }

  static std::string post(std::string_view Path, std::string_view Fields,
                          std::string_view Body) {
    return "POST " + std::string(Path) + " HTTP/1.1\r\nHost: h\r\n" +
           std::string(Fields) +
           "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
           std::string(Body);
  }

  /// Requests a stream and delivers the head of its response.
  ResponseHooks openStream(const TestClient &Client) {
    Client.send(post("/v1/completions", "", "{}"));
    ResponseHooks Response = Controller.awaitStarted();
    Response.Head({200, {{"content-type", "text/event-stream"}}});
    return Response;
  }

  FakeController Controller;
  CallerServerOptions Options;
  std::optional<CallerServer> Server;
};

inline bool contains(const std::string &Text, std::string_view Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace celerybeam

#endif
