// A route moves to another service right before the store goes away and comes
// back from a copy some seconds old. Which service runs its requests later,
// when all is calm.

#include <cstdlib>
#include <iostream>

#include "world.h"

namespace celerybeam::review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitNoRun = 2;

/// stableWindowMs and configDeadlineMs of the site.
constexpr std::int64_t StableWindowMs = 5000;
constexpr std::int64_t ConfigDeadlineMs = 3000;
constexpr Duration CopyAge = seconds(3);
constexpr Duration AwayTime = milliseconds(600);
constexpr unsigned Drills = 3;
constexpr unsigned NorthHosts = 4;
constexpr Duration WorkTime = milliseconds(60);

class Scenario {
public:
  explicit Scenario(World &W) : W_(W) {}

  int play(bool Trouble) {
    addServer("old-app");
    addServer("new-app");
    putConfig("old-app");
    for (unsigned I = 0; I < NorthHosts; ++I)
      W_.start("north-" + std::to_string(I + 1), 1 + I, "north");
    W_.start("south-1", 20, "south");
    W_.start("west-1", 21, "west");
    if (!W_.waitReady())
      return ExitNoRun;
    W_.runFor(seconds(6));
    for (unsigned I = 0; I < Drills; ++I)
      drill(Trouble);
    for (const auto &G : W_.Gateways)
      if (G->hasEnded())
        return ExitNoRun;
    if (Served_ == 0)
      return ExitNoRun;
    W_.Log.add("served " + std::to_string(Served_) +
               ", by a service of an older config " + std::to_string(Stale_));
    return Stale_ > 0 ? ExitBroken : ExitHeld;
  }

private:
  /// The operator writes two versions in the last second before the store goes
  /// away, the second one at its last moment. The platform writes that again as
  /// it brings the store back.
  void drill(bool Trouble) {
    W_.Platform.takeCopy();
    W_.Log.add("the copy is taken");
    W_.runFor(CopyAge - seconds(1));
    putConfig("old-app");
    W_.runFor(seconds(1));
    if (Trouble) {
      W_.Platform.goAway();
      W_.Log.add("the store goes away, right after an acknowledgement:");
    }
    std::string Config = putConfig("new-app");
    W_.runFor(AwayTime);
    if (Trouble) {
      W_.Platform.comeBack(true);
      W_.Platform.put("op/config", Config);
      W_.Log.add(
          "the store is back from its copy, of a later era, with config " +
          std::to_string(Version_) + " written again");
    }
    // The store is calm for its window, and the deadline has passed since.
    W_.runFor(milliseconds(StableWindowMs + ConfigDeadlineMs + 1000));
    constexpr unsigned Turns = 4;
    for (unsigned I = 0; I < Turns; ++I)
      for (const auto &G : W_.Gateways) {
        if (G->region() != "north")
          continue;
        send(*G);
        W_.runFor(milliseconds(100));
      }
    W_.runFor(seconds(2));
  }

  std::string putConfig(const std::string &Service) {
    json Routes = json::array(
        {routeRow("book-dispatch", "/book/", "unsafe", Service, 1)});
    std::string Config =
        configOf(++Version_, Routes, {"old-app", "new-app"}).dump();
    W_.Platform.put("op/config", Config);
    Service_ = Service;
    AckedAt_ = W_.Log.millis();
    W_.Log.add("config " + std::to_string(Version_) +
               " acknowledged: /book/ is served by " + Service);
    return Config;
  }

  void addServer(const std::string &Service) {
    Servers_.push_back(std::make_unique<AppServer>(
        W_.Loop, W_.Platform, Service + "-1", Service, "north", W_.ip(200),
        [this, Service](const std::string &Id) {
          ran(Service, Id);
          return AppServer::Run{WorkTime};
        }));
  }

  void ran(const std::string &Service, const std::string &Id) {
    W_.Log.add("ran " + Id + " at " + Service);
    if (Service == Service_)
      return;
    ++Stale_;
    W_.Log.add("CONFIG broken: " + Id + " was sent " +
               std::to_string(Sent_.at(Id) - AckedAt_) +
               " ms after the acknowledgement of config " +
               std::to_string(Version_) + " and ran at the old service");
  }

  void send(const Gateway &To) {
    std::string Id = "q" + std::to_string(++Requests_);
    Sent_[Id] = W_.Log.millis();
    W_.Log.add("sent " + Id + " to " + To.name());
    call(W_.Loop, To.callers(),
         "POST /book/" + Id + " HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: " +
             Id + "\r\nX-Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbook",
         milliseconds(5500), [this, Id](const Reply &R) {
           Served_ += R.Status == 200 ? 1 : 0;
           W_.Log.add("answered " + Id + ": " +
                      (R.Whole ? std::to_string(R.Status) + " " + R.Body
                               : std::string("no answer")));
         });
  }

  World &W_;
  std::vector<std::unique_ptr<AppServer>> Servers_;
  std::map<std::string, std::int64_t> Sent_;
  unsigned Version_ = 0;
  unsigned Requests_ = 0;
  unsigned Served_ = 0;
  unsigned Stale_ = 0;
  std::string Service_;
  std::int64_t AckedAt_ = 0;
};

} // namespace
} // namespace celerybeam::review

int main(int Count, char **Arguments) {
  using namespace celerybeam::review;
  if (Count != 3) {
    std::cerr << "usage: olderstore RECORD FOLDER\n";
    return ExitNoRun;
  }
  const char *Trouble = std::getenv("TROUBLE");
  try {
    World W(Arguments[1], Arguments[2]);
    return Scenario(W).play(Trouble == nullptr || std::string(Trouble) != "0");
  } catch (const std::exception &Exception) {
    std::cerr << Exception.what() << "\n";
    return ExitNoRun;
  }
}
