#include "scenario/fakeendpoint.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "framework/stablehash.h"

namespace celerybeam::testing {

namespace {

constexpr std::size_t RememberedLoads = 4096;

std::string tokenEvent(const std::string &Prompt, std::uint64_t Index) {
  return "id: " + std::to_string(Index) +
         "\ndata: {\"choices\":[{\"delta\":{\"content\":\"" +
         FakeEndpoint::tokenText(Prompt, Index) + "\"}}]}\n\n";
}

const char *const DoneEvent = "data: [DONE]\n\n";

} // namespace

FakeEndpoint::FakeEndpoint(VirtualTime &Time, FakeEndpointOptions Options)
    : Time_(Time), Options_(std::move(Options)) {}

std::string FakeEndpoint::tokenText(const std::string &Prompt,
                                    std::uint64_t Index) {
  return "w" + std::to_string(stableHash(Prompt, Index) % 100000) + " ";
}

std::string FakeEndpoint::wholeStream(const std::string &Prompt,
                                      std::uint64_t Tokens) {
  std::string Text;
  for (std::uint64_t I = 0; I < Tokens; ++I)
    Text += tokenEvent(Prompt, I);
  return Text + DoneEvent;
}

std::string FakeEndpoint::wholeAnswer(const std::string &Prompt,
                                      std::uint64_t Tokens) {
  std::string Text;
  for (std::uint64_t I = 0; I < Tokens; ++I)
    Text += tokenText(Prompt, I);
  nlohmann::json Answer = {{"choices", {{{"message", {{"content", Text}}}}}},
                           {"usage", {{"completion_tokens", Tokens}}}};
  return Answer.dump();
}

void FakeEndpoint::start(const VirtualHost &Caller, EndpointCall Call,
                         CallObserver Observer) {
  auto J = std::make_shared<Job>(Job{Caller,
                                     std::move(Call),
                                     std::move(Observer),
                                     {},
                                     0,
                                     0,
                                     false,
                                     false,
                                     false,
                                     false,
                                     false,
                                     false,
                                     false,
                                     {}});
  bool Reached = !Reachable || Reachable(Caller.id());
  if (Down_ || !Reached) {
    Duration Delay = Reached ? 2 * Options_.Link : J->Call.ConnectTimeout;
    Caller.post(Delay, [J] {
      J->Observer.OnEnd(
          makeError(ErrorKind::ConnectFailed, "nobody accepts connections"));
    });
    return;
  }
  Jobs_[J->Call.Id] = J;
  Caller.post(J->Call.Timeout, [this, J] {
    if (J->Ended)
      return;
    abandon(J);
    J->Ended = true;
    J->Observer.OnEnd(makeError(ErrorKind::RequestTimeout, "the time is over"));
  });
  later(J, Options_.Link, &FakeEndpoint::arrive);
}

void FakeEndpoint::later(const JobPtr &J, Duration Delay,
                         void (FakeEndpoint::*Work)(const JobPtr &)) {
  Time_.after(Delay, [this, J, Work, Life = Life_] {
    auto It = Jobs_.find(J->Call.Id);
    if (Life == Life_ && It != Jobs_.end() && It->second == J)
      (this->*Work)(J);
  });
}

void FakeEndpoint::arrive(const JobPtr &J) {
  ++Arrivals_;
  if (OnArrival)
    OnArrival(J->Call);
  if (Leaving_) {
    sendHead(J, 503, {{"x-endpoint-leaving", "1"}});
    endJob(J, {});
    return;
  }
  if (J->Call.Head.Path == "/v1/orders") {
    takeOrder(J);
    return;
  }
  readBody(*J);
  if (!CrashWord_.empty() && J->Prompt.find(CrashWord_) != std::string::npos) {
    Time_.after(Options_.FirstToken / 2, [this, Life = Life_] {
      if (Life == Life_)
        crash();
    });
  }
  Waiting_.push_back(J);
  recordLoad();
  schedule();
}

void FakeEndpoint::takeOrder(const JobPtr &J) {
  ++Orders_;
  auto Body = nlohmann::json::parse(*J->Call.Body);
  ModelName Model(Body["model"].get<std::string>());
  Time_.after(Options_.LoadTime, [this, Model, Life = Life_] {
    if (Life == Life_)
      Options_.Loaded.push_back(Model);
  });
  sendHead(J, 202, {});
  endJob(J, {});
}

void FakeEndpoint::readBody(Job &J) const {
  J.High = findHeader(J.Call.Head.Headers, "x-priority") == "1";
  std::string_view Resume = findHeader(J.Call.Head.Headers, "x-resume-from");
  if (!Resume.empty())
    J.Next = std::stoull(std::string(Resume));
  J.Prompt = *J.Call.Body;
  auto Body = nlohmann::json::parse(*J.Call.Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("messages"))
    return;
  J.Prompt = Body["messages"].back()["content"].get<std::string>();
  J.Tokens = Body.value("max_tokens", std::uint64_t(16));
  J.Stream = Body.value("stream", false);
}

void FakeEndpoint::schedule() {
  while (Running_ < Options_.Descriptor.Slots && !Waiting_.empty()) {
    auto Next = std::find_if(Waiting_.begin(), Waiting_.end(),
                             [](const JobPtr &J) { return J->High; });
    if (Next == Waiting_.end())
      Next = Waiting_.begin();
    JobPtr J = *Next;
    Waiting_.erase(Next);
    J->Running = true;
    J->StartedAt = Time_.now();
    ++Running_;
    beginJob(J);
  }
  recordLoad();
}

void FakeEndpoint::beginJob(const JobPtr &J) {
  if (Options_.Descriptor.Kind == PoolKind::Engine) {
    Duration Whole =
        Options_.FirstToken + Options_.TokenGap * static_cast<long>(J->Tokens);
    later(J, scaled(J->Stream ? Options_.FirstToken : Whole),
          &FakeEndpoint::produce);
    return;
  }
  if (CrashPoint_ == CrashPoint::BeforeExecution) {
    crash();
    return;
  }
  later(J, scaled(Options_.Work), &FakeEndpoint::execute);
}

void FakeEndpoint::produce(const JobPtr &J) {
  if (Stalled_ || J->Paused) {
    StalledJobs_.push_back(J);
    return;
  }
  if (!J->Stream) {
    sendHead(J, 200, {{"content-type", "application/json"}});
    sendData(J, wholeAnswer(J->Prompt, J->Tokens));
    endJob(J, {});
    return;
  }
  if (!J->HeadSent)
    sendHead(J, 200, {{"content-type", "text/event-stream"}});
  if (J->Next < J->Tokens)
    sendData(J, tokenEvent(J->Prompt, J->Next++));
  if (J->Next < J->Tokens) {
    later(J, scaled(Options_.TokenGap), &FakeEndpoint::produce);
    return;
  }
  sendData(J, DoneEvent);
  endJob(J, {});
}

void FakeEndpoint::execute(const JobPtr &J) {
  std::string Key(findHeader(J->Call.Head.Headers, "idempotency-key"));
  std::string Fence(findHeader(J->Call.Head.Headers, "x-fencing"));
  bool Repeated = Options_.Checks == RunnerCheck::Key && Executions_[Key] > 0;
  if (Options_.Checks == RunnerCheck::Fencing && !Fence.empty()) {
    std::uint64_t Number = std::stoull(Fence);
    // Numbers are compared within a shard; the key stands for it here.
    std::uint64_t &Highest = HighestFence_[Key];
    if (Number < Highest) {
      sendHead(J, 409, {});
      endJob(J, {});
      return;
    }
    Highest = Number;
  }
  if (!Repeated)
    ++Executions_[Key];
  if (CrashPoint_ == CrashPoint::AfterExecution) {
    crash();
    return;
  }
  sendHead(J, 200, {{"content-type", "application/json"}});
  sendData(J, "{\"booked\":\"" + Key + "\"}");
  endJob(J, {});
}

void FakeEndpoint::sendHead(const JobPtr &J, int Status, HeaderFields Extra) {
  J->HeadSent = true;
  LoadReport Load = currentLoad();
  Extra.push_back({"x-load-running", std::to_string(Load.Running)});
  Extra.push_back({"x-load-waiting", std::to_string(Load.Waiting)});
  auto Lag = Time_.now() - Load.MeasuredAt;
  Extra.push_back(
      {"x-load-lag-ms",
       std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(Lag)
                          .count())});
  notify(J, [J, Head = ResponseHead{Status, std::move(Extra)}] {
    J->Observer.OnHead(Head);
  });
}

void FakeEndpoint::sendData(const JobPtr &J, std::string Data) {
  notify(J, [J, Data = std::move(Data)] {
    if (J->Observer.OnData(Data) == Flow::Pause)
      J->Paused = true;
  });
}

void FakeEndpoint::notify(const JobPtr &J, Task Work) {
  if (J->Silent)
    return;
  J->Caller.post(Options_.Link, [J, Work = std::move(Work)] {
    if (!J->Silent)
      Work();
  });
}

void FakeEndpoint::endJob(const JobPtr &J, Result<void> Outcome) {
  removeJob(J);
  notifyEnd(J, std::move(Outcome));
  schedule();
}

void FakeEndpoint::notifyEnd(const JobPtr &J, Result<void> Outcome) {
  notify(J, [J, Outcome = std::move(Outcome)] {
    if (!std::exchange(J->Ended, true))
      J->Observer.OnEnd(Outcome);
  });
}

// The client has gone. Engines stop; a runner finishes what it has begun.
void FakeEndpoint::abandon(const JobPtr &J) {
  J->Silent = true;
  auto It = Jobs_.find(J->Call.Id);
  if (It == Jobs_.end() || It->second != J)
    return;
  if (Options_.Descriptor.Kind == PoolKind::Engine) {
    removeJob(J);
    schedule();
  }
}

void FakeEndpoint::clientCrashed(const HostId &Host) {
  std::vector<JobPtr> Gone;
  for (const auto &[Id, J] : Jobs_)
    if (J->Caller.id() == Host)
      Gone.push_back(J);
  for (const JobPtr &J : Gone)
    abandon(J);
}

void FakeEndpoint::removeJob(const JobPtr &J) {
  Jobs_.erase(J->Call.Id);
  std::erase(Waiting_, J);
  std::erase(StalledJobs_, J);
  if (!J->Running)
    return;
  J->Running = false;
  --Running_;
  BusyMicros_ +=
      static_cast<std::uint64_t>((Time_.now() - J->StartedAt).count());
}

void FakeEndpoint::cancel(const AttemptId &Id) {
  auto It = Jobs_.find(Id);
  if (It == Jobs_.end())
    return;
  JobPtr J = It->second;
  abandon(J);
  J->Caller.post(Duration(0), [J] {
    if (!std::exchange(J->Ended, true))
      J->Observer.OnEnd(makeError(ErrorKind::Cancelled, "cancelled"));
  });
}

void FakeEndpoint::resume(const AttemptId &Id) {
  auto It = Jobs_.find(Id);
  if (It == Jobs_.end() || !It->second->Paused)
    return;
  JobPtr J = It->second;
  J->Paused = false;
  auto Held = std::find(StalledJobs_.begin(), StalledJobs_.end(), J);
  if (Held == StalledJobs_.end())
    return;
  StalledJobs_.erase(Held);
  produce(J);
}

void FakeEndpoint::askLoad(const VirtualHost &Caller,
                           const std::function<void(Result<LoadPage>)> &Done) {
  if (Down_ || (Reachable && !Reachable(Caller.id()))) {
    Caller.post(2 * Options_.Link, [Done] {
      Done(makeError(ErrorKind::ConnectFailed, "nobody answers"));
    });
    return;
  }
  LoadPage Answer{currentLoad(), Leaving_, Options_.Loaded};
  Caller.post(2 * Options_.Link, [Done, Answer] { Done(Answer); });
}

void FakeEndpoint::crash() {
  ++Crashes_;
  ++Life_;
  Down_ = true;
  std::map<AttemptId, JobPtr> Lost = std::exchange(Jobs_, {});
  Waiting_.clear();
  StalledJobs_.clear();
  Running_ = 0;
  for (const auto &[Id, J] : Lost)
    notifyEnd(J,
              makeError(ErrorKind::ConnectionLost, "the connection broke off"));
}

void FakeEndpoint::restart() {
  Down_ = false;
  CrashPoint_ = CrashPoint::None;
}

void FakeEndpoint::setStalled(bool Stalled) {
  Stalled_ = Stalled;
  if (Stalled)
    return;
  for (const JobPtr &J : std::exchange(StalledJobs_, {}))
    produce(J);
}

void FakeEndpoint::silence(const HostId &Host) {
  for (const auto &[Id, J] : Jobs_)
    if (J->Caller.id() == Host)
      J->Silent = true;
}

Duration FakeEndpoint::scaled(Duration D) const {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(D.count()) * SlowFactor_));
}

void FakeEndpoint::recordLoad() {
  Loads_.push_back(
      {Time_.now(), Running_, static_cast<std::uint32_t>(Waiting_.size()), 0});
  if (Loads_.size() > RememberedLoads)
    Loads_.pop_front();
}

// The load as it was before the lag.
LoadReport FakeEndpoint::currentLoad() const {
  TimePoint Then = Time_.now() - Options_.ReportLag;
  LoadReport Report;
  for (const LoadReport &L : Loads_) {
    if (L.MeasuredAt > Then)
      break;
    Report = L;
  }
  Report.MeasuredAt = Then;
  return Report;
}

} // namespace celerybeam::testing
