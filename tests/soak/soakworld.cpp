#include "soak/soakworld.h"

#include <csignal>
#include <stdexcept>

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace celerybeam::testing {

namespace {

using nlohmann::json;

constexpr std::int64_t FirstStart = 1700000000000;

/// Callers of both limited customers send several times their limits. Half a
/// burst, a region's part, has room for the dearest request.
constexpr double EagerRate = 120;
constexpr double EagerBurst = 240;
constexpr unsigned MostTokens = 60;
constexpr unsigned PlainTokens = 30;
constexpr double BriskRate = 2;
constexpr double BriskBurst = 4;

json row(const SoakRoute &Route, const char *Kind, const char *Service) {
  json Row = {
      {"name", "r" + std::to_string(std::hash<std::string>{}(Route.Path))},
      {"hostname", "x.example"},
      {"pathPrefix", Route.Path},
      {"routeType", Kind},
      {"timeoutMs", 6000},
      {"targetLatencyMs", 1500},
      {"gapAimMs", 1000},
      {"priority", 1},
      {"backend", Service},
      {"public", Route.Public},
      {"maxAttempts", Route.Once ? 1 : 2}};
  for (const std::string &Region : Route.Homes)
    Row["homeRegions"].push_back(Region);
  return Row;
}

/// Units of its limit that a request without a number of tokens costs.
double plainCost(const SoakCustomer &C) {
  return C.Unit == "tokens" ? PlainTokens : 1;
}

json service(const char *Name) {
  return {{"name", Name},
          {"healthPath", "/healthz"},
          {"maxConnections", 200},
          {"coldStartS", 0},
          {"coldPerS", 0}};
}

} // namespace

std::string SoakHost::address() const {
  return Options.Ip + ":" + std::to_string(GatewayProcess::CallerPort);
}

void SoakHost::pause(TimePoint Now) {
  Process->signal(SIGSTOP);
  StoodBefore = stood(Now);
  Paused = true;
  PausedAt = Now;
}

void SoakHost::resume(TimePoint Now) {
  Process->signal(SIGCONT);
  StoodBefore = stood(Now);
  Paused = false;
}

SoakWorld::SoakWorld(EventLoop &L, const SoakOptions &Options, SoakJudge &Judge)
    : Loop(L), Store(L), Options_(Options), Judge_(Judge),
      Random_(Options.Seed * 5 + 2) {
  for (unsigned I = 0; I < Options.Scale; ++I) {
    for (const char *Zone : {"north-a", "north-a", "north-b"})
      addHost("north", Zone);
    for (int South = 0; South < 2; ++South)
      addHost("south", "south-a");
    for (const char *Service : {"app", "engine"}) {
      addEndpoint(Service, "north", "north-a");
      addEndpoint(Service, "north", "north-b");
      addEndpoint(Service, "south", "south-a");
    }
  }
  if (!Options.Plain) {
    addCustomer("steady", "tokens", 0, 0, 0);
    addCustomer("eager", "tokens", EagerRate, EagerBurst, MostTokens);
    addCustomer("brisk", "requests", BriskRate, BriskBurst, 1);
  }
  nextTables();
  for (SoakEndpoint &E : Endpoints)
    startEndpoint(E);
  for (SoakHost &Host : Hosts)
    startHost(Host);
}

SoakWorld::~SoakWorld() {
  for (const SoakEndpoint &E : Endpoints)
    if (E.Process != 0) {
      ::kill(E.Process, SIGKILL);
      ::waitpid(E.Process, nullptr, 0);
    }
}

void SoakWorld::addHost(const std::string &Region, const std::string &Zone) {
  SoakHost Host;
  unsigned Number = static_cast<unsigned>(Hosts.size()) + 1;
  Host.Options.Name = "n" + std::to_string(Number);
  Host.Options.Ip = ownLoopbackIp(Number);
  Host.Options.Region = Region;
  Host.Options.Zone = Zone;
  Host.Options.Cores = Number % 3 == 0 ? 1 : 0.25;
  if (!Options_.Plain)
    Host.Options.KeyLifetimeMs =
        static_cast<int>(SoakJudge::KeyLifetime / std::chrono::milliseconds(1));
  for (unsigned Seed = 1; Seed <= 3; ++Seed)
    Host.Options.Seeds.push_back(ownLoopbackIp(Seed));
  Host.ToStore = std::make_unique<FaultProxy>(Loop, Store.address());
  Host.Options.Store = Host.ToStore->address();
  Hosts.push_back(std::move(Host));
}

void SoakWorld::addEndpoint(const std::string &Service,
                            const std::string &Region,
                            const std::string &Zone) {
  SoakEndpoint E;
  E.Id = "e" + std::to_string(Endpoints.size() + 1);
  E.Service = Service;
  E.Region = Region;
  E.Zone = Zone;
  E.Way = std::make_unique<FaultProxy>(Loop, "127.0.0.1:1");
  Endpoints.push_back(std::move(E));
}

void SoakWorld::startHost(SoakHost &Host) {
  ++Host.Starts;
  Host.Stopping = false;
  // A process that was killed while it stood still has ended.
  Host.StoodBefore = Host.stood(Loop.runtime().Now());
  Host.Paused = false;
  Host.Process =
      std::make_unique<GatewayProcess>(Host.Options, Folder_.path(""));
}

void SoakWorld::restartEnded() {
  for (SoakHost &Host : Hosts)
    if (Host.Process->hasEnded()) {
      if (const std::string &How = Host.Process->ownEnd(); !How.empty())
        Judge_.fault("no host ends by itself", "none",
                     Host.start() + " ended with " + How);
      startHost(Host);
    }
}

void SoakWorld::startEndpoint(SoakEndpoint &E) {
  ++E.Starts;
  std::vector<std::string> Words = {
      Options_.Self, "endpoint", "--id",
      E.Id,          "--seed",   std::to_string(Options_.Seed + E.Starts)};
  if (!Options_.Plant.empty())
    Words.insert(Words.end(), {"--plant", Options_.Plant});
  std::vector<char *> Arguments;
  Arguments.reserve(Words.size() + 1);
  for (std::string &Word : Words)
    Arguments.push_back(Word.data());
  Arguments.push_back(nullptr);
  int Pipe[2];
  if (::pipe2(Pipe, O_CLOEXEC) != 0)
    throw std::runtime_error("no pipe");
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_adddup2(&Actions, Pipe[1], STDOUT_FILENO);
  int Failed = posix_spawn(&E.Process, Options_.Self.c_str(), &Actions, nullptr,
                           Arguments.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  ::close(Pipe[1]);
  if (Failed != 0)
    throw std::runtime_error("an endpoint cannot be started");
  E.Paused = false;
  E.Text.clear();
  E.Output = std::make_shared<boost::asio::posix::stream_descriptor>(
      Loop.context(), Pipe[0]);
  readOutput(E);
}

void SoakWorld::readOutput(SoakEndpoint &E) {
  auto Buffer = std::make_shared<std::array<char, 4096>>();
  E.Output->async_read_some(
      boost::asio::buffer(*Buffer),
      [this, &E, Buffer, Output = E.Output](boost::system::error_code Error,
                                            std::size_t Bytes) {
        if (Error || Output != E.Output)
          return;
        E.Text.append(Buffer->data(), Bytes);
        for (auto End = E.Text.find('\n'); End != std::string::npos;
             End = E.Text.find('\n')) {
          std::string Line = E.Text.substr(0, End);
          E.Text.erase(0, End + 1);
          takeLine(E, Line);
        }
        readOutput(E);
      });
}

void SoakWorld::takeLine(SoakEndpoint &E, const std::string &Line) {
  if (Line.starts_with("address ")) {
    E.Way->setTarget(Line.substr(Line.find(' ') + 1));
    announce(E, "ready");
  } else if (Line.starts_with("ran ")) {
    std::string Rest = Line.substr(Line.find(' ') + 1);
    auto End = Rest.find(' ');
    Judge_.ran(Rest.substr(0, End), E.Region, Rest.substr(End + 1),
               Loop.runtime().Now());
  }
}

void SoakWorld::killEndpoint(SoakEndpoint &E) {
  if (E.Process == 0)
    return;
  ::kill(E.Process, SIGKILL);
  ::waitpid(E.Process, nullptr, 0);
  E.Process = 0;
  // What it wrote before its end still counts.
  std::array<char, 4096> Left{};
  for (ssize_t Bytes = 1; Bytes > 0;) {
    boost::system::error_code Error;
    E.Output->non_blocking(true, Error);
    Bytes = ::read(E.Output->native_handle(), Left.data(), Left.size());
    if (Bytes > 0)
      E.Text.append(Left.data(), static_cast<std::size_t>(Bytes));
  }
  for (auto End = E.Text.find('\n'); End != std::string::npos;
       End = E.Text.find('\n')) {
    std::string Line = E.Text.substr(0, End);
    E.Text.erase(0, End + 1);
    if (Line.starts_with("ran "))
      takeLine(E, Line);
  }
  E.Output.reset();
}

void SoakWorld::announce(const SoakEndpoint &E, const std::string &State) {
  if (State.empty())
    return Store.remove("servers/" + E.Id);
  json Entry = {{"backend", E.Service},
                {"address", E.Way->address()},
                {"zone", E.Zone},
                {"slots", 6},
                {"state", State},
                {"coldRemainingMs", 0},
                {"born", FirstStart + E.Starts}};
  Store.put("servers/" + E.Id, Entry.dump());
}

std::vector<SoakRoute> SoakWorld::routes() const {
  return {{"/book/", true, false, {}, 0},
          {"/look/", false, false, {}, 0, true},
          {"/home/", true, false, {"north"}, 0},
          {"/sdraft/", true, true, {}, 0},
          onceBelowSafe(Version_),
          {"/v" + std::to_string(Version_) + "/", false, false, {}, Version_}};
}

// Hosts that do not know of it handle its requests by the safe route above it.
SoakRoute SoakWorld::onceBelowSafe(unsigned Version) {
  SoakRoute Route;
  Route.Path = "/look/once" + std::to_string(Version) + "/";
  Route.Once = Route.Public = true;
  return Route;
}

void SoakWorld::nextTables() {
  ++Version_;
  auto Routes = routes();
  auto Ms = [this](Duration Rough, int Otherwise) {
    return Options_.Rough
               ? std::chrono::duration_cast<std::chrono::milliseconds>(Rough)
                     .count()
               : Otherwise;
  };
  json Tables = {
      {"version", 10 * Version_},
      {"routes",
       {row(Routes[0], "unsafe", "app"), row(Routes[1], "safe", "app"),
        row(Routes[2], "unsafe", "app"), row(Routes[3], "streaming", "engine"),
        row(Routes.back(), "safe", "app")}},
      {"services", {service("app"), service("engine")}},
      {"limits",
       {{"maxHeaderBytes", 16384},
        {"maxBodyBytes", 100000},
        {"headerTimeoutMs", Ms(RoughHeader, 3000)},
        {"idleTimeoutMs", Ms(RoughIdle, 15000)}}}};
  for (unsigned Version = 1; Version <= Version_; ++Version)
    Tables["routes"].push_back(row(onceBelowSafe(Version), "unsafe", "app"));
  for (const SoakCustomer &C : Customers_)
    Tables["tenants"].push_back({{"name", C.Name},
                                 {"apiKeys", C.Keys},
                                 {"priority", 1},
                                 {"unit", C.Unit},
                                 {"plainTokens", PlainTokens},
                                 {"ratePerS", C.Limit.PerSecond},
                                 {"burst", C.Limit.Burst}});
  Store.put("op/config", Tables.dump());
  for (const SoakCustomer &C : Customers_)
    Judge_.customerSet(C.Name, C.Keys, C.Limit, Loop.runtime().Now());
}

void SoakWorld::addCustomer(const std::string &Name, const std::string &Unit,
                            double PerSecond, double Burst, double MostCost) {
  constexpr unsigned KeyCount = 3;
  SoakCustomer C{Name, Unit, {}, {PerSecond, Burst, 0}};
  // Allocators that are killed lose how much of the burst was used, and each
  // host may have been granted what a single request needs.
  C.Limit.Slack = Burst + MostCost * static_cast<double>(Hosts.size());
  while (C.Keys.size() < KeyCount)
    C.Keys.insert(newKey());
  Customers_.push_back(std::move(C));
}

void SoakWorld::changeCustomers() {
  SoakCustomer &C = Customers_[Random_() % Customers_.size()];
  auto Removed = C.Keys.begin();
  std::advance(Removed, Random_() % C.Keys.size());
  RemovedCallers_.push_back(
      {*Removed, "X-Credential: " + *Removed + "\r\n", plainCost(C)});
  C.Keys.erase(Removed);
  C.Keys.insert(newKey());
  Customers_[1].Limit.PerSecond = EagerRate / anyDivisor();
  Customers_[2].Limit.PerSecond = BriskRate / anyDivisor();
  nextTables();
}

SoakIdentity SoakWorld::callerOf(const SoakCustomer &C) {
  auto Key = C.Keys.begin();
  std::advance(Key, Random_() % C.Keys.size());
  SoakIdentity Caller{*Key, "X-Credential: " + *Key + "\r\n", plainCost(C)};
  if (C.Unit != "tokens" || Random_() % 2 == 0)
    return Caller;
  unsigned Prompt = 1 + static_cast<unsigned>(Random_() % (MostTokens / 2));
  unsigned Output = static_cast<unsigned>(Random_() % (MostTokens / 2));
  Caller.Cost = Prompt + Output;
  Caller.Fields += "X-Token-Count: " + std::to_string(Prompt) + "," +
                   std::to_string(Output) + "\r\n";
  return Caller;
}

SoakIdentity SoakWorld::steadyCaller() {
  return Customers_.empty() ? SoakIdentity() : callerOf(Customers_.front());
}

SoakIdentity SoakWorld::anyCaller() {
  if (Customers_.empty())
    return {};
  constexpr unsigned Draws = 20;
  constexpr unsigned OfEager = 8;
  constexpr unsigned OfBrisk = 12;
  auto Draw = Random_() % Draws;
  if (Draw == Draws - 1)
    return {"key-of-nobody",
            "X-Credential: key-of-nobody\r\nX-Tenant: steady\r\n", 0};
  if (Draw >= Draws - 3 && !RemovedCallers_.empty())
    return RemovedCallers_[Random_() % RemovedCallers_.size()];
  return callerOf(Customers_[Draw < OfEager ? 1 : Draw < OfBrisk ? 2 : 0]);
}

} // namespace celerybeam::testing
