// A route moves to another service while one host of another region
// stands still. Requests that a sound host forwards to it afterwards.

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>

#include "world.h"

namespace celerybeam::review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitNoRun = 2;

/// From BOUNDS of the site: rollbackSlackMs and configDeadlineMs.
constexpr std::int64_t RollbackSlackMs = 250;
constexpr std::int64_t ConfigDeadlineMs = 3000;
/// A freeze of one machine, and the last step; the site's day trouble-2 has one
/// of 7 s.
constexpr Duration FreezeTime = seconds(4);
constexpr unsigned SouthHosts = 4;
constexpr Duration WorkTime = milliseconds(60);

/// Two plain services in the south; the route's service alternates.
class Scenario {
public:
  explicit Scenario(World &W) : W_(W) {}

  int play(bool Trouble) {
    addServer("old-app");
    addServer("new-app");
    putConfig("old-app");
    Gateway &North = W_.start("north-1", 1, "north");
    for (unsigned I = 0; I < SouthHosts; ++I)
      W_.start("south-" + std::to_string(I + 1), 2 + I, "south");
    W_.start("west-1", 20, "west");
    if (!W_.waitReady())
      return ExitNoRun;
    // All machines are in touch, and the directory names them, from here on.
    W_.runFor(seconds(6));
    for (unsigned I = 0; I < SouthHosts; ++I)
      round(North, *W_.Gateways.at(1 + I), Trouble);
    for (const auto &G : W_.Gateways)
      if (G->hasEnded())
        return ExitNoRun;
    if (Served_ == 0)
      return ExitNoRun;
    W_.Log.add("served " + std::to_string(Served_) + ", by the old service " +
               std::to_string(Stale_) + ", of these sent later than " +
               std::to_string(ConfigDeadlineMs) +
               " ms after the acknowledgement " + std::to_string(Late_));
    return Stale_ > 0 ? ExitBroken : ExitHeld;
  }

private:
  struct Sent {
    std::int64_t At = 0;
    unsigned Version = 0;
  };

  /// One change of the route's service, while one host may stand still.
  void round(const Gateway &Entry, const Gateway &Victim, bool Trouble) {
    std::string Next = Version_ % 2 == 0 ? "old-app" : "new-app";
    if (Trouble) {
      W_.Log.add("SIGSTOP " + Victim.name());
      Victim.signal(SIGSTOP);
    }
    auto Begin = W_.Log.millis();
    W_.runFor(milliseconds(200));
    putConfig(Next);
    while (W_.Log.millis() - Begin < FreezeTime / milliseconds(1)) {
      W_.runFor(milliseconds(100));
      send(Entry);
    }
    if (Trouble) {
      Victim.signal(SIGCONT);
      W_.Log.add("SIGCONT " + Victim.name());
    }
    // All answers are there, and all machines are in touch again.
    W_.runFor(seconds(6));
  }

  void putConfig(const std::string &Service) {
    json Routes = json::array(
        {routeRow("book-dispatch", "/book/", "unsafe", Service, 1)});
    json Config = configOf(++Version_, Routes, {"old-app", "new-app"});
    W_.Platform.put("op/config", Config.dump());
    Service_ = Service;
    AckedAt_ = W_.Log.millis();
    SeenAt_.reset();
    W_.Log.add("config " + std::to_string(Version_) +
               " acknowledged: /book/ is served by " + Service);
  }

  void addServer(const std::string &Service) {
    Servers_.push_back(std::make_unique<AppServer>(
        W_.Loop, W_.Platform, Service + "-1", Service, "south", W_.ip(200),
        [this, Service](const std::string &Id) {
          ran(Service, Id);
          return AppServer::Run{WorkTime};
        }));
  }

  void ran(const std::string &Service, const std::string &Id) {
    const Sent &S = Sent_.at(Id);
    W_.Log.add("ran " + Id + " at " + Service);
    if (Service == Service_ && S.Version == Version_ && !SeenAt_)
      SeenAt_ = W_.Log.millis();
    bool Stale = S.Version == Version_ && Service != Service_ && SeenAt_ &&
                 S.At > *SeenAt_ + RollbackSlackMs;
    if (!Stale)
      return;
    ++Stale_;
    bool IsLate = S.At > AckedAt_ + ConfigDeadlineMs;
    Late_ += IsLate ? 1 : 0;
    W_.Log.add("CONFIG broken: " + Id + " was sent " +
               std::to_string(S.At - *SeenAt_) +
               " ms after a server saw config " + std::to_string(Version_) +
               " through the same host, " + std::to_string(S.At - AckedAt_) +
               " ms after its acknowledgement, and ran at the old service");
  }

  void send(const Gateway &To) {
    std::string Id = "q" + std::to_string(++Requests_);
    Sent_[Id] = {W_.Log.millis(), Version_};
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
  std::map<std::string, Sent> Sent_;
  unsigned Version_ = 0;
  unsigned Requests_ = 0;
  unsigned Served_ = 0;
  unsigned Stale_ = 0;
  unsigned Late_ = 0;
  std::string Service_;
  std::int64_t AckedAt_ = 0;
  /// When a server first saw the effect of the present version.
  std::optional<std::int64_t> SeenAt_;
};

} // namespace
} // namespace celerybeam::review

int main(int Count, char **Arguments) {
  using namespace celerybeam::review;
  if (Count != 3) {
    std::cerr << "usage: staleforward RECORD FOLDER\n";
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
