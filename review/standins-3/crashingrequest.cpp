// Case 13: one request crashes each runner that begins to run it, and comes
// again, while few other requests have its host name.

#include <cstdio>
#include <exception>
#include <string>

#include "world.h"

namespace review {

using namespace celerybeam;
using nlohmann::json;

namespace {

constexpr const char *Service = "order-app";
constexpr const char *QuietName = "quiet.example";
constexpr const char *BusyName = "busy.example";
/// stableWindowMs of the settings.
constexpr Duration StableWindow = std::chrono::milliseconds(6000);
/// The rule: more than three retries that reach runners break it.
constexpr std::size_t MostRetries = 3;
constexpr std::size_t CrashesBefore = 3;
/// The request comes again so often, at one host after the other.
constexpr Duration ComesAgain = std::chrono::seconds(7);
constexpr unsigned Times = 13;
constexpr Duration BookingGap = std::chrono::milliseconds(10);
constexpr Duration Settling = std::chrono::seconds(3);

class Case {
public:
  Case(EventLoop &Loop, char **Arguments)
      : Loop_(Loop), World_(Loop, Arguments) {}

  int run() {
    World_.store().put("op/config", config().dump());
    for (std::size_t I = 0; I < World_.places().size(); ++I) {
      World_.startHost(I);
      World_.addRunner(Service, I);
      World_.addRunner(Service, I);
    }
    World_.whenReady([this] {
      World_.note("all hosts are ready");
      World_.Time.After(Settling, [this] {
        book();
        again();
      });
    });
    Loop_.run();
    return Result_;
  }

private:
  static json config() {
    auto Route = [](const char *Name, const char *Host, const char *Prefix,
                    const char *Type) {
      return json{{"name", Name},
                  {"hostname", Host},
                  {"pathPrefix", Prefix},
                  {"routeType", Type},
                  {"timeoutMs", 2500},
                  {"targetLatencyMs", 500},
                  {"priority", 2},
                  {"backend", Service},
                  {"maxAttempts", 1},
                  {"public", false},
                  {"sticky", false},
                  {"resumable", false},
                  {"homeRegions", json::array()}};
    };
    return {{"version", 3},
            {"routes",
             {Route("r-look", QuietName, "/look/", "safe"),
              Route("r-book", BusyName, "/book/", "unsafe")}},
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

  /// Sound bookings of another customer, at all hosts.
  void book() {
    if (Over_)
      return;
    ++Bookings_;
    World_.call(Bookings_ % World_.places().size(), "POST", BusyName,
                "/book/" + std::to_string(Bookings_), {}, "booking");
    World_.Time.After(BookingGap, [this] { book(); });
  }

  void again() {
    if (Sent_ == Times) {
      Over_ = true;
      World_.Time.After(ComesAgain, [this] { judge(); });
      return;
    }
    World_.call(Sent_ % World_.places().size(), "GET", QuietName,
                "/look/crash/7", {}, "again");
    ++Sent_;
    World_.Time.After(ComesAgain, [this] { again(); });
  }

  void judge() {
    World_.writeCalls();
    std::vector<const CallRecord *> Reached;
    std::size_t LostBookings = 0;
    for (const auto &[Id, C] : World_.results()) {
      if (C.What == "again" && !C.Runs.empty())
        Reached.push_back(&C);
      constexpr unsigned Ok = 200;
      LostBookings += C.What == "booking" && !C.Runs.empty() && C.Status != Ok;
    }
    std::size_t Retries = 0;
    if (World::hasTrouble() && Reached.size() > CrashesBefore) {
      TimePoint Third = Reached[CrashesBefore - 1]->Runs.front();
      for (const CallRecord *C : Reached)
        Retries += C->Sent > Third + StableWindow ? 1 : 0;
    }
    bool Broken = Retries > MostRetries;
    std::string Line =
        "The request was sent " + std::to_string(Sent_) +
        " times and reached " + std::to_string(Reached.size()) + " runners; " +
        std::to_string(Retries) +
        " of these more than 6 s after the third crash (at most 3 are "
        "allowed). "
        "Bookings that ran and were not answered with success: " +
        std::to_string(LostBookings) + " of " + std::to_string(Bookings_) +
        ". " + (Broken ? "BUDGET is broken." : "BUDGET held.");
    World_.note(Line);
    std::printf("%s\n", Line.c_str());
    Result_ = Broken ? 1 : 0;
    Loop_.stop();
  }

  EventLoop &Loop_;
  World World_;
  unsigned Sent_ = 0;
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
