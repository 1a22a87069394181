#include "relay/eventloop.h"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <exception>
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
                    const std::function<void()> &Callback) {
  Signals.async_wait([&Signals, Callback](detail::ErrorCode Error, int) {
    if (Error)
      return;
    Callback();
    waitForSignals(Signals, Callback);
  });
}

} // namespace

class EventLoop::Impl {
public:
  /// \param RunsTimers  whether the loop runs due timers by itself.
  Impl(std::function<TimePoint()> Now, bool RunsTimers)
      : Now_(std::move(Now)), RunsTimers_(RunsTimers) {}
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
    scheduleWakeUp();
    return Id;
  }

  /// Schedules a wake-up for the next timer. If that timer is cancelled before,
  /// the wake-up finds nothing due.
  void scheduleWakeUp() {
    auto Next = Timers_.next();
    if (!RunsTimers_ || !Next || (WakeUpAt_ && *WakeUpAt_ <= *Next))
      return;
    WakeUpAt_ = Next;
    WakeUpTimer_.expires_after(std::max(*Next - Now_(), Duration::zero()));
    WakeUpTimer_.async_wait([this](detail::ErrorCode Error) {
      if (Error == detail::asio::error::operation_aborted)
        return;
      WakeUpAt_.reset();
      try {
        Timers_.runDue(Now_());
      } catch (...) {
        scheduleWakeUp();
        throw;
      }
      scheduleWakeUp();
    });
  }

  std::function<TimePoint()> Now_;
  std::function<void(const std::string &)> ReportException_;
  bool Closing_ = false;
  bool RunsTimers_;
  TimerQueue Timers_;
  detail::asio::io_context Context_{1};
  detail::asio::steady_timer WakeUpTimer_{Context_};
  std::optional<TimePoint> WakeUpAt_;
  detail::asio::signal_set StopSignals_{Context_, SIGTERM, SIGINT};
  detail::asio::signal_set ReloadSignals_{Context_, SIGHUP};
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

void EventLoop::run() {
  for (;;) {
    try {
      Impl_->Context_.run();
      return;
    } catch (const std::exception &Exception) {
      if (Impl_->ReportException_)
        Impl_->ReportException_(Exception.what());
    }
  }
}

void EventLoop::onException(std::function<void(const std::string &)> Report) {
  Impl_->ReportException_ = std::move(Report);
}

void EventLoop::stop() { Impl_->Context_.stop(); }

void EventLoop::onSignals(const std::function<void()> &Stop,
                          const std::function<void()> &Reload) {
  waitForSignals(Impl_->StopSignals_, Stop);
  waitForSignals(Impl_->ReloadSignals_, Reload);
}

boost::asio::io_context &EventLoop::context() { return Impl_->Context_; }

} // namespace celerybeam
