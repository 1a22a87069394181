#include "fakerunner.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <mutex>
#include <utility>

#include <nlohmann/json.hpp>

#include "fakemode.h"

namespace celerybeam::fakes {

namespace {

using Check = FakeRunnerSettings::Check;

FakeReply plainReply(int Status) {
  FakeReply R;
  R.Status = Status;
  return R;
}

} // namespace

class FakeRunner::Impl {
public:
  Impl(std::uint16_t Port, FakeRunnerSettings Settings)
      : Settings_(std::move(Settings)), Scheduler_(Settings_.Limits),
        Mode_(Scheduler_, Settings_.Crash), Executions_(readJournal()),
        Server_(Port, [this](const FakeRequest &R) { return handle(R); }) {}

  ~Impl() { stop(); }

  void stop() {
    Scheduler_.stop();
    Server_.stop();
  }

  std::uint16_t port() const { return Server_.port(); }

private:
  FakeReply handle(const FakeRequest &R) {
    if (R.Path == "/control/mode")
      return Mode_.control(R);
    if (R.Path == "/control/executions") {
      std::lock_guard Lock(Mutex_);
      return jsonReply(200, nlohmann::json(Executions_).dump());
    }
    if (R.Path == "/load")
      return jsonReply(200, Mode_.loadPage(Settings_.Limits).dump());
    return Mode_.mark(R, serve(R));
  }

  FakeReply serve(const FakeRequest &R) {
    if (std::optional<FakeReply> Refusal = Mode_.refuse())
      return *Refusal;
    if (Scheduler_.queueIsFull())
      return plainReply(429);
    if (!passesFencing(R.headerNumber("x-fencing", 0)))
      return plainReply(409);
    auto Work = Scheduler_.enter(R.header("x-request-id"), 0);
    if (!Work || !Work->sleep(Settings_.WorkTime))
      return cutOffReply();
    return execute(R, R.header("idempotency-key"));
  }

  bool passesFencing(std::uint64_t Number) {
    std::lock_guard Lock(Mutex_);
    if (Settings_.Verifies != Check::Fencing)
      return true;
    if (Number < HighestFencing_)
      return false;
    HighestFencing_ = Number;
    return true;
  }

  FakeReply execute(const FakeRequest &R, const std::string &Key) {
    if (Mode_.is("crash-before"))
      Settings_.Crash();
    const std::uint64_t Execution = Key.empty() ? 0 : countExecution(Key);
    if (Mode_.is("crash-after"))
      Settings_.Crash();
    return jsonReply(200, nlohmann::json{{"key", Key},
                                         {"execution", Execution},
                                         {"path", R.Path},
                                         {"bytes", R.Body.size()}}
                              .dump());
  }

  /// Which execution of the key this is. A runner that verifies keys executes
  /// only the first.
  std::uint64_t countExecution(const std::string &Key) {
    std::lock_guard Lock(Mutex_);
    std::uint64_t &Count = Executions_[Key];
    if (Settings_.Verifies == Check::Key && Count > 0)
      return Count;
    if (!Settings_.Journal.empty())
      std::ofstream(Settings_.Journal, std::ios::app) << Key << std::endl;
    return ++Count;
  }

  std::map<std::string, std::uint64_t> readJournal() const {
    std::map<std::string, std::uint64_t> Counts;
    std::ifstream In(Settings_.Journal);
    for (std::string Key; std::getline(In, Key);)
      ++Counts[Key];
    return Counts;
  }

  const FakeRunnerSettings Settings_;
  FakeScheduler Scheduler_;
  FakeMode Mode_;
  std::mutex Mutex_;
  std::map<std::string, std::uint64_t> Executions_;
  std::uint64_t HighestFencing_ = 0;
  // Last, since it calls the members above from its threads.
  FakeServer Server_;
};

FakeRunner::FakeRunner(std::uint16_t Port, FakeRunnerSettings Settings)
    : Impl_(std::make_unique<Impl>(Port, std::move(Settings))) {}

FakeRunner::~FakeRunner() = default;

std::uint16_t FakeRunner::port() const { return Impl_->port(); }

std::string FakeRunner::address() const {
  return "127.0.0.1:" + std::to_string(port());
}

void FakeRunner::stop() { Impl_->stop(); }

} // namespace celerybeam::fakes
