#include <cstdio>
#include <cstdlib>
#include <string>

#include <unistd.h>

#include "world.h"

namespace review {

using namespace celerybeam;

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned BadRequest = 400;
constexpr unsigned Misdirected = 421;
constexpr unsigned Full = 503;
/// How long a request takes.
constexpr Duration Work = std::chrono::milliseconds(30);
/// From the beginning of a run to the crash that it causes.
constexpr Duration UntilCrash = std::chrono::milliseconds(20);
constexpr std::size_t BodyBytes = 800;
/// Requests with this in their path crash the runner that begins to run them.
constexpr const char *CrashMark = "/crash/";
/// Of the requests with this in their path, one in so many fails: the runner
/// has run it and answers 500.
constexpr const char *BookMark = "/book/";
constexpr unsigned FailsOneIn = 8;
constexpr unsigned ServerFailure = 500;

/// A runner of a plain service, as PROTOCOL.md describes it.
class RunnerProcess {
public:
  RunnerProcess(EventLoop &Loop, std::string Id, unsigned Slots)
      : Time_(Loop.runtime()), Id_(std::move(Id)), Slots_(Slots),
        Server_(Loop, [this](const HttpServerRequest &Request,
                             const std::shared_ptr<HttpExchange> &Answer) {
          serve(Request, Answer);
        }) {}

  bool listen(const std::string &Where) {
    return Server_.listen(Address(Where)).has_value();
  }

private:
  std::string load() const {
    return std::to_string(Running_) + ",0," + std::to_string(Slots_);
  }

  void refuse(HttpExchange &Answer, unsigned Status, const std::string &Call) {
    HttpFields Fields = {{"X-Not-Executed", "1"}, {"X-Server-Load", load()}};
    if (!Call.empty())
      Fields.push_back({"X-Attempt-Id", Call});
    Answer.respond({Status, std::move(Fields)}, "");
  }

  void serve(const HttpServerRequest &Request,
             const std::shared_ptr<HttpExchange> &Answer) {
    const HttpFields &Fields = Request.Head.Fields;
    if (Request.Head.Target == "/healthz")
      return Answer->respond({Ok,
                              {{"X-Instance-Id", Id_},
                               {"X-Cold-Ms", "0"},
                               {"X-Server-Load", load()}}},
                             "");
    std::string Call(findField(Fields, "X-Attempt-Id").value_or(""));
    auto Expected = findField(Fields, "X-Expect-Instance");
    if (Expected && *Expected != Id_)
      return refuse(*Answer, Misdirected, Call);
    if (Call.empty())
      return refuse(*Answer, BadRequest, Call);
    if (Running_ >= Slots_)
      return refuse(*Answer, Full, Call);
    run(Request.Head.Target, Call, Answer);
  }

  void run(const std::string &Target, const std::string &Call,
           const std::shared_ptr<HttpExchange> &Answer) {
    std::printf(
        "run %s %lld\n", Call.c_str(),
        static_cast<long long>(Time_.Now().time_since_epoch() / Duration(1)));
    std::fflush(stdout);
    ++Running_;
    if (World::hasTrouble() && Target.find(CrashMark) != std::string::npos)
      // Like any process that ends: the kernel closes its connections.
      Time_.After(UntilCrash, [] { ::_exit(1); });
    bool Fails = FailsBookings_ && Target.find(BookMark) != std::string::npos &&
                 ++Bookings_ % FailsOneIn == 0;
    Time_.After(Work, [this, Call, Answer, Fails] {
      --Running_;
      Answer->respond({Fails ? ServerFailure : Ok,
                       {{"X-Attempt-Id", Call},
                        {"X-Response-Stamp", Id_ + "." + Call},
                        {"X-Server-Load", load()}}},
                      std::string(BodyBytes, 'b'));
    });
  }

  Runtime Time_;
  std::string Id_;
  unsigned Slots_;
  unsigned Running_ = 0;
  unsigned Bookings_ = 0;
  /// Not in the cases whose bookings are always sound.
  bool FailsBookings_ = std::getenv("FAILS_BOOKINGS") != nullptr;
  HttpServer Server_;
};

} // namespace

int runnerMain(int Count, char **Arguments) {
  constexpr int Needed = 5;
  if (Count < Needed)
    return 2;
  EventLoop Loop;
  RunnerProcess Runner(Loop, Arguments[3],
                       static_cast<unsigned>(std::atoi(Arguments[4])));
  if (!Runner.listen(Arguments[2]))
    return 2;
  Loop.run();
  return 0;
}

} // namespace review
