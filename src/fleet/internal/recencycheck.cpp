#include "fleet/recencycheck.h"

#include <algorithm>
#include <utility>

namespace celerybeam {

namespace {

/// Time from a request for a confirmation to the next one. \param Round  of the
/// earlier request, from zero.
Duration askInterval(unsigned Round) {
  Duration Interval = RecencyCheck::AskInterval;
  for (unsigned I = 1; I < Round && Interval < RecencyCheck::LongestAskInterval;
       ++I)
    Interval *= 2;
  return std::min(Interval, RecencyCheck::LongestAskInterval);
}

} // namespace

RecencyCheck::RecencyCheck(Runtime R, Hooks H)
    : Runtime_(std::move(R)), Hooks_(std::move(H)), LastCall_(Runtime_.Now()) {
  doubt(Duration::zero());
}

void RecencyCheck::doubt(Duration Gap) {
  ++Episode_.Value;
  DoubtedSince_ = LastCall_;
  AsksAt_ = LastCall_;
  WaitEnded_ = false;
  Round_ = 0;
  report(RecencyChange::Kind::Doubted, Gap);
}

void RecencyCheck::updateLag() {
  auto Since = Hooks_.BehindSince ? Hooks_.BehindSince() : std::nullopt;
  Duration Lag = Since ? Runtime_.Now() - *Since : Duration::zero();
  bool IsBehind = Lag > MaxLag;
  bool IsOutdated = Lag > MaxOutdated && Hooks_.IsOffered && Hooks_.IsOffered();
  bool WasBehind = std::exchange(IsBehind_, IsBehind);
  bool WasOutdated = std::exchange(IsOutdated_, IsOutdated);
  using Kind = RecencyChange::Kind;
  if (IsOutdated && !WasOutdated)
    return report(Kind::Outdated, Lag);
  if (IsBehind != WasBehind || IsOutdated != WasOutdated)
    report(IsBehind ? Kind::Behind : Kind::CaughtUp, Lag);
}

void RecencyCheck::update() {
  TimePoint Now = Runtime_.Now();
  updateLag();
  Duration Gap = Now - std::exchange(LastCall_, Now);
  if (Gap > MaxGap)
    doubt(Gap);
  if (!DoubtedSince_)
    return;
  Duration Age = Now - *DoubtedSince_;
  if (Age >= MaxWait && !std::exchange(WaitEnded_, true))
    report(RecencyChange::Kind::Unconfirmed);
  if (Age >= MaxDoubt) {
    DoubtedSince_.reset();
    return;
  }
  if (Now < AsksAt_)
    return;
  AsksAt_ = Now + askInterval(Round_);
  Hooks_.Ask(Episode_, Round_++);
}

void RecencyCheck::tick() { update(); }

bool RecencyCheck::mayAct() {
  update();
  return !DoubtedSince_ || WaitEnded_;
}

bool RecencyCheck::isConfirmed() {
  update();
  return !DoubtedSince_ && !IsBehind_;
}

bool RecencyCheck::isOutdated() {
  update();
  return IsOutdated_;
}

bool RecencyCheck::mayHaveStoodStill() const {
  return Runtime_.Now() - LastCall_ > MaxGap;
}

// A response may have waited in its socket during a standstill.
void RecencyCheck::confirm(Episode Asked) {
  if (DoubtedSince_ && Asked == Episode_ && !mayHaveStoodStill())
    end();
}

void RecencyCheck::confirmByRead(TimePoint Begun) {
  if (DoubtedSince_ && Begun >= *DoubtedSince_ && !mayHaveStoodStill())
    end();
}

void RecencyCheck::end() {
  report(RecencyChange::Kind::Confirmed);
  DoubtedSince_.reset();
}

void RecencyCheck::report(RecencyChange::Kind What, Duration Gap) {
  TimePoint Now = Runtime_.Now();
  if (Hooks_.Changed)
    Hooks_.Changed({What, Gap, Now - DoubtedSince_.value_or(Now)});
}

} // namespace celerybeam
