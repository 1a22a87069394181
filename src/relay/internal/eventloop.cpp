#include "relay/eventloop.h"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <optional>
#include <random>

#include "relay/internal/beast.h"

#include <boost/asio/signal_set.hpp>

namespace celerybeam {

namespace {

/// Monotonic time that includes the time in which the machine is suspended,
/// unlike the steady clock.
TimePoint bootTime() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Now.tv_sec) +
      std::chrono::nanoseconds(Now.tv_nsec)));
}

UnixMillis wallTime() {
  return std::chrono::duration_cast<UnixMillis>(
      std::chrono::system_clock::now().time_since_epoch());
}

void waitForSignals(detail::asio::signal_set &Signals,
                    const std::function<void()> &Then) {
  Signals.async_wait([&Signals, Then](detail::ErrorCode Error, int) {
    if (Error)
      return;
    Then();
    waitForSignals(Signals, Then);
  });
}

} // namespace

class EventLoop::Impl {
public:
  /// \param RunsTimers  whether the loop runs due timers by itself.
  Impl(std::function<TimePoint()> Now, bool Wakes)
      : Now_(std::move(Now)), Wakes_(Wakes) {}
  /// Destroys the tasks first: they may own sockets, which must not outlive the
  /// context.
  ~Impl() {
    Closing_ = true;
    Timers_.clear();
  }

  TimerId after(Duration Delay, Task Work) {
    // Objects that are destroyed with the loop may still try to set timers.
    if (Closing_)
      return {};
    TimerId Id = Timers_.add(Now_() + std::max(Delay, Duration::zero()),
                             std::move(Work));
    wakeInTime();
    return Id;
  }

  /// Schedules a wake-up for the next timer. If that timer is cancelled before,
  /// the wake-up finds nothing due.
  void wakeInTime() {
    auto Next = Timers_.next();
    if (!Wakes_ || !Next || (WakesAt_ && *WakesAt_ <= *Next))
      return;
    WakesAt_ = Next;
    Wake_.expires_after(std::max(*Next - Now_(), Duration::zero()));
    Wake_.async_wait([this](detail::ErrorCode Error) {
      if (Error == detail::asio::error::operation_aborted)
        return;
      WakesAt_.reset();
      Timers_.runDue(Now_());
      wakeInTime();
    });
  }

  std::function<TimePoint()> Now_;
  bool Closing_ = false;
  bool Wakes_;
  TimerQueue Timers_;
  detail::asio::io_context Context_{1};
  detail::asio::steady_timer Wake_{Context_};
  std::optional<TimePoint> WakesAt_;
  detail::asio::signal_set Stops_{Context_, SIGTERM, SIGINT};
  detail::asio::signal_set Reloads_{Context_, SIGHUP};
  std::mt19937_64 Random_{std::random_device{}()};
};

EventLoop::EventLoop() : Impl_(std::make_unique<Impl>(bootTime, true)) {
  std::signal(SIGPIPE, SIG_IGN);
}
EventLoop::EventLoop(std::function<TimePoint()> Now)
    : Impl_(std::make_unique<Impl>(std::move(Now), false)) {
  std::signal(SIGPIPE, SIG_IGN);
}
EventLoop::~EventLoop() = default;

Runtime EventLoop::runtime() {
  Runtime R;
  R.Now = Impl_->Now_;
  R.WallNow = wallTime;
  R.Random = [this] { return Impl_->Random_(); };
  R.After = [this](Duration Delay, Task Work) {
    Impl_->after(Delay, std::move(Work));
  };
  return R;
}

TimerId EventLoop::after(Duration Delay, Task Work) {
  return Impl_->after(Delay, std::move(Work));
}
TimerQueue &EventLoop::timers() { return Impl_->Timers_; }

void EventLoop::run() { Impl_->Context_.run(); }
void EventLoop::stop() { Impl_->Context_.stop(); }

void EventLoop::onSignals(const std::function<void()> &Stop,
                          const std::function<void()> &Reload) {
  waitForSignals(Impl_->Stops_, Stop);
  waitForSignals(Impl_->Reloads_, Reload);
}

boost::asio::io_context &EventLoop::context() { return Impl_->Context_; }

} // namespace celerybeam
