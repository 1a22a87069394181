#include "relay/eventloop.h"

#include <csignal>
#include <ctime>
#include <random>

#include "relay/internal/beast.h"

#include <boost/asio/signal_set.hpp>

namespace celerybeam {

class EventLoop::Impl {
public:
  detail::asio::io_context Context_{1};
  detail::asio::signal_set Stops_{Context_, SIGTERM, SIGINT};
  detail::asio::signal_set Reloads_{Context_, SIGHUP};
  std::mt19937_64 Random_{std::random_device{}()};
};

namespace {

/// Monotonic time that counts suspension, unlike the steady clock.
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

EventLoop::EventLoop() : Impl_(std::make_unique<Impl>()) {
  std::signal(SIGPIPE, SIG_IGN);
}
EventLoop::~EventLoop() = default;

Runtime EventLoop::runtime() {
  Runtime R;
  R.Now = bootTime;
  R.WallNow = wallTime;
  R.Random = [this] { return Impl_->Random_(); };
  R.After = [this](Duration Delay, const Task &Work) {
    auto Timer =
        std::make_shared<detail::asio::steady_timer>(Impl_->Context_, Delay);
    Timer->async_wait([Timer, Work](detail::ErrorCode Error) {
      if (!Error)
        Work();
    });
  };
  return R;
}

void EventLoop::run() { Impl_->Context_.run(); }
void EventLoop::stop() { Impl_->Context_.stop(); }

void EventLoop::onSignals(const std::function<void()> &Stop,
                          const std::function<void()> &Reload) {
  waitForSignals(Impl_->Stops_, Stop);
  waitForSignals(Impl_->Reloads_, Reload);
}

boost::asio::io_context &EventLoop::context() { return Impl_->Context_; }

} // namespace celerybeam
