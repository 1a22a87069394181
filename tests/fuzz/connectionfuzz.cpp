// Drives whole connections of callers, and the endpoints behind them, by a
// script: requests, bytes, splits, stalls, closes, resets and answers in any
// order, on a clock that the script drives.
//
// Besides crashes: an endpoint gets only what a caller has sent whole; a
// request that may run once never comes twice; one that was refused with the
// promise that it has not run has not; after a refusal of its own a connection
// hands nothing on; a request has one answer at most; and nothing is left in
// flight.

#include <algorithm>
#include <array>
#include <map>
#include <memory>

#include "fuzzing.h"
#include "relay/internal/responsehead.h"
#include "relay/tests/relayfixture.h"
#include "scriptedcaller.h"
#include "scriptedendpoint.h"

using namespace celerybeam;
using namespace celerybeam::fuzzing;

namespace {

constexpr std::size_t MostCallers = 3;
/// Last number of the first caller's IP number.
constexpr std::size_t FirstCaller = 2;
/// Steps of one script; a longer one is cut.
constexpr int MostSteps = 60;
constexpr int TurnsAtTheEnd = 12;
constexpr std::array<const char *, 5> Routes = {"book", "look", "draft", "ask",
                                                "nowhere"};

/// Spans by which a script moves the clock: below and above each of the
/// time-outs that a request can meet.
constexpr std::array<Duration, 8> Spans = {
    std::chrono::milliseconds(10),   std::chrono::milliseconds(290),
    std::chrono::milliseconds(450),  std::chrono::seconds(1),
    std::chrono::milliseconds(2900), std::chrono::milliseconds(3100),
    std::chrono::milliseconds(9900), std::chrono::milliseconds(15100)};

/// Made before the fixture that reads it.
struct ClockOfPlay {
  ScriptClock Clock;
};

class Play : ClockOfPlay, public testing::RelayFixture {
public:
  Play() : RelayFixture(Clock.reader()) {
    for (const char *Id : {"a", "b", "c", "d"})
      addScripted(Id, Endpoints_.size() < 2 ? "plain" : "engines");
    Front.onRefused([this](const ReadRefusal &Why) { refused(Why); });
    auto Decode = Context.Hooks.Decode;
    Context.Hooks.Decode = [this, Decode](const HttpServerRequest &R) {
      handedOn(R);
      return Decode(R);
    };
  }

  void run(Script Input) {
    for (int I = 0; I < MostSteps && !Input.empty(); ++I)
      step(Input);
    settle();
  }

private:
  void addScripted(const char *Id, const char *Pool) {
    Endpoints_.push_back(std::make_unique<ScriptedEndpoint>(
        Plans_, [this](const ArrivedRequest &R) { arrived(R); }));
    FleetEndpoint E;
    E.Id = EndpointId(Id);
    E.Key = endpointKeyOf(E.Id, 1);
    E.Pool = PoolName(Pool);
    E.Where = Address(Endpoints_.back()->address());
    E.Region = RegionId("kigali");
    E.Slots = 8;
    Fleet.putEndpoint(E);
  }

  void addCaller() {
    auto Last = static_cast<unsigned>(FirstCaller + Callers_.size());
    Callers_.push_back(
        std::make_unique<ScriptedCaller>(Front.address().str(), Last));
  }

  /// The caller that the script is at.
  ScriptedCaller &caller() {
    if (Callers_.empty())
      addCaller();
    return *Callers_[At_ % Callers_.size()];
  }

  void step(Script &Input) {
    switch (Input.byte() % 14) {
    case 0: {
      const char *Route = Routes[Input.byte() % Routes.size()];
      return caller().mean(nextId(), Route, Input.byte());
    }
    case 1:
      return caller().sendAll();
    case 2:
      return caller().send(1 + Input.byte());
    case 3:
      return caller().meanRaw(Input.text());
    case 4:
      return turns(1 + Input.byte() % 4);
    case 5:
      return caller().read();
    case 6:
      return caller().line().endSending();
    case 7:
      return (Input.byte() % 2 == 0) ? caller().line().close()
                                     : caller().line().reset();
    case 8:
      At_ = Input.byte() % MostCallers;
      if (At_ >= Callers_.size())
        addCaller();
      return;
    case 9:
      return plan(Input);
    case 10:
      release();
      return;
    case 11:
      // What falls due comes before what has arrived.
      Clock.Now += Spans[Input.byte() % Spans.size()];
      return Loop.timers().runDue(Clock.Now);
    case 12:
      // Stands still: both meet in the next turn.
      Clock.Now += Spans[Input.byte() % Spans.size()];
      return;
    default:
      // One handler alone, so that the next step comes between two.
      Loop.context().restart();
      Loop.context().poll_one();
    }
  }

  void plan(Script &Input) {
    AnswerPlan P;
    P.How = static_cast<AnswerPlan::Way>(
        Input.byte() % (static_cast<unsigned>(AnswerPlan::Way::Last) + 1));
    if (P.How == AnswerPlan::Way::Raw)
      P.Bytes = Input.text();
    Plans_.push_back(std::move(P));
  }

  bool release() {
    return std::any_of(Endpoints_.begin(), Endpoints_.end(),
                       [](const auto &E) { return E->release(); });
  }

  void turns(unsigned Count) {
    for (; Count > 0; --Count) {
      turn(Loop, Clock);
      for (const auto &E : Endpoints_)
        E->play();
    }
  }

  std::string nextId() {
    constexpr unsigned Width = 1000;
    return "q" + std::to_string(Width + ++Ids_) + ".";
  }

  /// Lets all that is under way end, and looks at what came of it.
  void settle() {
    Plans_.clear();
    for (int I = 0; I < TurnsAtTheEnd; ++I) {
      turns(2);
      while (release())
        turns(1);
      for (const auto &C : Callers_)
        C->read();
    }
    for (const auto &C : Callers_)
      check(*C);
    for (const auto &C : Callers_)
      C->line().reset();
    turns(TurnsAtTheEnd);
    expect(Front.inFlight() == 0, "nothing is left in flight");
  }

  /// How often callers have sent a request of this id whole, or may have.
  std::size_t timesSent(const std::string &Id) const {
    std::size_t Times = 0;
    for (const auto &C : Callers_) {
      if (!C->isRaw()) {
        Times += std::count_if(
            C->requests().begin(), C->requests().end(),
            [&](const auto &R) { return R.Id == Id && C->hasSentWhole(R); });
        continue;
      }
      for (std::size_t In = C->sent().find(Id); In != std::string::npos;
           In = C->sent().find(Id, In + 1))
        ++Times;
    }
    return Times;
  }

  bool anyRaw() const {
    return std::any_of(Callers_.begin(), Callers_.end(),
                       [](const auto &C) { return C->isRaw(); });
  }

  /// The request that a caller without bytes of the script meant by an id.
  std::pair<ScriptedCaller *, const MeantRequest *>
  meant(const std::string &Id) const {
    for (const auto &C : Callers_)
      for (const MeantRequest &R : C->requests())
        if (R.Id == Id && !C->isRaw())
          return {C.get(), &R};
    return {nullptr, nullptr};
  }

  void arrived(const ArrivedRequest &R) {
    auto [By, Meant] = meant(R.Id);
    if (Meant != nullptr && !anyRaw()) {
      expect(By->hasSentWhole(*Meant), "what arrives was sent whole");
      expect(R.Body == Meant->Body, "its body is the one that was sent");
      expect(R.Target == Meant->Target, "so is its target");
    }
    expect(anyRaw() || Meant != nullptr, "what arrives was sent by a caller");
    expect(R.Id.empty() || timesSent(R.Id) > 0, "its id was sent");
    if (R.Plan.How == AnswerPlan::Way::NotRun)
      return;
    // Bytes of the script may say that it has not run.
    if (R.Plan.How == AnswerPlan::Way::Raw)
      Doubtful_[R.Id] = true;
    std::size_t Times = ++Runs_[R.Id];
    if (R.Target.starts_with("/book/") && !R.Id.empty() && !Doubtful_[R.Id])
      expect(Times <= timesSent(R.Id), "a booking runs once");
  }

  void refused(const ReadRefusal &Why) {
    for (const auto &C : Callers_)
      if (C->ip() == Why.From)
        C->Refused = true;
  }

  void handedOn(const HttpServerRequest &R) {
    auto Id = findField(R.Head.Fields, "Request-Id");
    if (!Id)
      return;
    auto [By, Meant] = meant(std::string(*Id));
    if (Meant != nullptr && !anyRaw())
      expect(!By->Refused, "a connection that was refused hands nothing on");
  }

  void check(const ScriptedCaller &C) {
    if (C.isRaw())
      return;
    auto Answers = C.answers();
    expect(Answers.has_value(), "a caller gets a row of answers");
    auto Whole = static_cast<std::size_t>(
        std::count_if(C.requests().begin(), C.requests().end(),
                      [&](const auto &R) { return C.hasSentWhole(R); }));
    expect(Answers->size() <= Whole + (C.Refused ? 1 : 0),
           "a request has one answer at most");
    expect(Answers->size() <= C.requests().size(),
           "nothing that was not begun is answered");
    for (std::size_t I = 0; I < Answers->size(); ++I)
      checkAnswer((*Answers)[I], C.requests()[I]);
  }

  void checkAnswer(const SeenAnswer &Answer, const MeantRequest &To) {
    const std::string Id = field(Answer.Head, "Request-Id");
    expect(Id.empty() || Id == To.Id || Doubtful_[To.Id],
           "an answer belongs to its request");
    bool Ours = field(Answer.Head, "Signature").empty() && !Doubtful_[To.Id];
    if (Ours && detail::promisesNotRun(Answer.Status))
      expect(Runs_[To.Id] == 0, "what was refused has not run");
  }

  std::deque<AnswerPlan> Plans_;
  std::vector<std::unique_ptr<ScriptedEndpoint>> Endpoints_;
  std::vector<std::unique_ptr<ScriptedCaller>> Callers_;
  std::size_t At_ = 0;
  unsigned Ids_ = 0;
  std::map<std::string, std::size_t> Runs_;
  std::map<std::string, bool> Doubtful_;
};

} // namespace

// NOLINTNEXTLINE: name of libFuzzer
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  Play().run(Script(Data, Size));
  return 0;
}
