// Runs real gateway and endpoint processes under faults and holds what callers
// and endpoints see against the promises. See docs/OPERATIONS.md, Soak.

#include <cstdlib>
#include <iostream>

#include <boost/program_options.hpp>

#include "soak/endpointprocess.h"
#include "soak/soakfaults.h"
#include "soak/soakhostile.h"

namespace {

using namespace celerybeam;
using namespace celerybeam::testing;
namespace options = boost::program_options;

/// After the last fault begins: the longest fault, and what hosts may take to
/// find each other and the endpoints again.
constexpr Duration Recovery = std::chrono::seconds(10);
/// Requests sent after that, and how many of them must be served.
constexpr unsigned LastRequests = 60;
constexpr double ServedInTheEnd = 0.9;
constexpr std::size_t MostFaultsShown = 20;
/// Hostile connections for each sound request.
constexpr double HostileShare = 0.3;

class Soak {
public:
  Soak(const SoakOptions &Options)
      : Options_(Options), Random_(Options.Seed),
        World_(Loop_, Options, Judge_), Faults_(World_, Options.Seed),
        Caller_(Loop_), Hostile_(World_, Judge_, Options.Seed),
        Time_(Loop_.runtime()) {}

  bool run() {
    Time_.After(std::chrono::seconds(3), [this] {
      EndsAt_ = Time_.Now() + Options_.Length;
      Faults_.start(Options_.Length);
      keepCalling();
      if (Options_.Rough)
        Hostile_.start(EndsAt_, HostileShare * Options_.RequestsPerSecond);
    });
    keepHosts();
    Loop_.run();
    World_.restartEnded();
    Judge_.close(Time_.Now());
    report();
    return Judge_.broken().empty() && recovered() &&
           Caller_.strayAnswers() == 0;
  }

private:
  void keepHosts() {
    constexpr Duration Look = std::chrono::milliseconds(300);
    TimePoint Due = Time_.Now() + Look;
    World_.restartEnded();
    // What callers saw in time says nothing once the soak itself stood still.
    Time_.After(Look, [this, Due] {
      MostLate_ = std::max(MostLate_, Time_.Now() - Due);
      keepHosts();
    });
  }

  void keepCalling() {
    if (Time_.Now() >= EndsAt_)
      return Time_.After(Recovery, [this] { callAtTheEnd(LastRequests); });
    call(World_.anyCaller(), [](const std::string &, const CallResult &) {});
    constexpr double UsPerSecond = 1e6;
    double Mean = UsPerSecond / Options_.RequestsPerSecond;
    std::exponential_distribution<double> Gap(1 / Mean);
    Time_.After(Duration(static_cast<Duration::rep>(Gap(Random_))),
                [this] { keepCalling(); });
  }

  void callAtTheEnd(unsigned Left) {
    if (Left == 0) {
      LastCallAt_ = Time_.Now();
      return awaitAnswers();
    }
    call(World_.steadyCaller(), [this](const std::string &What,
                                       const CallResult &R) {
      constexpr unsigned Ok = 200;
      bool Served = R.Whole && R.Status == Ok;
      ServedLast_ += Served ? 1 : 0;
      if (!Served)
        NotServedLast_.push_back(What + " status " + std::to_string(R.Status) +
                                 (R.Sent ? "" : ", not sent") + " " + R.Body);
    });
    Time_.After(std::chrono::milliseconds(40),
                [this, Left] { callAtTheEnd(Left - 1); });
  }

  void awaitAnswers() {
    if (Judge_.open() == 0 ||
        Time_.Now() - LastCallAt_ > SoakJudge::CallerPatience)
      return Loop_.stop();
    constexpr Duration Look = std::chrono::milliseconds(100);
    Time_.After(Look, [this] { awaitAnswers(); });
  }

  void call(const SoakIdentity &From,
            const std::function<void(const std::string &What,
                                     const CallResult &)> &Also) {
    auto Routes = World_.routes();
    const SoakRoute &Route = Routes[Random_() % Routes.size()];
    SoakHost &Host = World_.Hosts[Random_() % World_.Hosts.size()];
    std::string Id = "q" + std::to_string(++Requests_);
    std::string Request =
        "POST " + Route.Path + "a HTTP/1.1\r\nHost: x.example\r\n" +
        "X-Attempt-Id: " + Id + "\r\nX-Deadline-Ms: 5000\r\n" + From.Fields +
        "Content-Length: " + std::to_string(Id.size()) + "\r\n\r\n" + Id;
    Judge_.sent(Id, Route, Host.start(), Time_.Now(), From);
    Duration Before = Host.stood(Time_.Now());
    Duration Patience =
        SoakJudge::CallerPatience +
        (Options_.Rough ? SoakFaults::LongestPause : SoakFaults::LongestFault);
    Caller_.call(Host.address(), Request, Patience,
                 [this, Id, Also, &Host, Before,
                  What = Host.start() + " " + Route.Path](const CallResult &R) {
                   TimePoint Now = Time_.Now();
                   Judge_.ended(Id, R, Now, Host.stood(Now) - Before);
                   Also(What, R);
                 });
  }

  bool recovered() const {
    return ServedLast_ >= ServedInTheEnd * LastRequests;
  }

  void report() const {
    std::cout << "seed " << Options_.Seed << ": " << Judge_.requests()
              << " requests, " << Judge_.served() << " served, "
              << Judge_.refused() << " refused, " << Judge_.runs() << " runs, "
              << Faults_.done().size() << " faults, " << Hostile_.visits()
              << " hostile, " << Judge_.mostUsed()
              << " of a limit, soak late by "
              << std::chrono::duration_cast<std::chrono::milliseconds>(
                     MostLate_)
                     .count()
              << " ms, " << ServedLast_ << " of the last " << LastRequests
              << " served\n";
    if (Caller_.strayAnswers() > 0)
      std::cout << "BROKEN whole answers: " << Caller_.strayAnswers()
                << " connections got bytes without a request\n";
    if (Judge_.broken().empty() && recovered())
      return;
    for (const std::string &Broken : Judge_.broken())
      std::cout << "BROKEN " << Broken << "\n";
    if (!recovered())
      std::cout << "BROKEN recovery\n";
    for (const std::string &What : NotServedLast_)
      std::cout << "  not served at the end: " << What << "\n";
    for (const std::string &Fault : Faults_.done())
      std::cout << "  " << Fault << "\n";
  }

  SoakOptions Options_;
  EventLoop Loop_;
  std::mt19937_64 Random_;
  SoakJudge Judge_;
  SoakWorld World_;
  SoakFaults Faults_;
  SoakCaller Caller_;
  SoakHostile Hostile_;
  Runtime Time_;
  TimePoint EndsAt_{};
  TimePoint LastCallAt_{};
  /// How late the soak's own loop was at most.
  Duration MostLate_{};
  unsigned Requests_ = 0;
  unsigned ServedLast_ = 0;
  std::vector<std::string> NotServedLast_;
};

int runEndpoint(const options::variables_map &Given) {
  EndpointOptions Options;
  Options.Id = Given["id"].as<std::string>();
  Options.Seed = Given["seed"].as<std::uint64_t>();
  Options.Plant = Given["plant"].as<std::string>();
  return serveEndpoint(Options);
}

int runSoak(const options::variables_map &Given, const std::string &Self) {
  SoakOptions Options;
  Options.Self = Self;
  Options.Seed = Given["seed"].as<std::uint64_t>();
  Options.Length = std::chrono::seconds(Given["seconds"].as<unsigned>());
  Options.Scale = Given["scale"].as<unsigned>();
  Options.RequestsPerSecond = Given["rate"].as<double>();
  Options.Plant = Given["plant"].as<std::string>();
  Options.Rough = Given["rough"].as<bool>();
  Options.Plain = Given["plain"].as<bool>();
  bool Held = Soak(Options).run();
  // A planted fault must be found.
  return Held == Options.Plant.empty() ? 0 : 1;
}

} // namespace

int main(int Count, char **Arguments) {
  options::options_description All("celerybeam-soak [run|endpoint] [options]");
  All.add_options()("help", "print this help")(
      "role", options::value<std::string>()->default_value("run"),
      "run, or endpoint for one endpoint process")(
      "seed", options::value<std::uint64_t>()->default_value(1),
      "what the faults and requests follow from")(
      "seconds", options::value<unsigned>()->default_value(20),
      "how long faults are injected")(
      "scale", options::value<unsigned>()->default_value(1),
      "units of 5 entry hosts and 6 endpoints")(
      "rough", options::bool_switch(),
      "hosts paused in series, and hostile callers")(
      "plain", options::bool_switch(), "tables name no customers")(
      "rate", options::value<double>()->default_value(60), "requests a second")(
      "plant", options::value<std::string>()->default_value(""),
      "a fault of the endpoints that must be found: run-twice, run-refused, "
      "wrong-body, skip-event")(
      "id", options::value<std::string>()->default_value("e"),
      "of the endpoint");
  options::positional_options_description Words;
  Words.add("role", 1);
  options::variables_map Given;
  try {
    options::store(options::command_line_parser(Count, Arguments)
                       .options(All)
                       .positional(Words)
                       .run(),
                   Given);
  } catch (const options::error &Wrong) {
    std::cerr << "celerybeam-soak: " << Wrong.what() << "; see --help\n";
    return 2;
  }
  if (Given.count("help") > 0) {
    std::cout << All << "\n";
    return 0;
  }
  try {
    return Given["role"].as<std::string>() == "endpoint"
               ? runEndpoint(Given)
               : runSoak(Given, "/proc/self/exe");
  } catch (const std::exception &Wrong) {
    std::cerr << "celerybeam-soak: " << Wrong.what() << "\n";
    return 1;
  }
}
