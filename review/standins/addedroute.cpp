// An unsafe route is added below a safe one while one host of another
// region stands still. Bookings that a sound host forwards to it afterwards.

#include <csignal>
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

/// configDeadlineMs of the site.
constexpr std::int64_t ConfigDeadlineMs = 3000;
/// A freeze of one machine; the site's day trouble-2 has one of 7 s.
constexpr Duration FreezeTime = milliseconds(5500);
constexpr unsigned SouthHosts = 4;
constexpr unsigned SouthServers = 2;
constexpr Duration WorkTime = milliseconds(60);
/// Of the bookings, so many end with the server's own failure: 14 in 100
/// requests of a kind do in the site.
constexpr unsigned FailsOneIn = 8;

/// One plain service in the south with lookups, and later bookings.
class Scenario {
public:
  explicit Scenario(World &W) : W_(W) {}

  int play(bool Trouble) {
    for (unsigned I = 1; I <= SouthServers; ++I)
      addServer("order-app-" + std::to_string(I));
    putConfig(false);
    Gateway &North = W_.start("north-1", 1, "north");
    for (unsigned I = 0; I < SouthHosts; ++I)
      W_.start("south-" + std::to_string(I + 1), 2 + I, "south");
    W_.start("west-1", 20, "west");
    if (!W_.waitReady())
      return ExitNoRun;
    // Lookups go on for two windows of the retry budget and more.
    constexpr unsigned Lookups = 120;
    for (unsigned I = 0; I < Lookups; ++I) {
      send(North, "/order/look/");
      W_.runFor(milliseconds(200));
    }
    for (unsigned I = 0; I < SouthHosts; ++I)
      round(North, *W_.Gateways.at(1 + I), Trouble);
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

  /// Adds the route of bookings, while one host may stand still, and takes it
  /// away again.
  void round(const Gateway &Entry, const Gateway &Victim, bool Trouble) {
    if (Trouble) {
      W_.Log.add("SIGSTOP " + Victim.name());
      Victim.signal(SIGSTOP);
    }
    auto Begin = W_.Log.millis();
    W_.runFor(milliseconds(200));
    putConfig(true);
    // Until then an older version may be in force.
    W_.runFor(milliseconds(ConfigDeadlineMs + 100));
    while (W_.Log.millis() - Begin < FreezeTime / milliseconds(1)) {
      send(Entry, "/order/book/");
      W_.runFor(milliseconds(50));
    }
    if (Trouble) {
      Victim.signal(SIGCONT);
      W_.Log.add("SIGCONT " + Victim.name());
    }
    // All answers are there, and all machines are in touch again.
    W_.runFor(seconds(6));
    putConfig(false);
    W_.runFor(seconds(4));
  }

  void putConfig(bool Bookings) {
    json Routes = json::array(
        {routeRow("order-look", "/order/", "safe", "order-app", 2)});
    if (Bookings)
      Routes.push_back(
          routeRow("book-dispatch", "/order/book/", "unsafe", "order-app", 2));
    W_.Platform.put("op/config",
                    configOf(++Version_, Routes, {"order-app"}).dump());
    AckedAt_ = W_.Log.millis();
    W_.Log.add("config " + std::to_string(Version_) + " acknowledged: " +
               (Bookings ? "/order/book/ is unsafe" : "/order/ is safe"));
  }

  void addServer(const std::string &Id) {
    Servers_.push_back(std::make_unique<AppServer>(
        W_.Loop, W_.Platform, Id, "order-app", "south", W_.ip(200),
        [this, Id](const std::string &Request) {
          ran(Id, Request);
          constexpr unsigned Failed = 500;
          bool Fails = Sent_.at(Request).Once && ++Bookings_ % FailsOneIn == 0;
          return AppServer::Run{WorkTime, Fails ? Failed : 200U};
        }));
  }

  void ran(const std::string &Server, const std::string &Id) {
    Sent &S = Sent_.at(Id);
    W_.Log.add("ran " + Id + " at " + Server);
    if (++S.Runs != 2 || !S.Once || S.SinceAck <= ConfigDeadlineMs)
      return;
    ++Twice_;
    W_.Log.add("TWICE broken: " + Id + ", a booking that was sent " +
               std::to_string(S.SinceAck) +
               " ms after the acknowledgement of its unsafe route, runs again");
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
  unsigned Bookings_ = 0;
  unsigned Twice_ = 0;
  std::int64_t AckedAt_ = 0;
};

} // namespace
} // namespace celerybeam::review

int main(int Count, char **Arguments) {
  using namespace celerybeam::review;
  if (Count != 3) {
    std::cerr << "usage: addedroute RECORD FOLDER\n";
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
