#include "app/internal/systemruntime.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <thread>
#include <utility>
#include <vector>

namespace celerybeam {

namespace {

using SystemClock = std::chrono::steady_clock;

std::uint64_t randomNumber() {
  thread_local std::mt19937_64 Generator{
      (std::uint64_t(std::random_device()()) << 32U) | std::random_device()()};
  return Generator();
}

TimePoint monotonicNow() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      SystemClock::now().time_since_epoch()));
}

UnixMillis wallNow() {
  return std::chrono::duration_cast<UnixMillis>(
      std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

class SystemRuntime::Impl {
public:
  explicit Impl(unsigned Threads) {
    for (unsigned I = 0; I < std::max(1U, Threads); ++I)
      Threads_.emplace_back([this] { runTasks(); });
  }

  void after(Duration Delay, Task Work) {
    std::lock_guard Lock(Mutex_);
    if (Stopped_)
      return;
    Tasks_.emplace(SystemClock::now() + Delay, std::move(Work));
    Changed_.notify_one();
  }

  void stop() {
    std::multimap<SystemClock::time_point, Task> Dropped;
    {
      std::lock_guard Lock(Mutex_);
      Stopped_ = true;
      Dropped.swap(Tasks_);
      Changed_.notify_all();
    }
    for (std::thread &T : Threads_)
      if (T.joinable())
        T.join();
  }

private:
  void runTasks() {
    std::unique_lock Lock(Mutex_);
    while (!Stopped_) {
      if (Tasks_.empty()) {
        Changed_.wait(Lock);
        continue;
      }
      SystemClock::time_point Due = Tasks_.begin()->first;
      if (Due > SystemClock::now()) {
        Changed_.wait_until(Lock, Due);
        continue;
      }
      Task Work = std::move(Tasks_.begin()->second);
      Tasks_.erase(Tasks_.begin());
      Lock.unlock();
      Work();
      Work = nullptr;
      Lock.lock();
    }
  }

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::multimap<SystemClock::time_point, Task> Tasks_;
  bool Stopped_ = false;
  std::vector<std::thread> Threads_;
};

SystemRuntime::SystemRuntime(unsigned Threads)
    : Impl_(std::make_unique<Impl>(Threads)) {}

SystemRuntime::~SystemRuntime() { Impl_->stop(); }

void SystemRuntime::stop() { Impl_->stop(); }

Runtime SystemRuntime::hooks() {
  Runtime R;
  R.Now = monotonicNow;
  R.WallNow = wallNow;
  R.Random = randomNumber;
  R.After = [this](Duration Delay, Task Work) {
    Impl_->after(Delay, std::move(Work));
  };
  return R;
}

} // namespace celerybeam
