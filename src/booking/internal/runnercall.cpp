#include "booking/internal/runnercall.h"

#include <memory>
#include <utility>

namespace celerybeam::detail {

namespace {

constexpr Duration ConnectTimeout = std::chrono::seconds(1);
/// A late response is awaited long after the caller's deadline, so that the
/// outcome can be recorded.
constexpr Duration LateResponseTimeout = std::chrono::minutes(10);
constexpr std::size_t MaxResponseBytes = 1U << 20U;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusUnavailable = 503;

/// The parts of a response that have arrived.
struct CollectedResponse {
  ResponseHead Head;
  std::string Body;
};

bool reportsNoWork(const ResponseHead &Head) {
  return Head.Status == StatusTooManyRequests ||
         (Head.Status == StatusUnavailable &&
          findHeader(Head.Headers, "x-endpoint-leaving") == "1");
}

RunnerResult resultOf(const CollectedResponse &Collected,
                      const Result<void> &End) {
  RunnerResult R;
  if (!End) {
    if (End.error().Kind == ErrorKind::ConnectFailed)
      R.ResultKind = RunnerResult::Kind::NoWork;
    return R;
  }
  R.ResultKind = reportsNoWork(Collected.Head) ? RunnerResult::Kind::NoWork
                                               : RunnerResult::Kind::Responded;
  R.Status = Collected.Head.Status;
  R.ContentType = findHeader(Collected.Head.Headers, "content-type");
  R.ResponseBody = Collected.Body;
  return R;
}

RequestHead headFor(const RunnerCall &Call) {
  RequestHead Head = Call.Head;
  std::erase_if(Head.Headers, [](const HeaderField &F) {
    return F.Name == "idempotency-key" || F.Name == "x-fencing";
  });
  Head.Headers.push_back({"idempotency-key", Call.Key});
  Head.Headers.push_back({"x-fencing", std::to_string(Call.Epoch)});
  return Head;
}

} // namespace

void startRunnerCall(BookingContext &Context, const RunnerCall &Call,
                     Effects &Out,
                     std::function<void(RunnerResult, Effects &)> Done) {
  EndpointCall Start;
  Start.Id = {
      RequestId("booking/" + Call.Key + "/" + std::to_string(Call.Epoch)),
      Call.Attempt};
  Start.Endpoint = Call.Runner;
  Start.Where = Call.Where;
  Start.Head = headFor(Call);
  Start.Body = Call.Body;
  Start.ConnectTimeout = ConnectTimeout;
  Start.Timeout = LateResponseTimeout;
  auto Collected = std::make_shared<CollectedResponse>();
  CallObserver Observer;
  Observer.OnHead = [Collected](ResponseHead Head) {
    Collected->Head = std::move(Head);
  };
  Observer.OnData = [Collected](const std::string &Data) {
    if (Collected->Body.size() < MaxResponseBytes)
      Collected->Body += Data;
    return Flow::Continue;
  };
  Observer.OnEnd = [Collected, RunLocked = Context.RunLocked,
                    Done = std::move(Done)](const Result<void> &End) {
    RunnerResult R = resultOf(*Collected, End);
    RunLocked([&](Effects &Next) { Done(R, Next); });
  };
  Out.add([StartHook = Context.Calls.Start, Start, Observer] {
    StartHook(Start, Observer);
  });
}

} // namespace celerybeam::detail
