// Case 14: all processes are killed at the same moment while a tenant sends
// more than its quota.

#include <algorithm>
#include <cstdio>
#include <exception>
#include <string>

#include "world.h"

namespace review {

using namespace celerybeam;
using nlohmann::json;

namespace {

constexpr const char *Service = "preorder-counter";
constexpr const char *Name = "orders.example";
constexpr const char *Key = "jbvk9m68k7b2ex5wa5xw";
/// Tokens of a request without X-Token-Count, and the tenant's quota.
constexpr double PlainTokens = 2000;
constexpr double RatePerS = 36000;
constexpr double Burst = 720000;
/// quotaWindowS, quotaOverage and quotaSlack of the settings.
constexpr Duration Window = std::chrono::seconds(8);
constexpr double WindowS = 8;
constexpr double Overage = 0.1;
constexpr double Slack = 140000;
/// The tenant sends so often: 300 times a second, at all hosts in turn.
constexpr Duration Gap = std::chrono::microseconds(3333);
constexpr Duration Settling = std::chrono::seconds(16);
constexpr Duration KillAfter = std::chrono::milliseconds(2500);
constexpr Duration RestartAfter = std::chrono::milliseconds(500);
constexpr Duration Length = std::chrono::seconds(12);
constexpr Duration Rest = std::chrono::seconds(6);

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
      World_.Time.After(Settling, [this] { begin(); });
    });
    Loop_.run();
    return Result_;
  }

private:
  static json config() {
    json Route = {{"name", "r-pay"},
                  {"hostname", Name},
                  {"pathPrefix", "/pay/"},
                  {"routeType", "unsafe"},
                  {"timeoutMs", 2500},
                  {"targetLatencyMs", 400},
                  {"priority", 2},
                  {"backend", Service},
                  {"maxAttempts", 1},
                  {"public", false},
                  {"sticky", false},
                  {"resumable", false},
                  {"homeRegions", json::array()}};
    json Tenant = {{"name", "huka270"},
                   {"apiKeys", {Key}},
                   {"priority", 1},
                   {"unit", "tokens"},
                   {"plainTokens", PlainTokens},
                   {"ratePerS", RatePerS},
                   {"burst", Burst},
                   {"homeRegions", json::array()}};
    return {{"version", 3},
            {"routes", {Route}},
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
              {"idleTimeoutMs", 15000}}},
            {"tenants", {Tenant}}};
  }

  void begin() {
    World_.note("the tenant begins to send");
    BeganAt_ = NextAt_ = World_.Time.Now();
    send();
    World_.Time.After(Length, [this] {
      Over_ = true;
      World_.note("the tenant has stopped");
      World_.Time.After(Rest, [this] { judge(); });
    });
    if (!World::hasTrouble())
      return;
    World_.Time.After(KillAfter, [this] {
      for (std::size_t I = 0; I < World_.places().size(); ++I)
        World_.killHost(I);
      World_.note("all hosts are killed");
    });
    World_.Time.After(KillAfter + RestartAfter, [this] {
      for (std::size_t I = 0; I < World_.places().size(); ++I)
        World_.startHost(I);
      World_.note("all hosts are started again");
    });
  }

  void send() {
    if (Over_)
      return;
    while (NextAt_ <= World_.Time.Now()) {
      ++Sent_;
      World_.call(Sent_ % World_.places().size(), "POST", Name,
                  "/pay/" + std::to_string(Sent_), {{"X-Credential", Key}},
                  "payment");
      NextAt_ += Gap;
    }
    World_.Time.After(Gap, [this] { send(); });
  }

  void judge() {
    World_.writeCalls();
    std::vector<const CallRecord *> Ran;
    for (const auto &[Id, C] : World_.results())
      if (!C.Runs.empty())
        Ran.push_back(&C);
    std::sort(Ran.begin(), Ran.end(),
              [](const auto *A, const auto *B) { return A->Sent < B->Sent; });
    double Most = 0;
    TimePoint MostFrom{};
    for (const CallRecord *First : Ran) {
      double Sum = 0;
      for (const CallRecord *C : Ran)
        if (C->Sent >= First->Sent && C->Runs.front() <= First->Sent + Window)
          Sum += PlainTokens;
      if (Sum > Most) {
        Most = Sum;
        MostFrom = First->Sent;
      }
    }
    double Allowed = (RatePerS * WindowS + Burst) * (1 + Overage) + Slack;
    bool Broken = Most > Allowed;
    char Text[400];
    std::snprintf(
        Text, sizeof Text,
        "Sent %u requests, of which %zu ran. In the 8 s from %s s, "
        "requests of %.0f tokens were sent and ran; allowed are %.0f. "
        "%s",
        Sent_, Ran.size(), World_.since(MostFrom).c_str(), Most, Allowed,
        Broken ? "QUOTA is broken." : "QUOTA held.");
    World_.note(Text);
    std::printf("%s\n", Text);
    Result_ = Broken ? 1 : 0;
    Loop_.stop();
  }

  EventLoop &Loop_;
  World World_;
  TimePoint BeganAt_{};
  TimePoint NextAt_{};
  unsigned Sent_ = 0;
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
