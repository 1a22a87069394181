// An unsafe route is added below a safe one right before the store goes away
// and comes back from a copy some seconds old. How often its bookings run
// later, when all is calm.

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
constexpr unsigned NorthHosts = 4;
constexpr unsigned Servers = 2;
constexpr Duration WorkTime = milliseconds(60);
/// Of the bookings, so many end with the server's own failure: 14 in 100
/// requests of a kind do in the site. No multiple of the number of hosts, so
/// that bookings of all of them fail.
constexpr unsigned FailsOneIn = 9;

class Scenario {
public:
  explicit Scenario(World &W) : W_(W) {}

  int play(bool Trouble) {
    for (unsigned I = 1; I <= Servers; ++I)
      addServer("order-app-" + std::to_string(I));
    putConfig(2500, false);
    for (unsigned I = 0; I < NorthHosts; ++I)
      W_.start("north-" + std::to_string(I + 1), 1 + I, "north");
    W_.start("south-1", 20, "south");
    W_.start("west-1", 21, "west");
    if (!W_.waitReady())
      return ExitNoRun;
    // Lookups go on for two windows of the retry budget and more.
    constexpr unsigned Rounds = 60;
    for (unsigned I = 0; I < Rounds; ++I)
      sendToAll("/order/look/", milliseconds(100));
    drill(Trouble);
    constexpr unsigned Bookings = 20;
    for (unsigned I = 0; I < Bookings; ++I)
      sendToAll("/order/book/", milliseconds(100));
    W_.runFor(seconds(6));
    for (const auto &G : W_.Gateways)
      if (G->hasEnded())
        return ExitNoRun;
    if (Booked_ == 0)
      return ExitNoRun;
    W_.Log.add("booked " + std::to_string(Booked_) + ", run twice " +
               std::to_string(Twice_));
    return Twice_ > 0 ? ExitBroken : ExitHeld;
  }

private:
  struct Sent {
    std::int64_t SinceAck = 0;
    bool Once = false;
    unsigned Runs = 0;
  };

  /// The operator changes a time-out in the last second before the store goes
  /// away, and adds the route at its last moment. The platform writes that
  /// again as it brings the store back.
  void drill(bool Trouble) {
    W_.Platform.takeCopy();
    W_.Log.add("the copy is taken");
    W_.runFor(CopyAge - seconds(1));
    putConfig(3000, false);
    W_.runFor(seconds(1));
    if (Trouble) {
      W_.Platform.goAway();
      W_.Log.add("the store goes away, right after an acknowledgement:");
    }
    std::string Config = putConfig(3000, true);
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
  }

  std::string putConfig(unsigned TimeoutMs, bool Bookings) {
    json Look = routeRow("order-look", "/order/", "safe", "order-app", 2);
    Look["timeoutMs"] = TimeoutMs;
    json Routes = json::array({Look});
    if (Bookings)
      Routes.push_back(
          routeRow("book-dispatch", "/order/book/", "unsafe", "order-app", 1));
    std::string Config = configOf(++Version_, Routes, {"order-app"}).dump();
    W_.Platform.put("op/config", Config);
    AckedAt_ = W_.Log.millis();
    W_.Log.add("config " + std::to_string(Version_) + " acknowledged: " +
               (Bookings ? "/order/book/ is unsafe" : "/order/ is safe"));
    return Config;
  }

  void addServer(const std::string &Id) {
    Servers_.push_back(std::make_unique<AppServer>(
        W_.Loop, W_.Platform, Id, "order-app", "north", W_.ip(200),
        [this, Id](const std::string &Request) {
          constexpr unsigned Failed = 500;
          ran(Id, Request);
          bool Fails =
              Sent_.at(Request).Once && ++BookingRuns_ % FailsOneIn == 0;
          return AppServer::Run{WorkTime, Fails ? Failed : 200U};
        }));
  }

  void ran(const std::string &Server, const std::string &Id) {
    Sent &S = Sent_.at(Id);
    W_.Log.add("ran " + Id + " at " + Server);
    if (++S.Runs != 2 || !S.Once)
      return;
    ++Twice_;
    W_.Log.add("TWICE broken: " + Id + ", a booking that was sent " +
               std::to_string(S.SinceAck) +
               " ms after the acknowledgement of its unsafe route, runs again");
  }

  /// Sends one request to each host of the north, with a pause after each.
  void sendToAll(const std::string &Prefix, Duration Pause) {
    for (const auto &G : W_.Gateways) {
      if (G->region() != "north")
        continue;
      send(*G, Prefix);
      W_.runFor(Pause);
    }
  }

  void send(const Gateway &To, const std::string &Prefix) {
    std::string Id = "q" + std::to_string(++Requests_);
    bool Once = Prefix == "/order/book/";
    Sent_[Id] = {W_.Log.millis() - AckedAt_, Once, 0};
    W_.Log.add("sent " + Id + " " + Prefix + " to " + To.name());
    std::string Bytes = (Once ? "POST " : "GET ") + Prefix + Id +
                        " HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: " + Id +
                        "\r\nX-Deadline-Ms: 5000\r\n" +
                        (Once ? "Content-Length: 4\r\n\r\nbook" : "\r\n");
    call(W_.Loop, To.callers(), Bytes, milliseconds(5500),
         [this, Id, Once](const Reply &R) {
           Booked_ += Once && R.Status == 200 ? 1 : 0;
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
  unsigned Booked_ = 0;
  unsigned BookingRuns_ = 0;
  unsigned Twice_ = 0;
  std::int64_t AckedAt_ = 0;
};

} // namespace
} // namespace celerybeam::review

int main(int Count, char **Arguments) {
  using namespace celerybeam::review;
  if (Count != 3) {
    std::cerr << "usage: olderstoretwice RECORD FOLDER\n";
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
