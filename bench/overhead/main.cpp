// Measures what the gateway adds to a call: the same whole answer of an engine
// asked directly and through an entry host, in turns, in one run.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/program_options.hpp>

#include "httpclient/httpclient.h"

namespace {

using namespace celerybeam;
using Clock = std::chrono::steady_clock;

namespace options = boost::program_options;

constexpr const char *Body =
    R"({"model":"cedar-7b@3","max_tokens":1,)"
    R"("messages":[{"role":"user","content":"in stock?"}]})";
constexpr unsigned Rounds = 5;

struct Target {
  std::string Name;
  std::string Url;
  std::string CustomerKey;
};

struct Figures {
  std::vector<double> Micros;
  double Seconds = 0;
  unsigned Failures = 0;
};

/// Keeps a number of calls in flight until a count is reached.
class ClosedLoop {
public:
  ClosedLoop(HttpClient &Client, const Target &Where, unsigned InFlight,
             unsigned Total)
      : Client_(Client), Where_(Where), InFlight_(InFlight), Left_(Total),
        Unfinished_(Total) {}

  void run(Figures &Into) {
    Into_ = &Into;
    Clock::time_point Start = Clock::now();
    for (unsigned I = 0; I < InFlight_; ++I)
      startOne();
    std::unique_lock Lock(Mutex_);
    Done_.wait(Lock, [&] { return Unfinished_ == 0; });
    Into.Seconds += std::chrono::duration<double>(Clock::now() - Start).count();
  }

private:
  void startOne() {
    {
      std::lock_guard Lock(Mutex_);
      if (Left_ == 0)
        return;
      --Left_;
    }
    HttpCall Call;
    Call.Method = "POST";
    Call.Url = Where_.Url;
    Call.Headers = {{"content-type", "application/json"},
                    {"authorization", "Bearer " + Where_.CustomerKey}};
    Call.Body = std::make_shared<const std::string>(Body);
    auto Status = std::make_shared<int>(0);
    Clock::time_point Start = Clock::now();
    ResponseHooks Hooks;
    Hooks.Head = [Status](const ResponseHead &Head) { *Status = Head.Status; };
    Hooks.Chunk = [](const std::string &) { return Flow::Continue; };
    Hooks.End = [this, Start, Status](const Result<void> &Outcome) {
      ended(Clock::now() - Start, Outcome.has_value() && *Status == 200);
    };
    Client_.start(std::move(Call), std::move(Hooks));
  }

  void ended(Clock::duration Took, bool Whole) {
    startOne();
    std::lock_guard Lock(Mutex_);
    Into_->Micros.push_back(
        std::chrono::duration<double, std::micro>(Took).count());
    Into_->Failures += Whole ? 0 : 1;
    if (--Unfinished_ == 0)
      Done_.notify_one();
  }

  HttpClient &Client_;
  const Target &Where_;
  unsigned InFlight_;
  unsigned Left_;
  unsigned Unfinished_;
  Figures *Into_ = nullptr;
  std::mutex Mutex_;
  std::condition_variable Done_;
};

double percentile(std::vector<double> &Sorted, double Share) {
  return Sorted[static_cast<std::size_t>(
      Share * static_cast<double>(Sorted.size() - 1))];
}

void print(const Target &Where, unsigned InFlight, Figures &F) {
  std::sort(F.Micros.begin(), F.Micros.end());
  std::printf("%-8s %5u connections  p50 %8.0f us  p99 %8.0f us  "
              "%9.0f requests/s  %u failed of %zu\n",
              Where.Name.c_str(), InFlight, percentile(F.Micros, 0.5),
              percentile(F.Micros, 0.99),
              static_cast<double>(F.Micros.size()) / F.Seconds, F.Failures,
              F.Micros.size());
}

void measure(const std::vector<Target> &Targets, unsigned InFlight,
             unsigned Total) {
  HttpClient Client;
  std::vector<Figures> All(Targets.size());
  // The first round warms connections up and does not count.
  for (unsigned Round = 0; Round <= Rounds; ++Round) {
    for (std::size_t I = 0; I < Targets.size(); ++I) {
      Figures Warm;
      ClosedLoop(Client, Targets[I], InFlight, Total / Rounds)
          .run(Round == 0 ? Warm : All[I]);
    }
  }
  for (std::size_t I = 0; I < Targets.size(); ++I)
    print(Targets[I], InFlight, All[I]);
}

} // namespace

int main(int Count, char **Arguments) {
  options::options_description All("bench_overhead [options]");
  All.add_options()("direct", options::value<std::string>()->required(),
                    "URL of the engine")(
      "gateway", options::value<std::string>()->required(),
      "URL of an entry host")("key", options::value<std::string>()->required(),
                              "customer key")(
      "requests", options::value<unsigned>()->default_value(20000),
      "requests for each target and number of connections");
  options::variables_map Given;
  try {
    options::store(options::parse_command_line(Count, Arguments, All), Given);
    options::notify(Given);
  } catch (const options::error &Wrong) {
    std::cerr << Wrong.what() << "\n" << All;
    return 2;
  }
  std::vector<Target> Targets = {
      {"direct", Given["direct"].as<std::string>(), "none"},
      {"gateway", Given["gateway"].as<std::string>(),
       Given["key"].as<std::string>()}};
  for (unsigned InFlight : {1U, 10U, 200U})
    measure(Targets, InFlight, Given["requests"].as<unsigned>());
  return 0;
}
