#include "world.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace review {

using namespace celerybeam;
using nlohmann::json;

namespace {

constexpr const char *Gateway = "target/platform/celerybeam-gateway";
constexpr int RunnerPort = 28280;
constexpr Duration Heartbeat = std::chrono::milliseconds(1200);
constexpr Duration ReapInterval = std::chrono::milliseconds(50);
/// A runner that has crashed is back after some seconds.
constexpr Duration RunnerRestart = std::chrono::milliseconds(2500);
constexpr Duration ReadyPoll = std::chrono::milliseconds(200);
constexpr unsigned MostReadyPolls = 100;
constexpr Duration Patience = std::chrono::seconds(5);
constexpr unsigned RunnerSlots = 64;

std::string recordPath() {
  const char *Path = std::getenv("RECORD");
  return Path == nullptr ? "record.txt" : Path;
}

std::string loopbackNetwork() {
  constexpr int Values = 200;
  int Process = static_cast<int>(::getpid());
  return "127." + std::to_string(20 + Process / Values % Values) + "." +
         std::to_string(1 + Process % Values) + ".";
}

} // namespace

World::World(EventLoop &Loop, char **Arguments, bool OneZone)
    : Time(Loop.runtime()), Record(recordPath()), Caller_(Loop),
      Program_(Arguments[0]), Network_(loopbackNetwork()),
      StartedAt_(Time.Now()) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
  if (::mkdtemp(Template.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
  Folder_ = Template;
  Places_ = {{"north", "north-a", Network_ + "1"},
             {"south", "south-a", Network_ + "2"},
             {"west", "west-a", Network_ + "3"}};
  if (OneZone)
    Places_ = {{"north", "north-a", Network_ + "1"},
               {"north", "north-a", Network_ + "2"}};
  Store_ = std::make_unique<Store>(Loop, Network_ + "200:28142");
  beat();
  reap();
}

World::~World() {
  for (const auto &[Index, Process] : Hosts_) {
    ::kill(Process, SIGKILL);
    ::waitpid(Process, nullptr, 0);
  }
  for (const auto &R : Runners_)
    if (R->Process != 0) {
      ::kill(R->Process, SIGKILL);
      ::waitpid(R->Process, nullptr, 0);
    }
  std::error_code Ignored;
  std::filesystem::remove_all(Folder_, Ignored);
}

bool World::hasTrouble() {
  const char *Text = std::getenv("TROUBLE");
  return Text == nullptr || std::string(Text) != "0";
}

std::string World::settingsOf(std::size_t Index) const {
  const Place &P = Places_[Index];
  auto At = [&P](int Port) {
    return "\"" + P.HostIp + ":" + std::to_string(Port) + "\"\n";
  };
  std::string Text = "nodeName: \"front-" + P.Zone + "-" +
                     std::to_string(Index + 1) + "\"\nrole: \"entry\"\n" +
                     "machineClass: \"front\"\nserves: [front, control, "
                     "directory]\nip: \"" +
                     P.HostIp + "\"\nzone: \"" + P.Zone + "\"\nregion: \"" +
                     P.Region + "\"\nzones:\n";
  std::set<std::string> Zones;
  for (const Place &Each : Places_)
    if (Zones.insert(Each.Zone).second)
      Text += "  " + Each.Zone + ": \"" + Each.Region + "\"\n";
  Text += "listen:\n  front: " + At(FrontPort) + "  ready: " + At(ReadyPort) +
          "  control: " + At(28246) + "  directory: " + At(DirectoryPort) +
          "internalPorts: [28260, 28275]\nseeds:\n";
  for (const Place &Each : Places_)
    Text += "  - \"" + Each.HostIp + ":28246\"\n";
  // The bounds of demands/LATER.md; those of an installation with tenants.
  Text += "bootstrap: true\nlimits: {cpuShare: 0.5, cores: 1, memoryMb: 512, "
          "maxFds: 8192, linkMbps: 200.0}\nheartbeatMs: 1200\nbounds: "
          "{seedLagS: 3, reuseAfterS: 2, stableWindowMs: 6000, ackMs: 10000, "
          "drainMs: 5000, graceS: 8, configDeadlineMs: 5000, maxSkewMs: 10000, "
          "strictRevoke: true, revokeMs: 5000, retryBudgetRatio: 0.2, "
          "budgetWindowS: 10, retryBudgetSlack: 348, quotaWindowS: 8, "
          "quotaOverage: 0.1, quotaSlack: 140000, coldOverage: 1.5, "
          "coldSlack: 3, evacuateMs: 5000, recoveryS: 15, ttl_max_s: 5}\n";
  Text += "platform: {address: \"" + Network_ +
          "200:28142\", form: \"kv\", writesPerS: 1200, readsPerS: 6000, "
          "historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}\n";
  return Text;
}

pid_t World::spawn(const std::vector<std::string> &Arguments,
                   const std::vector<std::string> &Environment,
                   const std::string &Log) const {
  std::vector<char *> Words;
  Words.reserve(Arguments.size() + 1);
  for (const std::string &Word : Arguments)
    Words.push_back(const_cast<char *>(Word.c_str()));
  Words.push_back(nullptr);
  std::vector<char *> Variables;
  for (char **Each = environ; *Each != nullptr; ++Each)
    Variables.push_back(*Each);
  for (const std::string &Each : Environment)
    Variables.push_back(const_cast<char *>(Each.c_str()));
  Variables.push_back(nullptr);
  std::string File = (Folder_ / Log).string();
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  constexpr mode_t Mode = 0644;
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, File.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, Mode);
  pid_t Process = 0;
  int Error = posix_spawn(&Process, Words[0], &Actions, nullptr, Words.data(),
                          Variables.data());
  posix_spawn_file_actions_destroy(&Actions);
  if (Error != 0)
    throw std::runtime_error(Arguments[0] + " cannot be started");
  return Process;
}

void World::startHost(std::size_t Index) {
  std::filesystem::path File =
      Folder_ / ("host-" + std::to_string(Index) + ".yaml");
  std::ofstream(File) << settingsOf(Index);
  Hosts_[Index] = spawn({Gateway}, {"CELERYBEAM_CONFIG=" + File.string()},
                        "host-" + std::to_string(Index) + ".log");
}

void World::killHost(std::size_t Index) {
  ::kill(Hosts_.at(Index), SIGKILL);
  ::waitpid(Hosts_.at(Index), nullptr, 0);
  Hosts_.erase(Index);
}

void World::addRunner(const std::string &Service, std::size_t PlaceIndex) {
  auto R = std::make_unique<Runner>();
  R->Service = Service;
  R->PlaceIndex = PlaceIndex;
  R->Ip = Network_ + std::to_string(100 + Runners_.size());
  startRunner(*R);
  Runners_.push_back(std::move(R));
}

void World::startRunner(Runner &R) {
  R.Id = "i-" + std::to_string(1000 + ++LastRunner_);
  R.Sequence = 0;
  R.Process =
      spawn({Program_, "runner", R.Ip + ":" + std::to_string(RunnerPort), R.Id,
             std::to_string(RunnerSlots)},
            {}, "runs.txt");
}

void World::beat() {
  for (const auto &R : Runners_) {
    if (R->Process == 0)
      continue;
    json Entry = {{"backend", R->Service},
                  {"address", R->Ip + ":" + std::to_string(RunnerPort)},
                  {"zone", Places_[R->PlaceIndex].Zone},
                  {"version", "v1"},
                  {"slots", RunnerSlots},
                  {"state", "ready"},
                  {"coldRemainingMs", 0},
                  {"sequence", ++R->Sequence}};
    Store_->put("servers/" + R->Id, Entry.dump());
  }
  Time.After(Heartbeat, [this] { beat(); });
}

void World::reap() {
  for (const auto &R : Runners_) {
    if (R->Process != 0 && ::waitpid(R->Process, nullptr, WNOHANG) != 0) {
      R->Process = 0;
      R->EndedAt = Time.Now();
      note("runner " + R->Id + " has ended");
      Time.After(3 * Heartbeat,
                 [this, Id = R->Id] { Store_->remove("servers/" + Id); });
    }
    if (R->Process == 0 && Time.Now() - R->EndedAt >= RunnerRestart) {
      startRunner(*R);
      note("runner " + R->Id + " has started at the same address");
    }
  }
  Time.After(ReapInterval, [this] { reap(); });
}

void World::call(std::size_t HostIndex, const std::string &Method,
                 const std::string &HostName, const std::string &Target,
                 HttpFields Fields, const std::string &What) {
  char Text[24];
  std::snprintf(Text, sizeof Text, "%016llx",
                static_cast<unsigned long long>(0x5eed000000ULL + ++LastCall_));
  std::string Id = Text;
  CallRecord &C = Calls_[Id];
  C.Id = Id;
  C.What = What;
  C.Sent = Time.Now();
  HttpCallRequest Call;
  Call.To =
      Address(Places_[HostIndex].HostIp + ":" + std::to_string(FrontPort));
  Call.Head = {Method, Target, {{"Host", HostName}}};
  for (HttpField &Field : Fields)
    Call.Head.Fields.push_back(std::move(Field));
  Call.Head.Fields.push_back({"X-Attempt-Id", Id});
  Call.Head.Fields.push_back(
      {"X-Deadline-Ms",
       std::to_string(Patience / std::chrono::milliseconds(1))});
  Call.Timeout = Patience;
  HttpCallHooks Hooks;
  Hooks.Head = [&C](const HttpResponseHead &Head) {
    C.Status = Head.Status;
    return HeadVerdict::Accept;
  };
  Hooks.End = [this, &C](HttpCallEnd End) {
    C.Ended = Time.Now();
    C.Whole = End == HttpCallEnd::Complete;
  };
  Caller_.call(std::move(Call), std::move(Hooks));
}

void World::askReady(std::size_t Index, std::function<void(bool)> Then) {
  HttpCallRequest Call;
  Call.To = Address(Places_[Index].HostIp + ":" + std::to_string(ReadyPort));
  Call.Head = {"GET", "/-/ready", {{"Host", Places_[Index].HostIp}}};
  Call.Timeout = std::chrono::seconds(1);
  auto Ready = std::make_shared<bool>(false);
  HttpCallHooks Hooks;
  Hooks.Head = [Ready](const HttpResponseHead &Head) {
    constexpr unsigned Ok = 200;
    *Ready = Head.Status == Ok;
    return HeadVerdict::Accept;
  };
  Hooks.End = [Ready, Then = std::move(Then)](HttpCallEnd) { Then(*Ready); };
  Caller_.call(std::move(Call), std::move(Hooks));
}

void World::whenReady(const std::function<void()> &Then) {
  pollReady(Then, MostReadyPolls);
}

void World::pollReady(const std::function<void()> &Then, unsigned Polls) {
  if (Polls == 0)
    throw std::runtime_error("the hosts are not ready");
  auto Left = std::make_shared<std::size_t>(Hosts_.size());
  auto AllReady = std::make_shared<bool>(true);
  for (const auto &[Index, Process] : Hosts_)
    askReady(Index, [this, Then, Polls, Left, AllReady](bool Ready) {
      *AllReady = *AllReady && Ready;
      if (--*Left > 0)
        return;
      if (*AllReady)
        return Then();
      Time.After(ReadyPoll,
                 [this, Then, Polls] { pollReady(Then, Polls - 1); });
    });
}

std::map<std::string, CallRecord> &World::results() {
  std::ifstream In(Folder_ / "runs.txt");
  std::string Word;
  std::string Id;
  std::int64_t At = 0;
  for (auto &[Each, C] : Calls_)
    C.Runs.clear();
  while (In >> Word >> Id >> At) {
    auto Found = Calls_.find(Id);
    if (Found == Calls_.end())
      UnknownRuns_.insert(Id);
    else
      Found->second.Runs.push_back(TimePoint(Duration(At)));
  }
  return Calls_;
}

std::string World::since(TimePoint At) const {
  char Text[24];
  std::snprintf(Text, sizeof Text, "%8.3f",
                std::chrono::duration<double>(At - StartedAt_).count());
  return Text;
}

void World::note(const std::string &Line) {
  Record << since(Time.Now()) << " s  " << Line << std::endl;
}

void World::writeCalls() {
  Record
      << "Calls: id, what, sent at s, ended at s, status (0: none), runs at s"
      << std::endl;
  for (const auto &[Id, C] : results()) {
    Record << Id << " " << C.What << since(C.Sent) << since(C.Ended) << " "
           << C.Status;
    for (TimePoint Run : C.Runs)
      Record << since(Run);
    Record << "\n";
  }
  Record.flush();
}

} // namespace review
