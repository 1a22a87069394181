#include "dispatch/tests/crashreplay.h"

#include <algorithm>

#include "framework/stablehash.h"

namespace celerybeam::testing {

namespace {

constexpr CrashScope Scope{7777};
constexpr Duration Tick = std::chrono::milliseconds(10);
constexpr Duration NewsInterval = std::chrono::milliseconds(50);
constexpr Duration TrialTurn = std::chrono::seconds(10);

} // namespace

struct CrashReplay::Run {
  std::shared_ptr<Request> Of;
  TimePoint SentAt{};
  TimePoint BegunAt{};
  bool HasOutput = false;
  bool IsFirst = false;
};

struct CrashReplay::Engine {
  EndpointKey Key;
  bool IsUp = true;
  std::list<std::shared_ptr<Run>> Runs;
};

CrashReplay::CrashReplay(const Settings &S) : Time(S.Seed), Now(S) {
  GroupOfHost.assign(S.Hosts, 0);
  for (std::size_t I = 0; I < S.Hosts; ++I)
    Hosts_.push_back(makeHost(I));
  for (std::size_t I = 0; I < S.Engines; ++I) {
    Engines_.push_back(std::make_shared<Engine>());
    Engines_.back()->Key = {++Boots_};
  }
  NextCrash_ = Time.now();
}

std::unique_ptr<CrashTracker> CrashReplay::makeHost(std::size_t Index) {
  auto Host = std::make_unique<CrashTracker>(Time.runtime());
  CrashTracker::Hooks Hooks;
  Hooks.OwnsTrial = [this, Index](CrashSuspect Suspect, std::uint32_t Trial,
                                  Duration Overdue) {
    auto Rank = [&](std::size_t Of) {
      return stableHash(Of, stableHash(Trial, Suspect.Value));
    };
    std::size_t Before = 0;
    for (std::size_t I = 0; I < GroupOfHost.size(); ++I)
      Before += GroupOfHost[I] == GroupOfHost[Index] && Rank(I) > Rank(Index);
    return Before < std::size_t{1} << static_cast<unsigned>(
                        std::min<std::int64_t>(Overdue / TrialTurn, 20));
  };
  Host->setHooks(std::move(Hooks));
  return Host;
}

CrashSuspects CrashReplay::suspects(std::uint64_t Topic, std::uint64_t Id) {
  constexpr std::uint64_t Wholes = std::uint64_t{1} << 40U;
  return {Scope, {{FirstPart}, {Topic}}, {Wholes + Id}};
}

void CrashReplay::run(Duration Span) {
  for (Duration Past{}; Past < Span; Past += Tick) {
    constexpr double TicksPerSecond = 100;
    for (Due_ += Now.RequestsPerSecond / TicksPerSecond; Due_ >= 1; Due_ -= 1)
      arrive();
    if (Now.CrashEvery > Duration::zero() && Time.now() >= NextCrash_) {
      NextCrash_ = Time.now() + Now.CrashEvery;
      endEngines(1);
    }
    if ((Past / Tick) % (NewsInterval / Tick) == 0)
      exchangeNews();
    Time.runFor(Tick);
  }
}

void CrashReplay::arrive() {
  constexpr double Scale = 1.0 / 18446744073709551616.0;
  auto R = std::make_shared<Request>();
  R->IsBad = static_cast<double>(Time.random()) * Scale < Now.BadShare;
  R->Suspects =
      suspects(R->IsBad ? BadPart : FirstTopic + Time.random() % Now.Topics,
               ++Requests_);
  R->Host = Time.random() % Hosts_.size();
  R->AttemptsLeft = Now.Attempts;
  Hosts_[R->Host]->recordArrival(R->Suspects);
  send(R, true);
}

void CrashReplay::send(const std::shared_ptr<Request> &R, bool IsFirst) {
  CrashTracker &Host = *Hosts_[R->Host];
  auto Verdict = Host.check(R->Suspects);
  if (Verdict && !Verdict->MayTry) {
    if (!R->IsBad) {
      ++SoundRefused;
      Sound_.emplace_back(Time.now(), false);
    }
    return;
  }
  std::vector<std::shared_ptr<Engine>> Up;
  std::copy_if(Engines_.begin(), Engines_.end(), std::back_inserter(Up),
               [](const auto &E) { return E->IsUp; });
  if (Up.empty()) {
    if (!R->IsBad && IsFirst)
      Sound_.emplace_back(Time.now(), false);
    return;
  }
  if (Verdict)
    Host.beginTrial(Verdict->Suspect);
  auto E = Up[Time.random() % Up.size()];
  auto Sent = std::make_shared<Run>();
  Sent->Of = R;
  Sent->SentAt = Time.now();
  Sent->IsFirst = IsFirst;
  E->Runs.push_back(Sent);
  --R->AttemptsLeft;
  if (R->IsBad)
    BadSends_.push_back(Time.now());
  std::size_t At = R->Host;
  auto IsRunning = [E, Sent, Key = E->Key] {
    return E->Key == Key &&
           std::find(E->Runs.begin(), E->Runs.end(), Sent) != E->Runs.end();
  };
  Time.after(Now.FirstOutput, [this, Sent, IsRunning, E, R] {
    if (!IsRunning())
      return;
    Sent->HasOutput = true;
    Sent->BegunAt = Time.now();
    if (!R->IsBad && Sent->IsFirst)
      Sound_.emplace_back(Sent->SentAt, true);
    if (!R->IsBad || IsBadMended)
      return;
    Time.after(Now.CrashAfter, [this, IsRunning, E] {
      if (!IsRunning())
        return;
      BadCrashes_.push_back(Time.now());
      crash(E);
    });
  });
  Time.after(Now.FirstOutput + CrashTracker::SurvivalTime,
             [this, At, Sent, IsRunning, R] {
               if (IsRunning())
                 Hosts_[At]->recordSound(R->Suspects, Sent->BegunAt);
             });
  Time.after(Now.FirstOutput + Now.Stream, [this, At, E, Sent, IsRunning, R] {
    if (!IsRunning())
      return;
    Hosts_[At]->recordSound(R->Suspects, Sent->BegunAt);
    E->Runs.remove(Sent);
  });
}

void CrashReplay::crash(const std::shared_ptr<Engine> &E) {
  EndpointKey Key = E->Key;
  auto Broken = std::exchange(E->Runs, {});
  E->IsUp = false;
  E->Key = {++Boots_};
  Time.after(Now.DownFor, [E] { E->IsUp = true; });
  for (const auto &Sent : Broken) {
    std::size_t At = Sent->Of->Host;
    if (!Sent->HasOutput && !Sent->Of->IsBad && Sent->IsFirst)
      Sound_.emplace_back(Sent->SentAt, false);
    if (!Sent->HasOutput || !Hosts_[At]->survives(Sent->BegunAt))
      Hosts_[At]->recordBreak(Key, Sent->Of->Suspects, Sent->SentAt);
    if (Sent->Of->AttemptsLeft > 0)
      send(Sent->Of, false);
  }
}

void CrashReplay::endEngines(std::size_t Count) {
  for (const auto &E : Engines_)
    if (Count > 0 && E->IsUp) {
      --Count;
      crash(E);
    }
  std::rotate(Engines_.begin(), Engines_.begin() + 1, Engines_.end());
}

void CrashReplay::restartHost(std::size_t Index) {
  Hosts_[Index] = makeHost(Index);
  std::size_t Other = (Index + 1) % Hosts_.size();
  Hosts_[Index]->received(Hosts_[Other]->currentNews());
}

void CrashReplay::exchangeNews() {
  constexpr double Scale = 1.0 / 18446744073709551616.0;
  for (std::size_t From = 0; From < Hosts_.size(); ++From) {
    CrashNews News = Hosts_[From]->takeNews(false);
    if (News.isEmpty())
      continue;
    for (std::size_t To = 0; To < Hosts_.size(); ++To) {
      bool Lost = static_cast<double>(Time.random()) * Scale < Now.NewsLost;
      if (To == From || Lost || GroupOfHost[To] != GroupOfHost[From])
        continue;
      Time.after(Now.NewsDelay,
                 [this, To, News] { Hosts_[To]->received(News); });
    }
  }
}

std::size_t CrashReplay::badSendsSince(TimePoint Since) const {
  return static_cast<std::size_t>(
      std::count_if(BadSends_.begin(), BadSends_.end(),
                    [&](TimePoint At) { return At > Since; }));
}

double CrashReplay::soundShareSince(TimePoint Since) const {
  double All = 0;
  double Begun = 0;
  for (const auto &[At, HasBegun] : Sound_)
    if (At >= Since) {
      All += 1;
      Begun += HasBegun ? 1 : 0;
    }
  return All == 0 ? 1 : Begun / All;
}

std::size_t CrashReplay::hostsRefusing(std::uint64_t Part) const {
  CrashSuspects Request{Scope, {{FirstPart}, {Part}}, {}};
  return static_cast<std::size_t>(
      std::count_if(Hosts_.begin(), Hosts_.end(), [&](const auto &Host) {
        return Host->check(Request).has_value();
      }));
}

} // namespace celerybeam::testing
