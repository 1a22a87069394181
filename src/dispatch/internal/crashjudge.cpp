#include "dispatch/internal/crashjudge.h"

#include <algorithm>
#include <cmath>

namespace celerybeam::detail {

CrashJudge::CrashJudge(const std::deque<CountedCrash> &Crashes,
                       const Stats &StatsOf)
    : Crashes_(Crashes), StatsOf_(StatsOf),
      IsExplained_(Crashes.size(), false) {
  countOccurrences();
  for (std::size_t I = 0; I < Crashes.size(); ++I)
    for (const CountedRun &Run : Crashes[I].Runs) {
      for (CrashSuspect Part : Run.Suspects.Parts)
        add(Part, I, Run);
      add(Run.Suspects.Whole, I, Run);
    }
  for (Candidate &C : Candidates_)
    closeSighting(C);
}

void CrashJudge::countOccurrences() {
  auto Count = [this](CrashSuspect Suspect, std::size_t Crash) {
    Occurrences &O = OccurrencesOf_[Suspect];
    if (O.Crashes > 0 && O.Latest == Crash)
      return;
    ++O.Crashes;
    O.Latest = Crash;
  };
  for (std::size_t I = 0; I < Crashes_.size(); ++I)
    for (const CountedRun &Run : Crashes_[I].Runs) {
      for (CrashSuspect Part : Run.Suspects.Parts)
        Count(Part, I);
      Count(Run.Suspects.Whole, I);
    }
}

void CrashJudge::add(CrashSuspect Suspect, std::size_t Crash,
                     const CountedRun &Run) {
  // Most are in a single crash.
  if (Suspect.Value == 0 || OccurrencesOf_[Suspect].Crashes < 2)
    return;
  auto [Found, IsNew] = IndexOf_.try_emplace(Suspect, Candidates_.size());
  if (IsNew)
    Candidates_.push_back(
        {Suspect, Run.Suspects.Scope, StatsOf_(Suspect), {}, {}, {}, false});
  Candidate &C = Candidates_[Found->second];
  if (C.Known.SoundAt && Crashes_[Crash].At <= *C.Known.SoundAt)
    return;
  if (C.Sightings.empty() || C.Sightings.back() != Crash) {
    closeSighting(C);
    C.Sightings.push_back(Crash);
  }
  C.WholesOfLatest.push_back(Run.Suspects.Whole);
}

void CrashJudge::closeSighting(Candidate &C) {
  if (C.Sightings.empty())
    return;
  auto &Latest = C.WholesOfLatest;
  if (C.Sightings.size() == 1)
    C.CommonWholes = Latest;
  else
    std::erase_if(C.CommonWholes, [&](CrashSuspect Whole) {
      return std::find(Latest.begin(), Latest.end(), Whole) == Latest.end();
    });
  Latest.clear();
}

std::size_t CrashJudge::count(const Candidate &C) const {
  std::size_t Count = 0;
  TimePoint Previous{};
  for (std::size_t I : C.Sightings) {
    TimePoint At = Crashes_[I].At;
    bool IsSeparate =
        Count == 0 || At - Previous >= CrashTracker::CommonCauseTime;
    if (IsExplained_[I] || !IsSeparate)
      continue;
    ++Count;
    Previous = At;
  }
  return Count;
}

std::size_t CrashJudge::limitOf(const Candidate &C) {
  return C.Known.IsWhole ? CrashTracker::WholeLimit : CrashTracker::PartLimit;
}

std::size_t CrashJudge::runsOf(CrashScope Scope, std::size_t Crash) const {
  const auto &Runs = Crashes_[Crash].Runs;
  return static_cast<std::size_t>(
      std::count_if(Runs.begin(), Runs.end(), [&](const CountedRun &Run) {
        return Run.Suspects.Scope == Scope;
      }));
}

CrashJudge::Evidence CrashJudge::evidenceOf(const Candidate &C) const {
  std::size_t First = C.Sightings.front();
  double With = 0;
  double All = 0;
  double Runs = 0;
  for (std::size_t I : C.Sightings)
    With += !IsExplained_[I] ? 1 : 0;
  for (std::size_t I = First; I < Crashes_.size(); ++I) {
    std::size_t OfScope = IsExplained_[I] ? 0 : runsOf(C.Scope, I);
    All += OfScope > 0 ? 1 : 0;
    Runs += static_cast<double>(OfScope);
  }
  if (With < 1 || All < 1)
    return {};
  double ByChance = 1 - std::pow(1 - C.Known.Share, Runs / All);
  // The first one is where the suspect was first looked at.
  With -= 1;
  All -= 1;
  bool IsInAll = With == All;
  if (With <= All * ByChance)
    return {0, IsInAll};
  double Strength = With * std::log(With / (All * ByChance));
  if (!IsInAll)
    Strength += (All - With) * std::log((All - With) / (All * (1 - ByChance)));
  return {Strength, IsInAll};
}

bool CrashJudge::mayBeCause(const Candidate &C, bool Wholes) const {
  // A part that only one request has brought is judged as that request.
  return !C.IsCause && C.Known.IsWhole == Wholes &&
         (Wholes || C.CommonWholes.empty()) && count(C) >= limitOf(C);
}

void CrashJudge::findCauses(bool Wholes) {
  for (;;) {
    Candidate *Best = nullptr;
    double BestStrength = 0;
    for (Candidate &C : Candidates_) {
      if (!mayBeCause(C, Wholes))
        continue;
      Evidence E = evidenceOf(C);
      bool IsRareWhole = Wholes && C.Known.Share <= CrashTracker::CommonShare;
      bool IsInAllOfMany =
          E.IsInAll && count(C) >= (Wholes ? CrashTracker::CommonWholeLimit
                                           : CrashTracker::CommonPartLimit);
      if (E.Strength < CrashTracker::MinEvidence && !IsRareWhole &&
          !IsInAllOfMany)
        continue;
      if (Best == nullptr || E.Strength >= BestStrength) {
        Best = &C;
        BestStrength = E.Strength;
      }
    }
    if (Best == nullptr)
      return;
    Best->IsCause = true;
    for (std::size_t I : Best->Sightings)
      IsExplained_[I] = true;
  }
}

SuspectFinding CrashJudge::findingOf(const Candidate &C) const {
  SuspectFinding Finding;
  Finding.Suspect = C.Suspect;
  Finding.Crashes = count(C);
  Finding.First = Crashes_[C.Sightings.front()].At;
  Finding.Latest = Crashes_[C.Sightings.back()].At;
  for (std::size_t I : C.Sightings)
    Finding.Endpoints.push_back(Crashes_[I].Endpoint);
  return Finding;
}

std::vector<SuspectFinding> CrashJudge::findings() {
  std::vector<SuspectFinding> Findings;
  std::vector<const Candidate *> Of;
  for (const Candidate &C : Candidates_)
    if (C.Sightings.size() > 1) {
      Findings.push_back(findingOf(C));
      Of.push_back(&C);
    }
  findCauses(false);
  findCauses(true);
  for (std::size_t I = 0; I < Of.size(); ++I) {
    Findings[I].IsCause = Of[I]->IsCause;
    Findings[I].IsExplainedByOthers = !Of[I]->IsCause &&
                                      Findings[I].Crashes >= limitOf(*Of[I]) &&
                                      count(*Of[I]) < limitOf(*Of[I]);
  }
  return Findings;
}

} // namespace celerybeam::detail
