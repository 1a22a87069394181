#include "world.h"

#include <csignal>
#include <cstdlib>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>

#include "relay/internal/beast.h"
#include "relay/internal/sockets.h"

extern char **environ;

namespace celerybeam::review {

namespace {

namespace iterators = boost::archive::iterators;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using detail::ErrorCode;
using detail::Tcp;

constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;
constexpr unsigned HistoryGone = 410;
constexpr unsigned ConditionFailed = 412;
constexpr unsigned Unavailable = 503;
constexpr int CallerPort = 28144;
constexpr int ReadyPort = 28140;
constexpr int DirectoryPort = 28143;
constexpr unsigned SlotsOfApp = 6;
/// What an answer of the store takes.
constexpr Duration StoreTime = std::chrono::milliseconds(4);

std::string encode(const std::string &Bytes) {
  using Encoder = iterators::base64_from_binary<
      iterators::transform_width<std::string::const_iterator, 6, 8>>;
  std::string Text(Encoder(Bytes.begin()), Encoder(Bytes.end()));
  return Text.append((3 - Bytes.size() % 3) % 3, '=');
}

std::string decode(std::string Text) {
  using Decoder = iterators::transform_width<
      iterators::binary_from_base64<std::string::const_iterator>, 8, 6>;
  while (!Text.empty() && Text.back() == '=')
    Text.pop_back();
  return {Decoder(Text.begin()), Decoder(Text.end())};
}

/// A field of the query. The keys of these tests need no percent-decoding.
std::string query(const std::string &Target, const std::string &Name) {
  auto At = Target.find(Name + "=");
  if (At == std::string::npos)
    return {};
  At += Name.size() + 1;
  return Target.substr(At, Target.find('&', At) - At);
}

std::string settingsOf(const Gateway &G, const std::string &StoreAddress,
                       const std::vector<std::string> &Seeds) {
  auto Listen = [&](const char *Name, int Port) {
    return std::string("  ") + Name + ": \"" + G.ip() + ":" +
           std::to_string(Port) + "\"\n";
  };
  std::string Text =
      "nodeName: \"" + G.name() +
      "\"\nrole: \"entry\"\nmachineClass: \"front\"\nserves: [\"front\", "
      "\"control\", \"directory\"]\nip: \"" +
      G.ip() + "\"\nzone: \"" + G.region() + "-a\"\nregion: \"" + G.region() +
      "\"\nzones: {north-a: north, south-a: south, west-a: west}\n"
      "limits: {cpuShare: 0.17, cores: 1, memoryMb: 182, maxFds: 2870, "
      "linkMbps: 700.0, diskMb: 0}\nlisten:\n" +
      Listen("front", CallerPort) + Listen("ready", ReadyPort) +
      Listen("directory", DirectoryPort) + Listen("control", 28146) +
      "internalPorts: [28160, 28175]\nbootstrap: true\nheartbeatMs: 1200\n"
      "seeds: [";
  for (const std::string &Seed : Seeds)
    Text += "\"" + Seed + ":28146\", ";
  return Text +
         "]\nbounds: {seedLagS: 3, reuseAfterS: 2, stableWindowMs: 5000, "
         "ackMs: 6000, drainMs: 3000, graceS: 8, lossSlackMs: 200, "
         "configDeadlineMs: 3000, rollbackSlackMs: 250, maxSkewMs: 8000, "
         "retryBudgetRatio: 0.2, budgetWindowS: 10, retryBudgetSlack: 116, "
         "evacuateMs: 5000, ttl_max_s: 5}\nplatform: {address: \"" +
         StoreAddress +
         "\", form: kv, writesPerS: 400, readsPerS: 2000, historyS: 20, "
         "valueBytes: 1048576, ttlMinMs: 1000}\n";
}

/// One call of a client.
class Caller : public std::enable_shared_from_this<Caller> {
public:
  Caller(EventLoop &Loop, std::string Bytes,
         std::function<void(const Reply &)> Done)
      : Loop_(Loop), Socket_(Loop.context()), Bytes_(std::move(Bytes)),
        Done_(std::move(Done)) {}

  void start(const std::string &To, Duration Timeout) {
    auto Self = shared_from_this();
    Loop_.after(Timeout, [Self] { Self->end({}); });
    Socket_.async_connect(*detail::parseEndpoint(Address(To)),
                          [Self](ErrorCode Error) {
                            if (Error)
                              return Self->end({});
                            Self->write();
                          });
  }

private:
  void write() {
    auto Self = shared_from_this();
    asio::async_write(Socket_, asio::buffer(Bytes_),
                      [Self](ErrorCode Error, std::size_t) {
                        if (Error)
                          Self->end({});
                      });
    Parser_.body_limit(std::uint64_t{64} << 20U);
    http::async_read(
        Socket_, Buffer_, Parser_, [Self](ErrorCode Error, std::size_t) {
          if (Error)
            return Self->end({});
          const auto &Got = Self->Parser_.get();
          Self->end({true, Got.result_int(),
                     std::string(Got["X-Response-Stamp"]), Got.body()});
        });
  }

  void end(const Reply &R) {
    if (std::exchange(Ended_, true))
      return;
    ErrorCode Ignored;
    Socket_.close(Ignored);
    auto Done = std::move(Done_);
    Done(R);
  }

  EventLoop &Loop_;
  Tcp::socket Socket_;
  std::string Bytes_;
  std::function<void(const Reply &)> Done_;
  boost::beast::flat_buffer Buffer_;
  http::response_parser<http::string_body> Parser_;
  bool Ended_ = false;
};

} // namespace

Record::Record(const std::string &Path)
    : Out_(Path), Start_(std::chrono::steady_clock::now()) {}

std::int64_t Record::millis() const {
  return (std::chrono::steady_clock::now() - Start_) /
         std::chrono::milliseconds(1);
}

void Record::add(const std::string &Line) {
  Out_ << millis() << " ms  " << Line << std::endl;
}

Store::Store(EventLoop &Loop, const std::string &Ip)
    : Time_(Loop.runtime()),
      Server_(Loop, [this](const HttpServerRequest &Request,
                           const std::shared_ptr<HttpExchange> &Answer) {
        Time_.After(StoreTime,
                    [this, Request, Answer] { serve(Request, Answer); });
      }) {
  if (auto Opened = Server_.listen(Address(Ip + ":0")); !Opened)
    throw std::runtime_error(Opened.error().Message);
}

void Store::takeCopy() { Copy_ = Now_; }

void Store::goAway() {
  Away_ = true;
  for (const Watcher &W : Watchers_)
    respond(*W.Answer, Unavailable, json::object());
  Watchers_.clear();
}

void Store::comeBack(bool Older) {
  Away_ = false;
  if (!Older)
    return;
  Now_ = Copy_;
  ++Era_;
}

void Store::respond(HttpExchange &Answer, unsigned Status,
                    const json &Body) const {
  Answer.respond({Status,
                  {{"Content-Type", "application/json"},
                   {"Store-Era", std::to_string(Era_)}}},
                 Body.dump());
}

void Store::put(const std::string &Key, const std::string &Value) {
  change(Key, {Value, ++Now_.Revision, 0, false});
}

void Store::remove(const std::string &Key) {
  if (Now_.Items.contains(Key))
    change(Key, {"", ++Now_.Revision, 0, true});
}

void Store::change(const std::string &Key, Item What) {
  Now_.History.emplace_back(Key, What);
  if (What.Removed)
    Now_.Items.erase(Key);
  else
    Now_.Items[Key] = std::move(What);
  std::erase_if(Watchers_,
                [this](const Watcher &W) { return answerWatcher(W, false); });
}

void Store::serve(const HttpServerRequest &Request,
                  const std::shared_ptr<HttpExchange> &Answer) {
  const std::string &Target = Request.Head.Target;
  if (Away_)
    return respond(*Answer, Unavailable, json::object());
  auto LeaseOf = [&](const std::string &Path) {
    return std::stoull(Target.substr(Path.size()));
  };
  if (Target.starts_with("/-/kv-range"))
    return range(Target, *Answer);
  if (Target.starts_with("/-/kv-watch"))
    return watch(Target, Answer);
  if (Target.starts_with("/-/kv-txn"))
    return transact(*Request.Body, *Answer);
  if (Target == "/-/kv-lease") {
    Now_.Leases.insert(++LastLease_);
    return respond(*Answer, Ok,
                   {{"lease", LastLease_},
                    {"ttlMs", json::parse(*Request.Body).at("ttlMs")}});
  }
  if (Target.starts_with("/-/kv-keep/"))
    return respond(*Answer,
                   Now_.Leases.contains(LeaseOf("/-/kv-keep/")) ? Ok : NotFound,
                   json::object());
  if (Target.starts_with("/-/kv-lease-end/"))
    return endLease(LeaseOf("/-/kv-lease-end/"), *Answer);
  respond(*Answer, NotFound, json::object());
}

void Store::range(const std::string &Target, HttpExchange &Answer) {
  std::string Prefix = query(Target, "pathPrefix");
  json Items = json::array();
  for (const auto &[Key, What] : Now_.Items)
    if (Key.starts_with(Prefix))
      Items.push_back({{"key", Key},
                       {"value", encode(What.Value)},
                       {"revision", What.At},
                       {"createdRev", What.At},
                       {"lease", What.Lease}});
  respond(Answer, Ok,
          {{"items", Items}, {"morePages", false}, {"asOf", Now_.Revision}});
}

void Store::watch(const std::string &Target,
                  const std::shared_ptr<HttpExchange> &Answer) {
  Watcher W{query(Target, "pathPrefix"), std::stoull(query(Target, "after")),
            Answer};
  if (W.After > Now_.Revision)
    return respond(*Answer, HistoryGone, json::object());
  if (answerWatcher(W, false))
    return;
  Watchers_.push_back(W);
  Answer->onDisconnect([this, Answer] {
    std::erase_if(Watchers_,
                  [&](const Watcher &Each) { return Each.Answer == Answer; });
  });
  std::chrono::milliseconds Wait(std::stoul(query(Target, "waitMs")));
  Time_.After(Wait, [this, Answer] {
    std::erase_if(Watchers_, [&](const Watcher &Each) {
      return Each.Answer == Answer && answerWatcher(Each, true);
    });
  });
}

bool Store::answerWatcher(const Watcher &W, bool Always) {
  json Events = json::array();
  for (const auto &[Key, What] : Now_.History) {
    if (What.At <= W.After || !Key.starts_with(W.Prefix))
      continue;
    json Event = {{"key", Key}, {"revision", What.At}};
    if (What.Removed)
      Event["removed"] = true;
    else
      Event["value"] = encode(What.Value);
    Events.push_back(Event);
  }
  if (Events.empty() && !Always)
    return false;
  respond(*W.Answer, Ok, {{"events", Events}, {"asOf", Now_.Revision}});
  return true;
}

void Store::transact(const std::string &Body, HttpExchange &Answer) {
  json Call = json::parse(Body);
  for (const json &Row : Call.at("expected")) {
    auto Found = Now_.Items.find(Row.at("key"));
    std::uint64_t At = Found == Now_.Items.end() ? 0 : Found->second.At;
    if (At != Row.at("revision").get<std::uint64_t>())
      return respond(Answer, ConditionFailed, {{"items", json::array()}});
  }
  for (const json &Row : Call.at("setKeys"))
    if (auto Lease = Row.value("lease", 0U);
        Lease != 0 && !Now_.Leases.contains(Lease))
      return respond(Answer, NotFound, json::object());
  for (const json &Row : Call.at("setKeys"))
    change(Row.at("key"), {decode(Row.at("value")), ++Now_.Revision,
                           Row.value("lease", 0U), false});
  for (const json &Key : Call.at("remove"))
    remove(Key);
  respond(Answer, Ok, {{"revision", Now_.Revision}});
}

void Store::endLease(std::uint64_t Lease, HttpExchange &Answer) {
  bool Known = Now_.Leases.erase(Lease) > 0;
  std::vector<std::string> Keys;
  for (const auto &[Key, What] : Now_.Items)
    if (What.Lease == Lease)
      Keys.push_back(Key);
  for (const std::string &Key : Keys)
    remove(Key);
  respond(Answer, Known ? Ok : NotFound, json::object());
}

Gateway::Gateway(std::string Name, std::string Ip, std::string Region,
                 const std::string &StoreAddress,
                 const std::vector<std::string> &Seeds,
                 const std::string &Folder)
    : Name_(std::move(Name)), Ip_(std::move(Ip)), Region_(std::move(Region)) {
  std::string Settings = Folder + "/" + Name_ + ".yaml";
  std::string Log = Folder + "/" + Name_ + ".log";
  std::ofstream(Settings) << settingsOf(*this, StoreAddress, Seeds);
  const char *Program = std::getenv("CELERYBEAM_GATEWAY");
  if (Program == nullptr)
    throw std::runtime_error("CELERYBEAM_GATEWAY names no program");
  std::string Path = Program;
  std::string Flag = "--config";
  char *Arguments[] = {Path.data(), Flag.data(), Settings.data(), nullptr};
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  constexpr mode_t LogMode = 0644;
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, LogMode);
  int Failed =
      posix_spawn(&Process_, Program, &Actions, nullptr, Arguments, environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Failed != 0)
    throw std::runtime_error(Path + " cannot be started");
}

Gateway::~Gateway() {
  if (hasEnded())
    return;
  signal(SIGKILL);
  waitpid(Process_, nullptr, 0);
}

void Gateway::signal(int Number) const {
  // The number of a process that was waited for may belong to another one.
  if (!Ended_)
    ::kill(Process_, Number);
}

bool Gateway::hasEnded() {
  if (!Ended_)
    Ended_ = waitpid(Process_, nullptr, WNOHANG) == Process_;
  return Ended_;
}

std::string Gateway::callers() const {
  return Ip_ + ":" + std::to_string(CallerPort);
}

std::string Gateway::ready() const {
  return Ip_ + ":" + std::to_string(ReadyPort);
}

void call(EventLoop &Loop, const std::string &Address, const std::string &Bytes,
          Duration Timeout, std::function<void(const Reply &)> Done) {
  std::make_shared<Caller>(Loop, Bytes, std::move(Done))
      ->start(Address, Timeout);
}

AppServer::AppServer(EventLoop &Loop, Store &Platform, std::string Id,
                     std::string Service, const std::string &Region,
                     const std::string &Ip, RunHook Begin)
    : Loop_(Loop), Id_(std::move(Id)), Service_(std::move(Service)),
      Begin_(std::move(Begin)),
      Server_(Loop, [this](const HttpServerRequest &Request,
                           const std::shared_ptr<HttpExchange> &Answer) {
        serve(Request, Answer);
      }) {
  if (!Server_.listen(Address(Ip + ":0")))
    throw std::runtime_error("no port for a server");
  json Entry = {{"backend", Service_},   {"address", Server_.address().str()},
                {"zone", Region + "-a"}, {"version", 1},
                {"slots", SlotsOfApp},   {"state", "ready"},
                {"coldRemainingMs", 0},  {"sequence", 1},
                {"born", 1700000000000}};
  Platform.put("servers/" + Id_, Entry.dump());
}

void AppServer::serve(const HttpServerRequest &Request,
                      const std::shared_ptr<HttpExchange> &Answer) {
  constexpr unsigned Misdirected = 421;
  const HttpFields &Fields = Request.Head.Fields;
  std::string Id(findField(Fields, "X-Attempt-Id").value_or(""));
  std::string Load =
      std::to_string(Busy_) + ",0," + std::to_string(SlotsOfApp) + ",100";
  if (Request.Head.Target == "/healthz")
    return Answer->respond(
        {Ok, {{"X-Instance-Id", Id_}, {"X-Server-Load", Load}}}, "");
  auto Refuse = [&](unsigned Status) {
    Answer->respond({Status, {{"X-Attempt-Id", Id}, {"X-Not-Executed", "1"}}},
                    "");
  };
  if (findField(Fields, "X-Expect-Instance") != Id_)
    return Refuse(Misdirected);
  if (Busy_ >= SlotsOfApp)
    return Refuse(Unavailable);
  ++Busy_;
  Run Own = Begin_(Id);
  // It drops a request when its connection closes.
  auto Holds = std::make_shared<bool>(true);
  auto Release = [this, Holds] {
    Busy_ -= std::exchange(*Holds, false) ? 1 : 0;
  };
  Answer->onDisconnect(Release);
  Loop_.after(Own.Takes, [this, Id, Answer, Holds, Release, Own] {
    if (!*Holds)
      return;
    Release();
    Answer->respond({Own.Status,
                     {{"X-Attempt-Id", Id},
                      {"X-Response-Stamp", Id_ + "." + Id},
                      {"X-Server-Load", "0,0,6,100"}}},
                    Service_ + " has run " + Id);
  });
}

json routeRow(const std::string &Name, const std::string &Prefix,
              const std::string &Kind, const std::string &Service,
              unsigned MaxAttempts) {
  return json::object({{"name", Name},
                       {"hostname", "x.example"},
                       {"pathPrefix", Prefix},
                       {"routeType", Kind},
                       {"timeoutMs", 5000},
                       {"targetLatencyMs", 500},
                       {"priority", 2},
                       {"backend", Service},
                       {"maxAttempts", MaxAttempts},
                       {"homeRegions", json::array()}});
}

json configOf(unsigned Version, const json &Routes,
              const std::vector<std::string> &Services) {
  json Rows = json::array();
  for (const std::string &Name : Services)
    Rows.push_back(json::object({{"name", Name},
                                 {"healthPath", "/healthz"},
                                 {"maxConnections", 214},
                                 {"coldStartS", 0},
                                 {"coldPerS", 0}}));
  json Limits = json::object({{"maxHeaderBytes", 16384},
                              {"maxBodyBytes", 4194304},
                              {"headerTimeoutMs", 3000},
                              {"idleTimeoutMs", 15000}});
  return json::object({{"version", Version},
                       {"routes", Routes},
                       {"services", Rows},
                       {"limits", Limits}});
}

World::World(const std::string &RecordPath, std::string Folder)
    : Log(RecordPath), Platform(Loop, ip(250)), Folder_(std::move(Folder)) {}

std::string World::ip(unsigned Number) const {
  constexpr int Values = 200;
  int Process = static_cast<int>(::getpid());
  return "127." + std::to_string(1 + Process / Values % Values) + "." +
         std::to_string(1 + Process % Values) + "." + std::to_string(Number);
}

Gateway &World::start(const std::string &Name, unsigned Number,
                      const std::string &Region) {
  std::vector<std::string> Seeds = {ip(1), ip(2), ip(3)};
  Gateways.push_back(std::make_unique<Gateway>(
      Name, ip(Number), Region, Platform.address(), Seeds, Folder_));
  return *Gateways.back();
}

void World::runFor(Duration Span) { Loop.context().run_for(Span); }

bool World::runUntil(const std::function<bool()> &Holds, Duration AtMost) {
  constexpr auto Step = std::chrono::milliseconds(10);
  auto Until = std::chrono::steady_clock::now() + AtMost;
  while (!Holds() && std::chrono::steady_clock::now() < Until)
    Loop.context().run_for(Step);
  return Holds();
}

bool World::waitReady() {
  constexpr auto AtMost = std::chrono::seconds(15);
  constexpr auto Pause = std::chrono::milliseconds(100);
  auto Ready = std::make_shared<std::set<std::string>>();
  auto Until = std::chrono::steady_clock::now() + AtMost;
  while (Ready->size() < Gateways.size() &&
         std::chrono::steady_clock::now() < Until) {
    for (const auto &G : Gateways)
      call(Loop, G->ready(), "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n",
           std::chrono::seconds(1), [Ready, Name = G->name()](const Reply &R) {
             if (R.Status == Ok)
               Ready->insert(Name);
           });
    runFor(Pause);
  }
  return Ready->size() == Gateways.size();
}

} // namespace celerybeam::review
