#include "fakeengine.h"

#include <algorithm>
#include <mutex>
#include <optional>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "fakemode.h"
#include "faketokens.h"

namespace celerybeam::fakes {

namespace {

const std::string CancelPrefix = "/v1/requests/";

FakeReply plainReply(int Status) {
  FakeReply R;
  R.Status = Status;
  return R;
}

/// A stream under way; it holds its slot.
struct TokenStream {
  FakeCompletion Request;
  std::shared_ptr<FakeScheduler::Work> Work;
  std::uint64_t Next = 0;
  Millis Wait{};
  Millis Gap{};
  bool Done = false;

  std::optional<std::string> nextPart() {
    if (Done)
      return std::string();
    if (Next >= Request.Tokens) {
      Done = true;
      return "data: [DONE]\n\n";
    }
    if (!Work->sleep(std::exchange(Wait, Gap)))
      return std::nullopt;
    return tokenEvent(Request, Next++);
  }
};

} // namespace

class FakeEngine::Impl {
public:
  Impl(std::uint16_t Port, FakeEngineSettings Settings)
      : Settings_(std::move(Settings)), Scheduler_(Settings_.Limits),
        Mode_(Scheduler_, Settings_.Crash),
        Loaded_(Settings_.Models.begin(), Settings_.Models.end()),
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
    if (R.Path == "/load")
      return loadReply();
    if (R.Path.starts_with(CancelPrefix) && R.Method == "DELETE") {
      Scheduler_.cancel(R.Path.substr(CancelPrefix.size()) + "/" +
                        R.query("attempt"));
      return plainReply(204);
    }
    if (R.Path == "/v1/orders")
      return takeOrder(R);
    if (R.Path == "/v1/completions" || R.Path == "/v1/chat/completions")
      return Mode_.mark(R, complete(R));
    return plainReply(404);
  }

  FakeReply complete(const FakeRequest &R) {
    const FakeCompletion C = readCompletion(R.Path, R.Body);
    if (!isLoaded(C.Model))
      return jsonReply(404, R"({"error":{"message":"model not loaded"}})");
    if (std::optional<FakeReply> Refusal = Mode_.refuse())
      return *Refusal;
    if (Scheduler_.queueIsFull())
      return plainReply(429);
    auto Work =
        Scheduler_.enter(R.header("x-request-id") + "/" + R.header("x-attempt"),
                         static_cast<int>(R.headerNumber("x-priority", 0)));
    if (!Work)
      return cutOffReply();
    if (Mode_.crashesOn(C.Prompt))
      Settings_.Crash();
    return C.Stream ? stream(C, Work, R.headerNumber("x-resume-from", 0))
                    : whole(C, *Work);
  }

  FakeReply stream(const FakeCompletion &C,
                   std::shared_ptr<FakeScheduler::Work> Work,
                   std::uint64_t From) const {
    auto S = std::make_shared<TokenStream>();
    S->Request = C;
    S->Work = std::move(Work);
    S->Next = From;
    S->Wait = Settings_.FirstToken;
    S->Gap = Settings_.TokenGap;
    FakeReply Reply;
    Reply.Headers = {{"Content-Type", "text/event-stream"}};
    Reply.NextPart = [S] { return S->nextPart(); };
    return Reply;
  }

  FakeReply whole(const FakeCompletion &C, FakeScheduler::Work &Work) const {
    const Millis Time = Settings_.FirstToken + C.Tokens * Settings_.TokenGap;
    return Work.sleep(Time) ? jsonReply(200, wholeAnswer(C)) : cutOffReply();
  }

  FakeReply loadReply() {
    nlohmann::json Load = Mode_.loadPage(Settings_.Limits);
    std::lock_guard Lock(Mutex_);
    finishLoading();
    Load["loaded"] = Loaded_;
    return jsonReply(200, Load.dump());
  }

  bool isLoaded(const std::string &Model) {
    std::lock_guard Lock(Mutex_);
    finishLoading();
    return Loaded_.contains(Model);
  }

  void finishLoading() {
    const Clock::time_point Now = Clock::now();
    std::erase_if(Loading_, [&](const auto &Entry) {
      if (Entry.second > Now)
        return false;
      Loaded_.insert(Entry.first);
      return true;
    });
  }

  FakeReply takeOrder(const FakeRequest &R) {
    const nlohmann::json Order = nlohmann::json::parse(R.Body);
    const auto Fencing = Order.at("fencing").get<std::uint64_t>();
    const auto Kind = Order.at("order").get<std::string>();
    std::lock_guard Lock(Mutex_);
    if (Settings_.VerifyFencing && Fencing < HighestFencing_)
      return jsonReply(409,
                       nlohmann::json{{"fencing", HighestFencing_}}.dump());
    HighestFencing_ = std::max(HighestFencing_, Fencing);
    if (Kind == "load") {
      Loading_[Order.at("model")] = Clock::now() + Settings_.LoadTime;
    } else if (Kind == "unload") {
      Loading_.erase(Order.at("model"));
      Loaded_.erase(Order.at("model"));
    }
    return plainReply(202);
  }

  const FakeEngineSettings Settings_;
  FakeScheduler Scheduler_;
  FakeMode Mode_;
  std::mutex Mutex_;
  std::set<std::string> Loaded_;
  std::map<std::string, Clock::time_point> Loading_;
  std::uint64_t HighestFencing_ = 0;
  // Last, since it calls the members above from its threads.
  FakeServer Server_;
};

FakeEngine::FakeEngine(std::uint16_t Port, FakeEngineSettings Settings)
    : Impl_(std::make_unique<Impl>(Port, std::move(Settings))) {}

FakeEngine::~FakeEngine() = default;

std::uint16_t FakeEngine::port() const { return Impl_->port(); }

std::string FakeEngine::address() const {
  return "127.0.0.1:" + std::to_string(port());
}

void FakeEngine::stop() { Impl_->stop(); }

} // namespace celerybeam::fakes
