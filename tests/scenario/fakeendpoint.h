#ifndef CELERYBEAM_TESTS_SCENARIO_FAKEENDPOINT_H
#define CELERYBEAM_TESTS_SCENARIO_FAKEENDPOINT_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "blackboard/calltypes.h"
#include "support/virtualhost.h"

namespace celerybeam::testing {

/// How a fake engine, runner or service behaves.
struct FakeEndpointOptions {
  EndpointDescriptor Descriptor;
  std::vector<ModelName> Loaded;
  /// Engines: time to the first token and between tokens, on a free slot.
  Duration FirstToken = std::chrono::milliseconds(100);
  Duration TokenGap = std::chrono::milliseconds(20);
  /// Engines: time to load a model.
  Duration LoadTime = std::chrono::seconds(5);
  /// Runners and services: time of one call.
  Duration Work = std::chrono::milliseconds(50);
  RunnerCheck Checks = RunnerCheck::None;
  /// Age of the loads that it reports.
  Duration ReportLag = std::chrono::milliseconds(500);
  /// One-way latency to its entry hosts.
  Duration Link = std::chrono::microseconds(500);
};

/// When a fake crashes.
enum class CrashPoint { None, BeforeExecution, AfterExecution };

/// A model engine, runner or plain service on the virtual clock.
///
/// Serves jobs in its slots, higher priority first. Token texts follow from
/// the prompt, so that a caller's answer can be checked to the letter.
class FakeEndpoint {
public:
  FakeEndpoint(VirtualTime &Time, FakeEndpointOptions Options);

  /// A call of an entry host; the observer runs on that host.
  void start(const VirtualHost &Caller, EndpointCall Call,
             CallObserver Observer);
  void cancel(const AttemptId &Id);
  void resume(const AttemptId &Id);
  void askLoad(const VirtualHost &Caller,
               const std::function<void(Result<LoadPage>)> &Done);

  /// Loses all its work; refuses connections until restarted.
  void crash();
  void restart();
  void setLeaving(bool Leaving) { Leaving_ = Leaving; }
  void setStalled(bool Stalled);
  void setSlowFactor(double Factor) { SlowFactor_ = Factor; }
  void setCrashOn(std::string Word) { CrashWord_ = std::move(Word); }
  void setCrashPoint(CrashPoint Point) { CrashPoint_ = Point; }
  /// Open exchanges with the host go silent for good; new ones work.
  void silence(const HostId &Host);
  /// The host's connections are closed from its side.
  void clientCrashed(const HostId &Host);
  /// Whether a host reaches this endpoint; unset: always.
  std::function<bool(const HostId &)> Reachable;
  /// Hears the body of each call that arrives.
  std::function<void(const EndpointCall &)> OnArrival;

  const FakeEndpointOptions &options() const { return Options_; }
  /// Executions of runner calls by idempotency key.
  const std::map<std::string, unsigned> &executions() const {
    return Executions_;
  }
  unsigned arrivals() const { return Arrivals_; }
  unsigned orders() const { return Orders_; }
  unsigned crashes() const { return Crashes_; }
  std::uint64_t busyMicros() const { return BusyMicros_; }

  /// Text of a token of the answer to a prompt.
  static std::string tokenText(const std::string &Prompt, std::uint64_t Index);
  /// The whole event stream that answers a prompt.
  static std::string wholeStream(const std::string &Prompt,
                                 std::uint64_t Tokens);
  static std::string wholeAnswer(const std::string &Prompt,
                                 std::uint64_t Tokens);

private:
  struct Job {
    VirtualHost Caller;
    EndpointCall Call;
    CallObserver Observer;
    std::string Prompt;
    std::uint64_t Tokens = 0;
    std::uint64_t Next = 0;
    bool Stream = false;
    bool High = false;
    bool Running = false;
    bool Paused = false;
    bool Silent = false;
    bool HeadSent = false;
    bool Ended = false;
    TimePoint StartedAt{};
  };
  using JobPtr = std::shared_ptr<Job>;

  void arrive(const JobPtr &J);
  void takeOrder(const JobPtr &J);
  void readBody(Job &J) const;
  void schedule();
  void beginJob(const JobPtr &J);
  void produce(const JobPtr &J);
  void execute(const JobPtr &J);
  void later(const JobPtr &J, Duration Delay,
             void (FakeEndpoint::*Work)(const JobPtr &));
  void sendHead(const JobPtr &J, int Status, HeaderFields Extra);
  void sendData(const JobPtr &J, std::string Data);
  void endJob(const JobPtr &J, Result<void> Outcome);
  void removeJob(const JobPtr &J);
  void notifyEnd(const JobPtr &J, Result<void> Outcome);
  void abandon(const JobPtr &J);
  void notify(const JobPtr &J, Task Work);
  Duration scaled(Duration D) const;
  LoadReport currentLoad() const;
  void recordLoad();

  VirtualTime &Time_;
  FakeEndpointOptions Options_;
  std::uint64_t Life_ = 1;
  bool Down_ = false;
  bool Leaving_ = false;
  bool Stalled_ = false;
  double SlowFactor_ = 1;
  std::string CrashWord_;
  CrashPoint CrashPoint_ = CrashPoint::None;
  std::map<AttemptId, JobPtr> Jobs_;
  std::deque<JobPtr> Waiting_;
  std::vector<JobPtr> StalledJobs_;
  unsigned Running_ = 0;
  unsigned Arrivals_ = 0;
  unsigned Orders_ = 0;
  unsigned Crashes_ = 0;
  std::uint64_t BusyMicros_ = 0;
  std::map<std::string, unsigned> Executions_;
  std::map<std::string, std::uint64_t> HighestFence_;
  std::deque<LoadReport> Loads_;
};

} // namespace celerybeam::testing

#endif
