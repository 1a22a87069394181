#include "soak/soakfaults.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace celerybeam::testing {

namespace {

using Mode = FaultProxy::Mode;

constexpr std::array HarmfulModes = {Mode::Delay, Mode::LoseToTarget,
                                     Mode::LoseFromTarget, Mode::Silence,
                                     Mode::Refuse};
/// From an entry that says that an endpoint leaves to its end.
constexpr Duration DrainTime = std::chrono::milliseconds(1500);
constexpr Duration EndpointRestart = std::chrono::milliseconds(700);
/// A pause may be shorter than its time-out by this: both fall due closely.
constexpr Duration Below = std::chrono::milliseconds(50);
/// From hanging connects to the pause; within the time that a connect may take.
constexpr Duration MostLead = std::chrono::milliseconds(250);
/// Between the pauses of a series.
constexpr Duration MostGap = std::chrono::milliseconds(700);

} // namespace

SoakFaults::SoakFaults(SoakWorld &World, std::uint64_t Seed)
    : World_(World), Random_(Seed), PauseRandom_(~Seed),
      CustomerRandom_(Seed * 7 + 3), Time_(World.Loop.runtime()) {}

void SoakFaults::start(Duration Length) {
  Until_ = Time_.Now() + Length;
  next();
  if (World_.namesCustomers()) {
    changeCustomers();
    later(draw(Length / 2, CustomerRandom_), [this] { cutOffStore(); });
  }
  if (World_.rough())
    pauseSeries();
}

void SoakFaults::cutOffStore() {
  note("cut all hosts off from the store");
  for (SoakHost &Host : World_.Hosts)
    Host.ToStore->setMode(Mode::Silence);
  later(KeyOutage, [this] {
    for (SoakHost &Host : World_.Hosts)
      Host.ToStore->setMode(Mode::Pass);
  });
}

void SoakFaults::changeCustomers() {
  if (Time_.Now() >= Until_)
    return;
  note("change customers");
  World_.changeCustomers();
  later(draw(2 * LongestGap, CustomerRandom_), [this] { changeCustomers(); });
}

void SoakFaults::later(Duration After, std::function<void()> Work) {
  Time_.After(After, std::move(Work));
}

Duration SoakFaults::draw(Duration Most, std::mt19937_64 &Random) {
  return Duration(static_cast<Duration::rep>(
      Random() % static_cast<std::uint64_t>(Most.count())));
}

SoakHost &SoakFaults::anyHost() {
  return World_.Hosts[Random_() % World_.Hosts.size()];
}

SoakEndpoint &SoakFaults::anyEndpoint() {
  return World_.Endpoints[Random_() % World_.Endpoints.size()];
}

void SoakFaults::note(const std::string &What) {
  auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      Until_ - Time_.Now());
  Done_.push_back(std::to_string(-Left.count()) + " ms " + What);
}

void SoakFaults::next() {
  static constexpr std::array<Kind, 15> Kinds = {{
      {"kill", &SoakFaults::killHost},
      {"kill all", &SoakFaults::killAllHosts},
      {"stop", &SoakFaults::stopHost},
      {"freeze", &SoakFaults::freezeHost},
      {"reload", &SoakFaults::reloadHost},
      {"kill endpoint", &SoakFaults::killEndpoint},
      {"freeze endpoint", &SoakFaults::freezeEndpoint},
      {"drain endpoint", &SoakFaults::drainEndpoint},
      {"harm way to endpoint", &SoakFaults::harmWayToEndpoint},
      {"break ways to endpoint", &SoakFaults::breakWaysToEndpoint},
      {"harm way to store", &SoakFaults::harmWayToStore},
      {"stop store", &SoakFaults::stopStore},
      {"forget history", &SoakFaults::forgetHistory},
      {"change tables", &SoakFaults::changeTables},
      {"evacuate", &SoakFaults::evacuate},
  }};
  if (Time_.Now() >= Until_)
    return;
  const Kind &K = Kinds[Random_() % Kinds.size()];
  note(K.Name);
  (this->*K.Inject)();
  later(draw(LongestGap), [this] { next(); });
}

void SoakFaults::killHost() { anyHost().Process->signal(SIGKILL); }

void SoakFaults::killAllHosts() {
  for (SoakHost &Host : World_.Hosts)
    Host.Process->signal(SIGKILL);
}

void SoakFaults::stopHost() { anyHost().Process->signal(SIGTERM); }

void SoakFaults::freezeHost() {
  SoakHost &Host = anyHost();
  Host.pause(Time_.Now());
  later(draw(LongestFault), [this, &Host] { Host.resume(Time_.Now()); });
}

void SoakFaults::reloadHost() { anyHost().Process->signal(SIGHUP); }

void SoakFaults::killEndpoint() {
  SoakEndpoint &E = anyEndpoint();
  World_.killEndpoint(E);
  later(EndpointRestart, [this, &E] {
    if (E.Process == 0)
      World_.startEndpoint(E);
  });
}

void SoakFaults::freezeEndpoint() {
  SoakEndpoint &E = anyEndpoint();
  if (E.Process == 0)
    return;
  int Process = E.Process;
  ::kill(Process, SIGSTOP);
  later(draw(LongestFault), [&E, Process] {
    if (E.Process == Process)
      ::kill(Process, SIGCONT);
  });
}

void SoakFaults::drainEndpoint() {
  SoakEndpoint &E = anyEndpoint();
  if (E.Process == 0)
    return;
  World_.announce(E, "draining");
  later(DrainTime, [this, &E] {
    World_.announce(E, "");
    World_.killEndpoint(E);
    later(EndpointRestart, [this, &E] {
      if (E.Process == 0)
        World_.startEndpoint(E);
    });
  });
}

void SoakFaults::harmWayToEndpoint() {
  SoakEndpoint &E = anyEndpoint();
  E.Way->setMode(HarmfulModes[Random_() % HarmfulModes.size()]);
  later(draw(LongestFault), [&E] { E.Way->setMode(Mode::Pass); });
}

void SoakFaults::breakWaysToEndpoint() {
  SoakEndpoint &E = anyEndpoint();
  if (Random_() % 2 == 0)
    E.Way->resetAll();
  else
    E.Way->silenceAll();
}

void SoakFaults::harmWayToStore() {
  SoakHost &Host = anyHost();
  Host.ToStore->setMode(HarmfulModes[Random_() % HarmfulModes.size()]);
  later(draw(LongestFault), [&Host] { Host.ToStore->setMode(Mode::Pass); });
}

void SoakFaults::stopStore() {
  World_.Store.setDown(true);
  later(draw(LongestFault), [this] { World_.Store.setDown(false); });
}

void SoakFaults::forgetHistory() { World_.Store.forgetHistory(); }

void SoakFaults::changeTables() { World_.nextTables(); }

void SoakFaults::evacuate() {
  static constexpr std::array Zones = {"north-a", "north-b", "south-a"};
  std::string Key =
      std::string("op/evacuate/") + Zones[Random_() % Zones.size()];
  World_.Store.put(Key, "{}");
  later(draw(LongestFault), [this, Key] { World_.Store.remove(Key); });
}

void SoakFaults::pauseSeries() {
  static constexpr std::array Timeouts = {
      Duration(std::chrono::milliseconds(300)),
      Duration(std::chrono::milliseconds(600)), SoakWorld::RoughHeader,
      SoakWorld::RoughIdle, SoakWorld::WholeTime};
  if (Time_.Now() >= Until_)
    return;
  Duration Length = Timeouts[PauseRandom_() % Timeouts.size()] - Below +
                    draw(MostBeyond, PauseRandom_);
  // Connects begin before the pause and complete in it.
  Duration Lead = draw(MostLead, PauseRandom_);
  if (PauseRandom_() % 2 == 0) {
    Length += FaultProxy::SynRetry;
    hangConnects(Lead + draw(FaultProxy::SynRetry - MostLead, PauseRandom_));
  }
  std::vector<SoakHost *> Hosts;
  for (SoakHost &Host : World_.Hosts)
    Hosts.push_back(&Host);
  std::shuffle(Hosts.begin(), Hosts.end(), PauseRandom_);
  Hosts.resize((Hosts.size() + 2) / 3);
  Duration Crash = Lead + draw(Length, PauseRandom_);
  if (PauseRandom_() % 2 == 0)
    later(Crash, [this] { crashEndpoints(); });
  later(Lead, [this, Hosts, Length] {
    std::string Which;
    for (SoakHost *Host : Hosts) {
      Host->pause(Time_.Now());
      Which += " " + Host->start();
    }
    note("pause" + Which + " for us " + std::to_string(Length.count()));
  });
  later(Lead + Length, [this, Hosts] {
    for (SoakHost *Host : Hosts)
      Host->resume(Time_.Now());
    note("resume");
    later(draw(MostGap, PauseRandom_), [this] { pauseSeries(); });
  });
}

void SoakFaults::hangConnects(Duration Span) {
  note("hang and delay connects");
  for (SoakEndpoint &E : World_.Endpoints) {
    auto Draw = PauseRandom_() % 3;
    if (Draw == 0)
      continue;
    E.Way->setMode(Draw == 1 ? Mode::Hang : Mode::LateConnect);
    // Without kept connections calls have to connect.
    E.Way->resetAll();
    later(Span, [&E] { E.Way->setMode(Mode::Pass); });
  }
}

void SoakFaults::crashEndpoints() {
  note("crash a third of the endpoints");
  for (SoakEndpoint &E : World_.Endpoints) {
    if (PauseRandom_() % 3 != 0)
      continue;
    World_.killEndpoint(E);
    later(EndpointRestart, [this, &E] {
      if (E.Process == 0)
        World_.startEndpoint(E);
    });
  }
}

} // namespace celerybeam::testing
