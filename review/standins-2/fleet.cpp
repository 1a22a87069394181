#include "fleet.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace celerybeam::review {

namespace {

using nlohmann::json;

constexpr const char *Service = "school-api";
constexpr const char *ModelService = "planner-llm";
constexpr Millis EventGap(250);
constexpr Millis WorkTime(20);
constexpr Millis LongestIdle(30000);
constexpr Millis ReadyWait(500);
constexpr unsigned Slots = 64;

constexpr int CallerPort = 18144;
constexpr int ReadyPort = 18140;
constexpr int ControlPort = 18146;
constexpr int DirectoryPort = 18143;
constexpr int RunnerPort = 18200;
constexpr int StorePort = 18142;
/// The last part of the store's address; the runners follow.
constexpr unsigned StoreNumber = 100;

struct Place {
  const char *Zone;
  const char *Region;
};
constexpr Place Places[] = {
    {"kigali-a", "kigali"}, {"musanze-a", "musanze"}, {"huye-a", "huye"}};

std::string at(const std::string &Ip, int Port) {
  return Ip + ":" + std::to_string(Port);
}

/// Loopback addresses of this process alone.
std::string ownIp(unsigned Number) {
  constexpr int Values = 200;
  int Process = static_cast<int>(::getpid());
  return "127." + std::to_string(20 + Process / Values % Values) + "." +
         std::to_string(1 + Process % Values) + "." + std::to_string(Number);
}

std::string settingsOf(const Gateway::Options &O) {
  json Zones;
  std::string Region;
  for (const Place &P : Places) {
    Zones[P.Zone] = P.Region;
    if (O.Zone == P.Zone)
      Region = P.Region;
  }
  json Seeds = json::array();
  for (const std::string &Seed : O.Seeds)
    Seeds.push_back(at(Seed, ControlPort));
  // YAML reads JSON, too. The fields are those of the users' DEPLOY.md.
  json Settings = {{"nodeName", O.Name},
                   {"role", "entry"},
                   {"machineClass", "front"},
                   {"serves", {"front", "control", "directory"}},
                   {"ip", O.Ip},
                   {"zone", O.Zone},
                   {"region", Region},
                   {"zones", Zones},
                   {"listen",
                    {{"front", at(O.Ip, CallerPort)},
                     {"ready", at(O.Ip, ReadyPort)},
                     {"control", at(O.Ip, ControlPort)},
                     {"directory", at(O.Ip, DirectoryPort)}}},
                   {"internalPorts", {18160, 18175}},
                   {"seeds", Seeds},
                   {"bootstrap", true},
                   {"inFaultBudget", false},
                   {"limits",
                    {{"cpuShare", 0.5},
                     {"cores", 1},
                     {"memoryMb", O.MemoryMb},
                     {"maxFds", 2870},
                     {"linkMbps", 700.0},
                     {"diskMb", 0}}},
                   {"dataDir", nullptr},
                   {"discovery", "platform"},
                   {"entry", "directory"},
                   {"heartbeatMs", 1200},
                   {"bounds",
                    {{"stableWindowMs", 6000},
                     {"drainMs", 5000},
                     {"graceS", 8},
                     {"lossSlackMs", 200},
                     {"configDeadlineMs", 5000},
                     {"retryBudgetRatio", 0.2},
                     {"budgetWindowS", 10},
                     {"retryBudgetSlack", 113},
                     {"ttl_max_s", 5}}},
                   {"platform",
                    {{"address", O.StoreAddress},
                     {"form", "kv"},
                     {"writesPerS", 400},
                     {"readsPerS", 2000},
                     {"historyS", 20},
                     {"valueBytes", 1048576},
                     {"ttlMinMs", 1000}}}};
  return Settings.dump(1);
}

} // namespace

Runner::Runner(std::string Id, std::string Address, std::string Service,
               std::string Zone, bool Streams)
    : Id_(std::move(Id)), Address_(std::move(Address)),
      Service_(std::move(Service)), Zone_(std::move(Zone)), Streams_(Streams),
      Listener_(std::make_unique<Listener>(
          Address_, [this](Connection &Peer) { serve(Peer); })) {}

json Runner::entry() const {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  return {{"backend", Service_},
          {"address", Address_},
          {"zone", Zone_},
          {"version", 1},
          {"slots", Slots},
          {"state", "ready"},
          {"coldRemainingMs", 0},
          {"sequence", 1},
          {"born", std::chrono::duration_cast<Millis>(Now).count()}};
}

unsigned Runner::runsOf(const std::string &Request) const {
  std::lock_guard Lock(Mutex_);
  auto Found = Runs_.find(Request);
  return Found == Runs_.end() ? 0 : Found->second;
}

void Runner::serve(Connection &Peer) {
  while (auto Request = readMessage(Peer, LongestIdle))
    if (!answer(Peer, *Request))
      return;
}

bool Runner::answer(Connection &Peer, const Message &Request) {
  std::string Target = Request.secondWord();
  if (Target == "/healthz")
    return Peer.write("HTTP/1.1 200 OK\r\nX-Instance-Id: " + Id_ +
                      "\r\nContent-Length: 0\r\n\r\n");
  std::string Expected = Request.field("x-expect-instance");
  if (!Expected.empty() && Expected != Id_)
    return Peer.write("HTTP/1.1 421 Misdirected Request\r\n"
                      "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  std::string Attempt = Request.field("x-attempt-id");
  {
    std::lock_guard Lock(Mutex_);
    ++Runs_[Attempt];
  }
  std::this_thread::sleep_for(WorkTime);
  std::size_t Number = std::stoul(Target.substr(Target.rfind('/') + 1));
  std::string Head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + Attempt +
                     "\r\nX-Response-Stamp: " + Id_ + "." + Attempt +
                     "\r\nX-Server-Load: 1,0," + std::to_string(Slots) + "\r\n";
  if (Streams_)
    return stream(Peer, Head, static_cast<unsigned>(Number));
  return Peer.write(Head + "Content-Length: " + std::to_string(Number) +
                    "\r\n\r\n" + std::string(Number, 'x'));
}

bool Runner::stream(Connection &Peer, const std::string &Head,
                    unsigned Events) const {
  if (!Peer.write(Head + "Content-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n"))
    return false;
  for (unsigned I = 1; I <= Events; ++I) {
    std::string Event = "id: " + std::to_string(I) + "\ndata: lesson\n\n";
    std::array<char, 16> Length{};
    std::snprintf(Length.data(), Length.size(), "%zx\r\n", Event.size());
    if (!Peer.write(Length.data() + Event + "\r\n"))
      return false;
    std::this_thread::sleep_for(EventGap);
  }
  return Peer.write("0\r\n\r\n");
}

Gateway::Gateway(const Options &O, const std::string &Folder) : Options_(O) {
  std::string Settings = Folder + "/" + O.Name + ".yaml";
  std::ofstream(Settings) << settingsOf(O);
  std::string Variable = "CELERYBEAM_CONFIG=" + Settings;
  std::string Program = "target/platform/celerybeam-gateway";
  std::string Log = Folder + "/" + O.Name + ".log";
  Process_ = ::fork();
  if (Process_ != 0)
    return;
  constexpr mode_t Mode = 0644;
  int Out = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, Mode);
  ::dup2(Out, STDOUT_FILENO);
  ::dup2(Out, STDERR_FILENO);
  char *Arguments[] = {Program.data(), nullptr};
  char *Environment[] = {Variable.data(), nullptr};
  ::execve(Program.c_str(), Arguments, Environment);
  ::_exit(1);
}

Gateway::~Gateway() {
  if (!runs())
    return;
  ::kill(Process_, SIGKILL);
  ::waitpid(Process_, nullptr, 0);
}

std::string Gateway::callerAddress() const {
  return at(Options_.Ip, CallerPort);
}

bool Gateway::isReady() const {
  auto Asked = Connection::to(at(Options_.Ip, ReadyPort));
  if (!Asked || !Asked->write("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"))
    return false;
  auto Got = readMessage(*Asked, ReadyWait);
  return Got && Got->secondWord() == "200";
}

bool Gateway::runs() {
  if (Process_ > 0 && ::waitpid(Process_, nullptr, WNOHANG) != 0)
    Process_ = -1;
  return Process_ > 0;
}

double Gateway::memoryMb() {
  if (!runs())
    return 0;
  std::ifstream In("/proc/" + std::to_string(Process_) + "/statm");
  double Pages = 0;
  double Resident = 0;
  In >> Pages >> Resident;
  constexpr double BytesPerMb = 1e6;
  return Resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / BytesPerMb;
}

void Gateway::kill() {
  if (runs())
    ::kill(Process_, SIGKILL);
}

Deployment::Deployment(const Options &O, const std::string &Program) {
  std::string Pattern = "/tmp/" + Program + "-XXXXXX";
  if (::mkdtemp(Pattern.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
  Folder_ = Pattern;
  std::string StoreAddress = at(ownIp(StoreNumber), StorePort);
  Store_ = std::make_unique<Store>(StoreAddress);
  std::vector<std::string> Ips;
  unsigned Runners = 0;
  for (const Place &P : Places) {
    Ips.push_back(ownIp(1 + static_cast<unsigned>(Ips.size())));
    addRunner(++Runners, P.Zone, false);
  }
  for (unsigned I = 0; I < O.ModelRunners; ++I)
    addRunner(++Runners, Places[0].Zone, true);
  Store_->put("op/config", config(O));
  for (std::size_t I = 0; I < std::size(Places); ++I)
    Gateways_.push_back(std::make_unique<Gateway>(
        Gateway::Options{std::string("front-") + Places[I].Zone + "-1", Ips[I],
                         Places[I].Zone, StoreAddress, Ips, O.MemoryMb},
        Folder_));
}

void Deployment::addRunner(unsigned Number, const char *Zone, bool Streams) {
  Runners_.push_back(std::make_unique<Runner>(
      "i-" + std::to_string(Number),
      at(ownIp(StoreNumber + Number), RunnerPort),
      Streams ? ModelService : Service, Zone, Streams));
  Store_->put("servers/" + Runners_.back()->id(), Runners_.back()->entry());
}

Deployment::~Deployment() {
  Gateways_.clear();
  Runners_.clear();
  Store_.reset();
  std::error_code Ignored;
  std::filesystem::remove_all(Folder_, Ignored);
}

json Deployment::config(const Options &O) {
  json Booking = {{"name", "book"},
                  {"hostname", Host},
                  {"pathPrefix", Path},
                  {"routeType", "unsafe"},
                  {"timeoutMs", O.TimeoutMs},
                  {"targetLatencyMs", 500},
                  {"priority", 1},
                  {"maxAttempts", 1},
                  {"backend", Service}};
  json Api = {{"name", Service},
              {"healthPath", "/healthz"},
              {"maxConnections", 760},
              {"coldStartS", 0},
              {"coldPerS", 0}};
  json Config = {{"version", 5},
                 {"routes", json::array({Booking})},
                 {"services", json::array({Api})},
                 {"limits",
                  {{"maxHeaderBytes", 16384},
                   {"maxBodyBytes", 4194304},
                   {"headerTimeoutMs", 3000},
                   {"idleTimeoutMs", O.IdleTimeoutMs}}}};
  if (O.ModelRunners == 0)
    return Config;
  json Plan = Booking;
  Plan.update({{"name", "plan"},
               {"pathPrefix", StreamPath},
               {"routeType", "streaming"},
               {"targetLatencyMs", 1000},
               {"gapAimMs", 400},
               {"sticky", true},
               {"backend", ModelService}});
  json Model = Api;
  Model.update(
      {{"name", ModelService},
       {"engine",
        {{"slots", Slots}, {"kvCapacityTokens", 444000}, {"stride", 13}}}});
  Config["routes"].push_back(Plan);
  Config["services"].push_back(Model);
  return Config;
}

bool Deployment::start() {
  auto Until = Clock::now() + std::chrono::seconds(15);
  for (const auto &Each : Gateways_)
    while (!Each->isReady()) {
      if (Clock::now() > Until)
        return false;
      std::this_thread::sleep_for(Millis(100));
    }
  // They are in touch stableWindowMs after their start.
  std::this_thread::sleep_for(std::chrono::seconds(6));
  return allRun();
}

bool Deployment::allRun() {
  for (const auto &Each : Gateways_)
    if (!Each->runs())
      return false;
  return true;
}

unsigned Deployment::runsOf(const std::string &Request) const {
  unsigned Runs = 0;
  for (const auto &Each : Runners_)
    Runs += Each->runsOf(Request);
  return Runs;
}

std::string requestText(const std::string &Id, std::size_t AnswerBytes,
                        unsigned TimeLeftMs) {
  return std::string("POST ") + Deployment::Path + std::to_string(AnswerBytes) +
         " HTTP/1.1\r\nHost: " + Deployment::Host + "\r\nX-Attempt-Id: " + Id +
         "\r\nX-Deadline-Ms: " + std::to_string(TimeLeftMs) +
         "\r\nContent-Length: 4\r\n\r\nbook";
}

bool hasTrouble() {
  const char *Trouble = std::getenv("TROUBLE");
  return Trouble == nullptr || std::string(Trouble) != "0";
}

} // namespace celerybeam::review
