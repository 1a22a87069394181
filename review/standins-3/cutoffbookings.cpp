// Case 11: a zone is cut off from the platform while a version adds an unsafe
// route below a safe one.

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>

#include "world.h"

namespace review {

using namespace celerybeam;
using nlohmann::json;

namespace {

constexpr const char *Service = "order-app";
constexpr const char *Name = "orders.example";
constexpr Duration Settling = std::chrono::seconds(12);
/// The version is written so long after the beginning of the cut.
constexpr Duration Until = std::chrono::milliseconds(500);
constexpr Duration Cut = std::chrono::milliseconds(5500);
constexpr Duration Rest = std::chrono::seconds(10);
constexpr Duration Gap = std::chrono::milliseconds(20);

class Case {
public:
  Case(EventLoop &Loop, char **Arguments)
      : Loop_(Loop), World_(Loop, Arguments, true) {}

  int run() {
    World_.store().put("op/config", config(false).dump());
    for (std::size_t I = 0; I < World_.places().size(); ++I) {
      World_.startHost(I);
      World_.addRunner(Service, I);
      World_.addRunner(Service, I);
    }
    World_.whenReady([this] {
      World_.note("all hosts are ready");
      look();
      World_.Time.After(Settling, [this] { begin(); });
    });
    Loop_.run();
    return Result_;
  }

private:
  static json route(const char *RouteName, const char *Prefix, const char *Type,
                    unsigned Attempts) {
    return {{"name", RouteName},
            {"hostname", Name},
            {"pathPrefix", Prefix},
            {"routeType", Type},
            {"timeoutMs", 2500},
            {"targetLatencyMs", 500},
            {"priority", 2},
            {"backend", Service},
            {"maxAttempts", Attempts},
            {"public", false},
            {"sticky", false},
            {"resumable", false},
            {"homeRegions", json::array()}};
  }

  static json config(bool WithBookings) {
    json Routes = json::array({route("r-look", "/order/", "safe", 2)});
    if (WithBookings)
      Routes.push_back(route("r-book", "/order/book/", "unsafe", 1));
    return {{"version", WithBookings ? 7 : 3},
            {"routes", Routes},
            {"services",
             {{{"name", Service},
               {"healthPath", "/healthz"},
               {"maxConnections", 941},
               {"protocol", "h1"},
               {"tls", false},
               {"coldStartS", 0.0},
               {"coldPerS", 0.0}}}},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}}};
  }

  void begin() {
    if (World::hasTrouble()) {
      World_.store().setCut(true);
      World_.note("the zone is cut off from the store");
    }
    World_.Time.After(Until, [this] {
      World_.store().put("op/config", config(true).dump());
      World_.note("the store acknowledges the version with the unsafe route");
      AddedAt_ = World_.Time.Now();
      book();
    });
    World_.Time.After(Cut, [this] {
      World_.store().setCut(false);
      World_.note("the zone is back");
      World_.Time.After(Rest, [this] {
        Over_ = true;
        World_.Time.After(Rest, [this] { judge(); });
      });
    });
  }

  /// Lookups, 50 a second.
  void look() {
    if (Over_)
      return;
    ++Lookups_;
    World_.call(Lookups_ % World_.places().size(), "GET", Name,
                "/order/look/" + std::to_string(Lookups_), {}, "lookup");
    World_.Time.After(Gap, [this] { look(); });
  }

  /// Bookings, 50 a second; all are sent after the acknowledgement.
  void book() {
    if (Over_)
      return;
    ++Bookings_;
    World_.call(Bookings_ % World_.places().size(), "POST", Name,
                "/order/book/" + std::to_string(Bookings_), {}, "booking");
    World_.Time.After(Gap, [this] { book(); });
  }

  void judge() {
    World_.writeCalls();
    std::size_t Twice = 0;
    std::size_t Ran = 0;
    for (const auto &[Id, C] : World_.results()) {
      if (C.What != "booking" || C.Sent < AddedAt_)
        continue;
      Ran += C.Runs.empty() ? 0 : 1;
      Twice += C.Runs.size() > 1 ? 1 : 0;
    }
    bool Broken = Twice > 0;
    std::string Line =
        "Of " + std::to_string(Bookings_) +
        " bookings that were sent after the store had acknowledged the unsafe "
        "route, " +
        std::to_string(Ran) + " ran, " + std::to_string(Twice) +
        " of them twice. " + (Broken ? "TWICE is broken." : "TWICE held.");
    World_.note(Line);
    std::printf("%s\n", Line.c_str());
    Result_ = Broken ? 1 : 0;
    Loop_.stop();
  }

  EventLoop &Loop_;
  World World_;
  TimePoint AddedAt_{};
  unsigned Lookups_ = 0;
  unsigned Bookings_ = 0;
  bool Over_ = false;
  int Result_ = 2;
};

} // namespace

} // namespace review

int main(int Count, char **Arguments) {
  if (Count > 1 && std::string(Arguments[1]) == "runner")
    return review::runnerMain(Count, Arguments);
  try {
    ::setenv("FAILS_BOOKINGS", "1", 1);
    celerybeam::EventLoop Loop;
    bool Failed = false;
    Loop.onException([&](const std::string &Message) {
      std::fprintf(stderr, "%s\n", Message.c_str());
      Failed = true;
      Loop.stop();
    });
    int Result = review::Case(Loop, Arguments).run();
    return Failed ? 2 : Result;
  } catch (const std::exception &Exception) {
    std::fprintf(stderr, "%s\n", Exception.what());
    return 2;
  }
}
