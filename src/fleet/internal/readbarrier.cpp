#include "fleet/readbarrier.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace celerybeam {

class ReadBarrier::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(Runtime R, Hooks H, Duration MinInterval)
      : Runtime_(std::move(R)), Hooks_(std::move(H)),
        MinInterval_(MinInterval) {}

  bool covers(TimePoint Time) const {
    auto At = Hooks_.ConfirmedAt();
    return At && *At >= Time;
  }

  void await(TimePoint Time, Duration AtMost, Answer Then) {
    bool Confirmed = covers(Time);
    if (!Confirmed)
      readSoon();
    if (Confirmed || Failing_)
      return after(Duration::zero(), [Then = std::move(Then),
                                      Confirmed](Impl &) { Then(Confirmed); });
    std::uint64_t Id = ++LastWaiter_;
    Waiters_.push_back({Id, Time, std::move(Then)});
    after(AtMost, [Id](Impl &Self) {
      Self.answerIf([Id](const Waiter &W) { return W.Id == Id; }, false);
    });
  }

private:
  struct Waiter {
    std::uint64_t Id = 0;
    TimePoint Time{};
    Answer Then;
  };

  void after(Duration Delay, std::function<void(Impl &)> Then) {
    Runtime_.After(Delay, [Weak = weak_from_this(), Then = std::move(Then)] {
      if (auto Self = Weak.lock())
        Then(*Self);
    });
  }

  /// Begins a read, or schedules one if none may begin now.
  void readSoon() {
    if (ReadBegun_ || Scheduled_)
      return;
    Duration Interval =
        Failing_ ? std::max(MinInterval_, FailedInterval) : MinInterval_;
    TimePoint Now = Runtime_.Now();
    if (!LastBegun_ || Now >= *LastBegun_ + Interval)
      return read();
    // Nobody waits for a read while they fail.
    if (Failing_)
      return;
    Scheduled_ = true;
    after(*LastBegun_ + Interval - Now, [](Impl &Self) {
      Self.Scheduled_ = false;
      if (!Self.Waiters_.empty())
        Self.readSoon();
    });
  }

  void read() {
    ReadBegun_ = LastBegun_ = Runtime_.Now();
    std::uint64_t Number = ++LastRead_;
    after(MaxRead, [Number](Impl &Self) {
      Self.ended(Number,
                 makeError(ErrorKind::StoreUnreachable, "no answer in time"));
    });
    Hooks_.Read([Weak = weak_from_this(), Number](const Result<void> &Got) {
      if (auto Self = Weak.lock())
        Self->ended(Number, Got);
    });
  }

  void ended(std::uint64_t Number, const Result<void> &Got) {
    bool IsCurrent = Number == LastRead_ && ReadBegun_.has_value();
    // A late success still shows that reads come back.
    if (!IsCurrent && !Got)
      return;
    report(Got);
    if (!IsCurrent)
      return;
    TimePoint Begun = *std::exchange(ReadBegun_, std::nullopt);
    answerIf([this](const Waiter &W) { return covers(W.Time); }, true);
    // One that arrived later waits for the next read.
    answerIf([&](const Waiter &W) { return !Got || W.Time <= Begun; }, false);
    if (!Waiters_.empty())
      readSoon();
  }

  void report(const Result<void> &Got) {
    if (std::exchange(Failing_, !Got) == !Got || !Hooks_.Changed)
      return;
    ReadBarrierChange Change;
    Change.Succeeds = Got.has_value();
    Change.Why = Got ? "" : Got.error().Message;
    if (auto At = Hooks_.ConfirmedAt())
      Change.Age = Runtime_.Now() - *At;
    Hooks_.Changed(Change);
  }

  void answerIf(const std::function<bool(const Waiter &)> &IsMeant,
                bool Confirmed) {
    auto First =
        std::stable_partition(Waiters_.begin(), Waiters_.end(),
                              [&](const Waiter &W) { return !IsMeant(W); });
    std::vector<Waiter> Answered(std::make_move_iterator(First),
                                 std::make_move_iterator(Waiters_.end()));
    Waiters_.erase(First, Waiters_.end());
    for (Waiter &W : Answered)
      W.Then(Confirmed);
  }

  Runtime Runtime_;
  Hooks Hooks_;
  Duration MinInterval_;
  std::vector<Waiter> Waiters_;
  std::uint64_t LastWaiter_ = 0;
  std::uint64_t LastRead_ = 0;
  /// When the read in progress has begun.
  std::optional<TimePoint> ReadBegun_;
  std::optional<TimePoint> LastBegun_;
  /// Whether the next read waits for the end of an interval.
  bool Scheduled_ = false;
  /// Whether the latest read has failed.
  bool Failing_ = false;
};

ReadBarrier::ReadBarrier(Runtime R, Hooks H, Duration MinInterval)
    : Impl_(std::make_shared<Impl>(std::move(R), std::move(H), MinInterval)) {}
ReadBarrier::~ReadBarrier() = default;

bool ReadBarrier::covers(TimePoint Time) const { return Impl_->covers(Time); }
void ReadBarrier::await(TimePoint Time, Duration AtMost, Answer Then) {
  Impl_->await(Time, AtMost, std::move(Then));
}

} // namespace celerybeam
