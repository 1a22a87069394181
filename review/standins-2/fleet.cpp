#include "fleet.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace celerybeam::review {

namespace {

using nlohmann::json;

constexpr Millis EventGap(250);
constexpr Millis WorkTime(20);
constexpr Millis LongestIdle(30000);
constexpr Millis ReadyWait(500);
constexpr Millis BeforeFirst(150);
constexpr unsigned Slots = 32;
constexpr Millis HeartbeatInterval(1200);
/// From a prompt's arrival to its first event.
constexpr Millis PrefillTime(800);

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
    {"casa-a", "casablanca"}, {"fes-a", "fes"}, {"mrk-a", "marrakech"}};

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
                    {{"cpuShare", O.CpuShare},
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
      Born_(std::chrono::duration_cast<Millis>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()),
      Listener_(std::make_unique<Listener>(
          Address_, [this](Connection &Peer) { serve(Peer); })) {}

json Runner::entry() {
  return {{"backend", Service_},  {"address", Address_},     {"zone", Zone_},
          {"version", 1},         {"slots", Slots},          {"state", "ready"},
          {"coldRemainingMs", 0}, {"sequence", ++Sequence_}, {"born", Born_}};
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
  unsigned Running = 0;
  {
    std::lock_guard Lock(Mutex_);
    Running = Running_ < Slots ? ++Running_ : 0;
  }
  if (Running == 0)
    return Peer.write(
        "HTTP/1.1 503 Full\r\nX-Attempt-Id: " + Request.field("x-attempt-id") +
        "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  bool GoesOn = run(Peer, Request, Running);
  std::lock_guard Lock(Mutex_);
  --Running_;
  return GoesOn;
}

bool Runner::run(Connection &Peer, const Message &Request, unsigned Running) {
  std::string Target = Request.secondWord();
  std::string Attempt = Request.field("x-attempt-id");
  {
    std::lock_guard Lock(Mutex_);
    ++Runs_[Attempt];
  }
  std::this_thread::sleep_for(Streams_ ? PrefillTime : WorkTime);
  std::size_t Number = std::stoul(Target.substr(Target.rfind('/') + 1));
  bool Fails = Attempt.ends_with(FailingId);
  std::string Head =
      std::string("HTTP/1.1 ") + (Fails ? "500 Failed" : "200 OK") +
      "\r\nX-Attempt-Id: " + Attempt + "\r\nX-Response-Stamp: " + Id_ + "." +
      Attempt + "\r\nX-Server-Load: " + std::to_string(Running) + ",0," +
      std::to_string(Slots) + "\r\n";
  if (Streams_)
    return stream(Peer, Head, static_cast<unsigned>(Number));
  return Peer.write(Head + "Content-Length: " + std::to_string(Number) +
                    "\r\n\r\n" + std::string(Number, 'x'));
}

bool Runner::stream(Connection &Peer, const std::string &Head,
                    unsigned Events) {
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

Gateway::Gateway(const Options &O, const std::string &Folder)
    : Options_(O), Settings_(Folder + "/" + O.Name + ".yaml"),
      Log_(Folder + "/" + O.Name + ".log") {
  std::ofstream(Settings_) << settingsOf(O);
}

void Gateway::start() {
  std::string Variable = "CELERYBEAM_CONFIG=" + Settings_;
  std::string Program = "target/platform/celerybeam-gateway";
  Process_ = ::fork();
  if (Process_ != 0)
    return;
  // It ends with the script, also when that is killed.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  constexpr mode_t Mode = 0644;
  int Out = ::open(Log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, Mode);
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

void Gateway::signal(int Number) {
  if (runs())
    ::kill(Process_, Number);
}

Deployment::Deployment(const Options &O, const std::string &Program)
    : Options_(O) {
  std::string Pattern = "/tmp/" + Program + "-XXXXXX";
  if (::mkdtemp(Pattern.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
  Folder_ = Pattern;
  Gateway::Options G;
  G.StoreAddress = at(ownIp(StoreNumber), StorePort);
  G.MemoryMb = O.MemoryMb;
  Store_ = std::make_unique<Store>(G.StoreAddress);
  for (std::size_t I = 0; I < std::size(Places); ++I)
    for (unsigned J = 0; J < (I == 0 ? O.Runners : 1); ++J)
      addRunner(Places[I].Zone, BookingService);
  for (unsigned I = 0; I < O.ModelRunners; ++I)
    addRunner(Places[0].Zone, ModelService);
  if (O.HasDesk)
    addRunner(Places[0].Zone, DeskService);
  Store_->put("op/config", config());
  for (unsigned I = 1; I <= std::size(Places); ++I)
    G.Seeds.push_back(ownIp(I));
  unsigned Hosts = 0;
  for (std::size_t I = 0; I < std::size(Places); ++I)
    for (unsigned J = 1; J <= (I == 0 ? O.Gateways : 1); ++J) {
      G.Zone = Places[I].Zone;
      G.Name = "front-" + G.Zone + "-" + std::to_string(J);
      G.Ip = ownIp(++Hosts);
      Gateways_.push_back(std::make_unique<Gateway>(G, Folder_));
      constexpr double SmallerShare = 0.3;
      G.CpuShare = SmallerShare;
    }
  // The first one last: "All machines start within 0.3 s of each other, in any
  // order".
  for (std::size_t I = 1; I < Gateways_.size(); ++I)
    Gateways_[I]->start();
  std::this_thread::sleep_for(BeforeFirst);
  Gateways_.front()->start();
  CheckIns_ = std::thread([this] { keepCheckingIn(); });
}

void Deployment::keepCheckingIn() {
  auto Next = Clock::now();
  while (!Stops_) {
    std::this_thread::sleep_for(Millis(50));
    if (Clock::now() < Next)
      continue;
    Next += HeartbeatInterval;
    for (const auto &Each : Runners_)
      Store_->put("servers/" + Each->id(), Each->entry());
  }
}

void Deployment::addRunner(const char *Zone, const char *Service) {
  auto Number = static_cast<unsigned>(Runners_.size()) + 1;
  Runners_.push_back(std::make_unique<Runner>(
      "i-" + std::to_string(Number),
      at(ownIp(StoreNumber + Number), RunnerPort), Service, Zone,
      Service == std::string_view(ModelService)));
  Store_->put("servers/" + Runners_.back()->id(), Runners_.back()->entry());
}

Deployment::~Deployment() {
  Stops_ = true;
  if (CheckIns_.joinable())
    CheckIns_.join();
  Gateways_.clear();
  Runners_.clear();
  Store_.reset();
  std::error_code Ignored;
  std::filesystem::remove_all(Folder_, Ignored);
}

json Deployment::route(const char *Name, const char *Prefix, const char *Kind,
                       unsigned MaxAttempts, const char *Service) const {
  return {{"name", Name},
          {"hostname", Host},
          {"pathPrefix", Prefix},
          {"routeType", Kind},
          {"timeoutMs", Options_.TimeoutMs},
          {"targetLatencyMs", 500},
          {"priority", 1},
          {"maxAttempts", MaxAttempts},
          {"backend", Service}};
}

json Deployment::config() const {
  json Api = {{"name", BookingService},
              {"healthPath", "/healthz"},
              {"maxConnections", 760},
              {"coldStartS", 0},
              {"coldPerS", 0}};
  json Config = {{"version", 5},
                 {"routes", json::array({route("book", Path, "unsafe", 1,
                                               BookingService)})},
                 {"services", json::array({Api})},
                 {"limits",
                  {{"maxHeaderBytes", 16384},
                   {"maxBodyBytes", 4194304},
                   {"headerTimeoutMs", 3000},
                   {"idleTimeoutMs", Options_.IdleTimeoutMs}}}};
  if (Options_.HasDesk) {
    json Desk = Api;
    Desk["name"] = DeskService;
    Config["services"].push_back(Desk);
  }
  if (Options_.ModelRunners == 0)
    return Config;
  json Plan = route("plan", StreamPath, "streaming", 1, ModelService);
  Plan.update({{"targetLatencyMs", 1000}, {"gapAimMs", 400}, {"sticky", true}});
  json Model = Api;
  Model.update(
      {{"name", ModelService},
       {"engine",
        {{"slots", Slots}, {"kvCapacityTokens", 444000}, {"stride", 13}}}});
  Config["routes"].push_back(Plan);
  Config["services"].push_back(Model);
  return Config;
}

void Deployment::writeConfig(unsigned Version, const json &MoreRoutes) {
  json Config = config();
  Config["version"] = Version;
  for (const json &Route : MoreRoutes)
    Config["routes"].push_back(Route);
  Store_->put("op/config", Config);
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

std::string Deployment::servicesOf(const std::string &Request) const {
  std::string Services;
  for (const auto &Each : Runners_)
    for (unsigned I = 0; I < Each->runsOf(Request); ++I)
      Services += (Services.empty() ? "" : ", ") + Each->service();
  return Services;
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
