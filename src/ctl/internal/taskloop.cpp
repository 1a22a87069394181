#include "ctl/taskloop.h"

#include <memory>
#include <random>
#include <thread>
#include <utility>

namespace celerybeam::ctl {

using SteadyClock = std::chrono::steady_clock;

void TaskLoop::after(Duration Delay, Task T) {
  Tasks_.emplace(SteadyClock::now() + Delay, std::move(T));
}

Runtime TaskLoop::runtime() {
  Runtime R;
  R.Now = [] {
    return TimePoint(std::chrono::duration_cast<Duration>(
        SteadyClock::now().time_since_epoch()));
  };
  R.WallNow = [] {
    return std::chrono::duration_cast<UnixMillis>(
        std::chrono::system_clock::now().time_since_epoch());
  };
  std::random_device Device;
  std::seed_seq Seed{Device(), Device(), Device(), Device()};
  R.Random = [Engine = std::make_shared<std::mt19937_64>(Seed)] {
    return (*Engine)();
  };
  R.After = [this](Duration D, Task T) { after(D, std::move(T)); };
  return R;
}

bool TaskLoop::runNext() {
  if (Tasks_.empty())
    return false;
  auto Node = Tasks_.extract(Tasks_.begin());
  std::this_thread::sleep_until(Node.key());
  Node.mapped()();
  return true;
}

} // namespace celerybeam::ctl
