#include "dispatch/internal/crashoutbox.h"

#include <utility>

#include "framework/stablehash.h"

namespace celerybeam::detail {

namespace {

/// Older reports are not forwarded; they were when they were new.
constexpr Duration MaxForwardedAge = std::chrono::seconds(5);
/// How often a refusal or trial is reported.
constexpr unsigned RefusalReports = 3;

std::uint64_t idOf(const EndpointKey &Endpoint, const CrashSuspects &Request) {
  std::uint64_t Id = stableHash(Endpoint.Value, Request.Whole.Value);
  for (CrashSuspect Part : Request.Parts)
    Id = stableHash(Id, Part.Value);
  return Id;
}

} // namespace

CrashReport reportOf(const CountedCrash &Crash, TimePoint Now) {
  CrashReport Report{Crash.Endpoint, Now - Crash.At, {}};
  for (const CountedRun &Run : Crash.Runs)
    Report.Runs.push_back({Run.Suspects, Crash.At - Run.SentAt});
  return Report;
}

void CrashOutbox::addCrash(const CountedCrash &Crash, bool IsOwn,
                           TimePoint Now) {
  if (!IsOwn && Now - Crash.At > MaxForwardedAge)
    return;
  CountedCrash Unsent = notForwarded(Crash, IsOwn, Now);
  if (!Unsent.Runs.empty())
    Crashes_.push_back({std::move(Unsent), Now, IsOwn, false});
}

/// The crash with the runs that this host has not yet sent to others. The
/// tracker can't tell: it drops the oldest crashes when many endpoints crash.
CountedCrash CrashOutbox::notForwarded(CountedCrash Crash, bool IsOwn,
                                       TimePoint Now) {
  std::erase_if(Forwarded_, [Now](const auto &Entry) {
    return Now - Entry.second > CrashTracker::LateReportTime;
  });
  std::erase_if(Crash.Runs, [&](const CountedRun &Run) {
    std::uint64_t Id = idOf(Crash.Endpoint, Run.Suspects);
    if (IsOwn) {
      Forwarded_[Id] = Now;
      return false;
    }
    return Forwarded_.size() >= CrashTracker::MaxForwardedRuns ||
           !Forwarded_.emplace(Id, Now).second;
  });
  return Crash;
}

void CrashOutbox::addSound(CrashSuspect Suspect, TimePoint BegunAt, bool IsOwn,
                           TimePoint Now) {
  if (IsOwn || Now - BegunAt <= MaxForwardedAge)
    Sound_.push_back({Suspect, BegunAt, IsOwn});
}

void CrashOutbox::addRefusal(CrashSuspect Suspect, TimePoint Now) {
  Refusals_.push_back({Suspect, Now, RefusalReports});
}

void CrashOutbox::addForeignTrial(CrashSuspect Suspect, Duration Since) {
  if (Since <= MaxForwardedAge)
    ForeignTrials_.push_back(Suspect);
}

CrashNews CrashOutbox::take(bool ForwardsOthers, TimePoint Now,
                            const RefusalReport &Report) {
  CrashNews News;
  for (Outgoing &Out : std::exchange(Crashes_, {})) {
    if (Out.Due > Now) {
      Crashes_.push_back(std::move(Out));
      continue;
    }
    if (!Out.IsOwn && !ForwardsOthers)
      continue;
    News.Crashes.push_back(reportOf(Out.Crash, Now));
    if (Out.IsOwn && !Out.IsRepeat)
      Crashes_.push_back(
          {std::move(Out.Crash), Now + CrashTracker::RepeatAfter, true, true});
  }
  for (const OutgoingSound &Out : std::exchange(Sound_, {}))
    if (Out.IsOwn || ForwardsOthers)
      News.Sound.push_back({Out.Suspect, Now - Out.BegunAt});
  for (OutgoingRefusal &Out : std::exchange(Refusals_, {})) {
    auto Refused = Report(Out.Suspect);
    if (!Refused)
      continue;
    if (Out.Due <= Now) {
      News.Refused.push_back(*Refused);
      Out.Due = Now + CrashTracker::RepeatAfter;
      --Out.Left;
    }
    if (Out.Left > 0)
      Refusals_.push_back(Out);
  }
  for (CrashSuspect Suspect : std::exchange(ForeignTrials_, {}))
    if (auto Refused = Report(Suspect); ForwardsOthers && Refused)
      News.Refused.push_back(*Refused);
  return News;
}

} // namespace celerybeam::detail
