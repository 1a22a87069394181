#include "scenario/scenariorunner.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <nlohmann/json.hpp>

#include "scenario/scenarioparser.h"
#include "scenario/stepvalues.h"

namespace celerybeam::testing {

namespace {

/// How often an expectation with `within` is looked at.
constexpr Duration WithinStep = std::chrono::milliseconds(20);

StepResult fail(const std::string &Why) { return tl::unexpected(Why); }

// "k" and 3 give k1, k2, k3; 0 gives the name itself.
std::vector<std::string> numbered(const std::string &Name, unsigned Count) {
  if (Count == 0)
    return {Name};
  std::vector<std::string> Names;
  for (unsigned I = 1; I <= Count; ++I)
    Names.push_back(Name + std::to_string(I));
  return Names;
}

RequestHead makeHead(const Step &S, const std::string &Method,
                     const std::string &Path) {
  RequestHead Head;
  Head.Method = Method;
  Head.Path = Path;
  Head.Headers.push_back({"authorization", textOf(S, "customer", "customer")});
  const std::pair<const char *, const char *> Fields[] = {
      {"route", "celerybeam-route"},
      {"region", "celerybeam-region"},
      {"class", "celerybeam-class"},
      {"timeout", "request-timeout"}};
  for (const auto &[Name, Field] : Fields)
    if (S.Named.contains(Name))
      Head.Headers.push_back({Field, S.Named.at(Name)});
  return Head;
}

std::string makeBody(const Step &S, const CallRecord &R) {
  nlohmann::json Body = {
      {"model", textOf(S, "model", "cedar@1")},
      {"stream", R.Stream},
      {"max_tokens", R.Tokens},
      {"messages", {{{"role", "user"}, {"content", R.Prompt}}}}};
  return Body.dump();
}

} // namespace

ScenarioRunner::ScenarioRunner(std::uint64_t Seed)
    : World_(std::make_unique<World>(Seed)) {
  Start_ = World_->time().now();
  addSetupVerbs();
  addFaultVerbs();
  addCallVerbs();
  addExpectations();
}

ScenarioRunner::~ScenarioRunner() = default;

tl::expected<void, ScenarioFault> ScenarioRunner::run(const Scenario &Steps) {
  for (const Step &S : Steps) {
    if (S.At && Start_ + *S.At > World_->time().now())
      World_->time().runFor(Start_ + *S.At - World_->time().now());
    World_->note("> " + S.Text);
    StepResult Done = carryOut(S);
    if (!Done)
      return tl::unexpected(ScenarioFault{S.Line, Done.error()});
  }
  std::vector<std::string> Broken = World_->brokenInvariants();
  if (!Broken.empty())
    return tl::unexpected(
        ScenarioFault{Steps.empty() ? 0 : Steps.back().Line, Broken.front()});
  return {};
}

StepResult ScenarioRunner::carryOut(const Step &S) {
  if (S.verb() == "expect")
    return expect(S);
  auto It = Verbs_.find(S.verb());
  if (It == Verbs_.end())
    return fail("no verb \"" + S.verb() + "\"; see docs/SCENARIOS.md");
  return It->second(S);
}

StepResult ScenarioRunner::expect(const Step &S) {
  if (S.Words.size() < 2)
    return fail("say what to expect");
  auto It = Expectations_.find(S.Words[1]);
  const Action &Check =
      It == Expectations_.end() ? Expectations_.at("call") : It->second;
  StepResult Seen = Check(S);
  if (!S.Within)
    return Seen;
  TimePoint Until = World_->time().now() + *S.Within;
  while (!Seen && World_->time().now() < Until) {
    World_->time().runFor(WithinStep);
    Seen = Check(S);
  }
  return Seen;
}

void ScenarioRunner::addSetupVerbs() {
  Verbs_["host"] =
      Verbs_["hosts"] = [this](const Step &S) { return addHosts(S); };
  Verbs_["engine"] = Verbs_["engines"] = [this](const Step &S) {
    return addEndpoints(S, PoolKind::Engine);
  };
  Verbs_["runner"] = Verbs_["runners"] = [this](const Step &S) {
    return addEndpoints(S, PoolKind::Runner);
  };
  Verbs_["service"] = [this](const Step &S) {
    return addEndpoints(S, PoolKind::Service);
  };
  Verbs_["network"] = [this](const Step &S) {
    World_->setRegionLatency(
        durationOf(S, "regions", std::chrono::milliseconds(55)));
    World_->setStoreRegion(textOf(S, "store"));
    World_->setListLag(durationOf(S, "list-lag", std::chrono::seconds(2)));
    return StepResult();
  };
  Verbs_["routes"] = [this](const Step &S) {
    Texts_.Routes = S.Block;
    return StepResult();
  };
  Verbs_["pools"] = [this](const Step &S) {
    Texts_.Pools = S.Block;
    return StepResult();
  };
  Verbs_["add-routes"] = [this](const Step &S) {
    Texts_.Routes += S.Block;
    return StepResult();
  };
  Verbs_["apply"] = [this](const Step &S) { return applyTables(S); };
  Verbs_["start"] = [this](const Step &S) {
    return eachHost(S, [this](const HostId &Id) { World_->startHost(Id); });
  };
  Verbs_["run"] = [this](const Step &S) {
    std::optional<Duration> Span = parseDuration(S.Words.at(1));
    if (!Span)
      return fail("give a duration, as in: run 5s");
    World_->time().runFor(*Span);
    return StepResult();
  };
}

void ScenarioRunner::addFaultVerbs() {
  auto OnHosts = [this](const std::string &Verb,
                        const std::function<void(const HostId &)> &Do) {
    Verbs_[Verb] = [this, Do](const Step &S) { return eachHost(S, Do); };
  };
  OnHosts("kill", [this](const HostId &Id) { World_->crashHost(Id); });
  OnHosts("leave", [this](const HostId &Id) { World_->leaveHost(Id); });
  OnHosts("pause", [this](const HostId &Id) { World_->pauseHost(Id, true); });
  OnHosts("resume", [this](const HostId &Id) { World_->pauseHost(Id, false); });
  auto OnEndpoints = [this](const std::string &Verb,
                            const std::function<void(FakeEndpoint &)> &Do) {
    Verbs_[Verb] = [this, Do](const Step &S) { return eachEndpoint(S, Do); };
  };
  OnEndpoints("crash", [](FakeEndpoint &E) { E.crash(); });
  OnEndpoints("restart", [](FakeEndpoint &E) { E.restart(); });
  OnEndpoints("stall", [](FakeEndpoint &E) { E.setStalled(true); });
  OnEndpoints("unstall", [](FakeEndpoint &E) { E.setStalled(false); });
  OnEndpoints("retire", [](FakeEndpoint &E) { E.setLeaving(true); });
  Verbs_["crash-on"] = [this](const Step &S) {
    return eachEndpoint(
        S, [&](FakeEndpoint &E) { E.setCrashOn(textOf(S, "word", "poison")); });
  };
  Verbs_["crash-at"] = [this](const Step &S) {
    bool After = textOf(S, "point") == "after";
    return eachEndpoint(S, [&](FakeEndpoint &E) {
      E.setCrashPoint(After ? CrashPoint::AfterExecution
                            : CrashPoint::BeforeExecution);
    });
  };
  Verbs_["slow"] = [this](const Step &S) {
    return eachEndpoint(
        S, [&](FakeEndpoint &E) { E.setSlowFactor(numberOf(S, "factor", 5)); });
  };
  Verbs_["delist"] = [this](const Step &S) {
    return eachEndpoint(S, [&](FakeEndpoint &E) {
      World_->setEndpointLeaving(E.options().Descriptor.Id, true);
    });
  };
  Verbs_["silence"] = [this](const Step &S) {
    FakeEndpoint *E = World_->endpoint(EndpointId(S.Words.at(2)));
    if (!E)
      return fail("no endpoint " + S.Words[2]);
    E->silence(HostId(S.Words[1]));
    return StepResult();
  };
  Verbs_["partition"] = [this](const Step &S) {
    World_->cut(S.Words.at(1), S.Words.size() > 2 ? S.Words[2] : "*");
    return StepResult();
  };
  Verbs_["heal"] = [this](const Step &) {
    World_->healAll();
    return StepResult();
  };
  Verbs_["store"] = [this](const Step &S) {
    World_->store().setDown(S.Words.at(1) == "down");
    return StepResult();
  };
  Verbs_["lose"] = [this](const Step &S) { return loseMessages(S); };
}

StepResult ScenarioRunner::loseMessages(const Step &S) {
  const std::string &What = S.Words.at(1);
  auto Left = std::make_shared<int>(static_cast<int>(numberOf(S, "count", 1)));
  if (What == "store-reply" || What == "store-request") {
    StoreFault Fault =
        What == "store-reply" ? StoreFault::LoseReply : StoreFault::LoseRequest;
    World_->store().PickFault = [Left, Fault] {
      return (*Left)-- > 0 ? Fault : StoreFault::None;
    };
    return {};
  }
  if (What != "messages")
    return fail("lose messages, store-reply or store-request");
  double Share = numberOf(S, "share", 0.1);
  World_->PickFault = [this, Share](const messages::Envelope &) {
    constexpr double Scale = 1e6;
    bool Lose =
        static_cast<double>(World_->time().random() % 1000000) < Share * Scale;
    return Lose ? MessageFault::Lose : MessageFault::None;
  };
  return {};
}

StepResult
ScenarioRunner::eachHost(const Step &S,
                         const std::function<void(const HostId &)> &Do) {
  if (S.Words.size() < 2)
    return fail("name a host, a zone, a region or \"all\"");
  bool Any = false;
  for (const HostId &Id : World_->hostIds()) {
    bool Named = false;
    for (std::size_t I = 1; I < S.Words.size(); ++I)
      Named = Named || World_->isIn(Id, S.Words[I]);
    if (!Named)
      continue;
    Any = true;
    Do(Id);
  }
  return Any ? StepResult() : fail("no host is meant by this line");
}

StepResult
ScenarioRunner::eachEndpoint(const Step &S,
                             const std::function<void(FakeEndpoint &)> &Do) {
  for (std::size_t I = 1; I < S.Words.size(); ++I) {
    if (S.Words[I] == "all") {
      for (FakeEndpoint *E : World_->endpoints())
        Do(*E);
      continue;
    }
    FakeEndpoint *E = World_->endpoint(EndpointId(S.Words[I]));
    if (!E)
      return fail("no endpoint " + S.Words[I]);
    Do(*E);
  }
  return {};
}

StepResult ScenarioRunner::addHosts(const Step &S) {
  auto Count = static_cast<unsigned>(numberOf(S, "count", 0));
  for (const std::string &Name : numbered(S.Words.at(1), Count)) {
    HostIdentity Self;
    Self.Id = HostId(Name);
    Self.Region = RegionId(textOf(S, "region"));
    Self.Zone = ZoneId(textOf(S, "zone", textOf(S, "region") + "-a"));
    Self.CallerAddress = Address("caller-" + Name);
    Self.PeerAddress = Address("peer-" + Name);
    World_->addHost(Self);
  }
  return {};
}

StepResult ScenarioRunner::addEndpoints(const Step &S, PoolKind Kind) {
  auto Count = static_cast<unsigned>(numberOf(S, "count", 0));
  for (const std::string &Name : numbered(S.Words.at(1), Count)) {
    FakeEndpointOptions Options;
    EndpointDescriptor &D = Options.Descriptor;
    D.Id = EndpointId(Name);
    D.Where = Address("endpoint-" + Name);
    D.Region = RegionId(textOf(S, "region"));
    D.Zone = ZoneId(textOf(S, "zone", textOf(S, "region") + "-a"));
    D.Kind = Kind;
    D.Label = textOf(S, "label");
    D.Slots = static_cast<std::uint32_t>(numberOf(S, "slots", 4));
    Options.FirstToken = durationOf(S, "first", Options.FirstToken);
    Options.TokenGap = durationOf(S, "gap", Options.TokenGap);
    Options.Work = durationOf(S, "work", Options.Work);
    Options.ReportLag = durationOf(S, "lag", Options.ReportLag);
    if (Kind == PoolKind::Engine && textOf(S, "model") != "none")
      Options.Loaded.push_back(ModelName(textOf(S, "model", "cedar@1")));
    std::string Checks = textOf(S, "checks", "none");
    Options.Checks = Checks == "key"       ? RunnerCheck::Key
                     : Checks == "fencing" ? RunnerCheck::Fencing
                                           : RunnerCheck::None;
    World_->addEndpoint(std::move(Options));
  }
  return {};
}

StepResult ScenarioRunner::applyTables(const Step &S) {
  if (S.Words.size() < 2)
    return fail("name the change, as in: apply first");
  World_->apply(S.Words[1], Texts_);
  return {};
}

void ScenarioRunner::addCallVerbs() {
  Verbs_["request"] = [this](const Step &S) { return sendRequest(S); };
  Verbs_["book"] = [this](const Step &S) { return sendBooking(S); };
  Verbs_["load"] = [this](const Step &S) { return startLoad(S); };
  Verbs_["query"] = [this](const Step &S) {
    World_->queryBooking(S.Words.at(1), HostId(textOf(S, "via")));
    return StepResult();
  };
  Verbs_["hang-up"] = [this](const Step &S) {
    World_->callerGone(S.Words.at(1));
    return StepResult();
  };
  Verbs_["mark"] = [this](const Step &S) {
    for (FakeEndpoint *E : World_->endpoints())
      Marks_[S.Words.at(1)][E->options().Descriptor.Id] = E->arrivals();
    return StepResult();
  };
}

StepResult ScenarioRunner::sendRequest(const Step &S) {
  CallRecord R;
  R.Name = S.Words.at(1);
  R.Load = textOf(S, "load");
  R.Via = HostId(textOf(S, "via"));
  R.Tokens = static_cast<std::uint64_t>(numberOf(S, "tokens", 16));
  R.Stream = textOf(S, "stream", "yes") == "yes";
  R.Long = textOf(S, "class") == "long";
  R.Prompt = textOf(S, "prompt", "question " + R.Name);
  if (S.Named.contains("home"))
    R.Prompt += " [home=" + S.Named.at("home") + "]";
  std::string Body = makeBody(S, R);
  World_->request(std::move(R), makeHead(S, "POST", "/v1/chat/completions"),
                  std::move(Body));
  return {};
}

StepResult ScenarioRunner::sendBooking(const Step &S) {
  CallRecord R;
  R.Name = S.Words.at(1);
  R.Via = HostId(textOf(S, "via"));
  std::string KeyName = textOf(S, "key", R.Name);
  if (!Keys_.contains(KeyName))
    Keys_[KeyName] = Uuid7::generate(World_->time().runtime()).str();
  R.Key = Keys_[KeyName];
  RequestHead Head =
      makeHead(S, "POST", "/services/" + textOf(S, "route") + "/book");
  Head.Headers.push_back({"idempotency-key", R.Key});
  Head.Headers.push_back({"content-type", "application/json"});
  std::string Body = textOf(S, "payload", "{}");
  World_->request(std::move(R), Head, std::move(Body));
  return {};
}

StepResult ScenarioRunner::startLoad(const Step &S) {
  TimePoint Until =
      World_->time().now() + durationOf(S, "for", std::chrono::seconds(10));
  loadArrival(S, S.Words.at(1), 0, Until);
  return {};
}

void ScenarioRunner::loadArrival(const Step &S, const std::string &Name,
                                 unsigned Index, TimePoint Until) {
  constexpr double Scale = 4294967296.0;
  double Uniform =
      (static_cast<double>(World_->time().random() >> 32U) + 1) / Scale;
  auto Gap = Duration(static_cast<Duration::rep>(-std::log(Uniform) * 1e6 /
                                                 numberOf(S, "rate", 1)));
  World_->time().after(Gap, [this, S, Name, Index, Until] {
    if (World_->time().now() >= Until)
      return;
    Step One = S;
    One.Words = {"request", Name + "-" + std::to_string(Index)};
    One.Named["load"] = Name;
    std::vector<HostId> Doors;
    for (const HostId &Id : World_->hostIds())
      if (World_->running(Id) && World_->isIn(Id, textOf(S, "via", "all")))
        Doors.push_back(Id);
    if (!Doors.empty()) {
      One.Named["via"] = Doors[World_->time().random() % Doors.size()].str();
      sendRequest(One);
    }
    loadArrival(S, Name, Index + 1, Until);
  });
}

} // namespace celerybeam::testing
