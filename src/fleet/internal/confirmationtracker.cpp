#include "fleet/confirmationtracker.h"

#include <utility>

namespace celerybeam {

ConfirmationTracker::ConfirmationTracker(Runtime R, Hooks H)
    : Runtime_(std::move(R)), Hooks_(std::move(H)), StartedAt_(Runtime_.Now()) {
}

void ConfirmationTracker::adopt(const Confirmation &Made) {
  if (Readable_ && (!Latest_ || Made.At > Latest_->At))
    Latest_ = Made;
}

void ConfirmationTracker::confirmByRead(TimePoint Begun) {
  adopt({Begun, Hooks_.LastChange()});
}

void ConfirmationTracker::received(const TablesConfirmation &From) {
  TimePoint Now = Runtime_.Now();
  // A stamp of an earlier process, whose clock may have been another one.
  if (From.Stamp < StartedAt_ || From.Stamp > Now ||
      From.Held > Now - From.Stamp || From.Held < Duration::zero())
    return;
  Confirmation Made{From.Stamp + From.Held - From.Age, From.Of};
  if (Hooks_.Applied() >= Made.Of)
    return adopt(Made);
  // The earliest revision that is awaited comes first.
  if (!Awaited_ || Hooks_.Applied() >= Awaited_->Of || Made.Of <= Awaited_->Of)
    Awaited_ = Made;
}

std::optional<TimePoint> ConfirmationTracker::confirmedAt() {
  if (Awaited_ && Hooks_.Applied() >= Awaited_->Of)
    adopt(*std::exchange(Awaited_, std::nullopt));
  return Latest_ ? std::optional(Latest_->At) : std::nullopt;
}

bool ConfirmationTracker::covers(TimePoint Arrived, Duration Lifetime) {
  auto At = confirmedAt();
  return At && Arrived - *At < Lifetime;
}

void ConfirmationTracker::recordStamp(const std::string &Ip, TimePoint Stamp) {
  HeldStamp &Held = Stamps_[Ip];
  Held.Stamp = Stamp;
  Held.ArrivedAt = Runtime_.Now();
  dropOldStamps();
}

std::optional<TablesConfirmation>
ConfirmationTracker::confirmationFor(const std::string &Ip) {
  TimePoint Now = Runtime_.Now();
  auto Found = Stamps_.find(Ip);
  if (Found == Stamps_.end() || Now - Found->second.LastAnswer < MinInterval ||
      !confirmedAt())
    return std::nullopt;
  Found->second.LastAnswer = Now;
  return TablesConfirmation{Found->second.Stamp, Now - Found->second.ArrivedAt,
                            Now - Latest_->At, Latest_->Of};
}

void ConfirmationTracker::dropOldStamps() {
  TimePoint Now = Runtime_.Now();
  if (Now < NextCleanup_)
    return;
  NextCleanup_ = Now + StampRetention;
  std::erase_if(Stamps_, [&](const auto &Entry) {
    return Now - Entry.second.ArrivedAt > StampRetention;
  });
}

} // namespace celerybeam
