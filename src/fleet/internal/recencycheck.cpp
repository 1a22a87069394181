#include "fleet/recencycheck.h"

#include <utility>

namespace celerybeam {

RecencyCheck::RecencyCheck(Runtime R, Hooks H)
    : Runtime_(std::move(R)), Hooks_(std::move(H)), LastCall_(Runtime_.Now()) {
  doubt(Duration::zero());
}

void RecencyCheck::doubt(Duration Gap) {
  ++Episode_.Value;
  DoubtedSince_ = LastCall_;
  LastAsked_ = LastCall_ - AskInterval;
  WaitEnded_ = false;
  Round_ = 0;
  report(RecencyChange::Kind::Doubted, Gap);
}

void RecencyCheck::update() {
  TimePoint Now = Runtime_.Now();
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
  if (Now - LastAsked_ < AskInterval)
    return;
  LastAsked_ = Now;
  Hooks_.Ask(Episode_, Round_++);
}

void RecencyCheck::tick() { update(); }

bool RecencyCheck::mayAct() {
  update();
  return !DoubtedSince_ || WaitEnded_;
}

bool RecencyCheck::isConfirmed() {
  update();
  return !DoubtedSince_;
}

void RecencyCheck::confirm(Episode Asked) {
  TimePoint Now = Runtime_.Now();
  // The response may have waited in the socket during a standstill.
  if (Now - LastCall_ > MaxGap || Asked != Episode_ || !DoubtedSince_)
    return;
  report(RecencyChange::Kind::Confirmed);
  DoubtedSince_.reset();
}

void RecencyCheck::report(RecencyChange::Kind What, Duration Gap) {
  if (Hooks_.Changed)
    Hooks_.Changed({What, Gap, Runtime_.Now() - *DoubtedSince_});
}

} // namespace celerybeam
