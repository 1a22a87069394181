#include "booking/internal/runnercall.h"

#include <memory>
#include <utility>

namespace celerybeam::detail {

namespace {

constexpr Duration ConnectTimeout = std::chrono::seconds(1);
/// A late answer is still waited for, long after the caller has gone.
constexpr Duration LateAnswerTimeout = std::chrono::minutes(10);
constexpr std::size_t MaxAnswerBytes = 1U << 20U;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusUnavailable = 503;

struct Gathered {
  ResponseHead Head;
  std::string Body;
};

bool saysNoWork(const ResponseHead &Head) {
  return Head.Status == StatusTooManyRequests ||
         (Head.Status == StatusUnavailable &&
          findHeader(Head.Headers, "x-endpoint-leaving") == "1");
}

RunnerResult resultOf(const Gathered &G, const Result<void> &End) {
  RunnerResult R;
  if (!End) {
    if (End.error().Kind == ErrorKind::ConnectFailed)
      R.What = RunnerResult::Kind::NoWork;
    return R;
  }
  R.What = saysNoWork(G.Head) ? RunnerResult::Kind::NoWork
                              : RunnerResult::Kind::Answered;
  R.Status = G.Head.Status;
  R.ContentType = findHeader(G.Head.Headers, "content-type");
  R.Answer = G.Body;
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
      Call.Number};
  Start.Endpoint = Call.Runner;
  Start.Where = Call.Where;
  Start.Head = headFor(Call);
  Start.Body = Call.Body;
  Start.ConnectTimeout = ConnectTimeout;
  Start.Timeout = LateAnswerTimeout;
  auto G = std::make_shared<Gathered>();
  CallObserver Observer;
  Observer.OnHead = [G](ResponseHead Head) { G->Head = std::move(Head); };
  Observer.OnData = [G](const std::string &Data) {
    if (G->Body.size() < MaxAnswerBytes)
      G->Body += Data;
    return Flow::Continue;
  };
  Observer.OnEnd = [G, Enter = Context.Enter,
                    Done = std::move(Done)](const Result<void> &End) {
    RunnerResult R = resultOf(*G, End);
    Enter([&](Effects &Next) { Done(R, Next); });
  };
  Out.add([StartHook = Context.Calls.Start, Start, Observer] {
    StartHook(Start, Observer);
  });
}

} // namespace celerybeam::detail
