#include "relay/requestrelay.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

#include "relay/eventcutter.h"
#include "relay/internal/answerhead.h"

namespace celerybeam {

namespace {

constexpr unsigned BadRequest = 400;
constexpr unsigned NotFound = 404;
constexpr unsigned Misdirected = 421;
constexpr unsigned ServerFailure = 500;
constexpr unsigned NotRun = 503;
constexpr unsigned Ok = 200;
constexpr unsigned FirstFailure = 400;

/// When to come back while no tables are known: a host that has just started
/// has them within this time.
constexpr Duration TablesWait = std::chrono::milliseconds(300);
/// A request waits for the tables of a host that has just started for this
/// long: two round trips to a store in another region, and some.
constexpr Duration MostTablesWait = std::chrono::milliseconds(500);
constexpr Duration TablesPoll = std::chrono::milliseconds(20);
/// A route that is missing may only be new, and the tables here old.
constexpr Duration NewTablesWait = std::chrono::milliseconds(500);
/// A repeatable request is tried elsewhere when its first output is later than
/// this multiple of the prediction, and this much more.
constexpr int StallFactor = 3;
constexpr Duration StallMargin = std::chrono::milliseconds(400);
/// Connecting to a host of another region takes a round trip between regions.
constexpr Duration FarConnectTimeout = std::chrono::milliseconds(600);
constexpr Duration NearConnectTimeout = std::chrono::milliseconds(300);
/// An idle connection to an endpoint is used again within this time, and only
/// for requests that may be repeated: it may have died unnoticed.
constexpr Duration ReuseForRepeatable = std::chrono::seconds(2);
constexpr unsigned LowestPriority = 9;

long millisOf(Duration D) {
  return static_cast<long>(
      std::chrono::duration_cast<std::chrono::milliseconds>(D).count());
}

/// Seconds with three decimals.
std::string secondsText(Duration D) {
  constexpr double MillisPerSecond = 1000;
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.3f",
                static_cast<double>(millisOf(D)) / MillisPerSecond);
  return Text.data();
}

/// A whole number at the start of a text; 0 when there is none.
unsigned numberIn(std::string_view Text) {
  unsigned Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

class Relay : public std::enable_shared_from_this<Relay> {
public:
  Relay(RelayContext &Context, HttpServerRequest Request,
        std::shared_ptr<HttpExchange> Answer, bool FromHost)
      : Context_(Context), Request_(std::move(Request)),
        Answer_(std::move(Answer)), FromHost_(FromHost) {}

  void start() {
    auto Decoded = Context_.Hooks.Decode(Request_);
    if (!Decoded)
      return refuseCaller(BadRequest, Decoded.error().Message);
    Descriptor_ = std::move(*Decoded);
    Descriptor_.Forwarded = FromHost_;
    if (FromHost_)
      takeHostFields();
    Record_.Id = Descriptor_.Id;
    Record_.Forwarded = FromHost_;
    Answer_->onGone([Self = shared_from_this()] { Self->callerLeft(); });
    begin();
  }

private:
  void begin() {
    if (Over_)
      return;
    // A host that has just started learns within moments.
    if (!Context_.Hooks.IsInformed())
      return waitForTables();
    Tables_ = Context_.Fleet.tables();
    Record_.TablesVersion = Tables_->Version;
    Route_ = Tables_->find(Descriptor_.Host, Descriptor_.Target);
    if (Route_ == nullptr)
      return noRoute();
    Record_.Route = Route_->Name;
    if (Context_.Refusing)
      return refuse({Duration::zero(), "leaving"});
    TimeoutAt_ =
        std::min(Request_.Arrived + Route_->Timeout, Descriptor_.Deadline);
    Descriptor_.Deadline = TimeoutAt_;
    startTimer();
    attempt();
  }

  void waitForTables() {
    if (Context_.Time.Now() - Request_.Arrived >= MostTablesWait)
      return refuse({TablesWait, "no_tables"});
    Context_.Time.After(TablesPoll,
                        [Self = shared_from_this()] { Self->begin(); });
  }

  void startTimer() {
    Context_.Time.After(
        std::max(Duration::zero(), TimeoutAt_ - Context_.Time.Now()),
        [Weak = weak_from_this()] {
          if (auto Self = Weak.lock())
            Self->timedOut();
        });
  }

  /// What another entry host says of the request that it passes on.
  void takeHostFields() {
    HttpFields &Fields = Request_.Head.Fields;
    if (auto Runs = findField(Fields, RunsField))
      Descriptor_.RunsLeft = numberIn(*Runs);
    if (auto Waited = findField(Fields, WaitedField))
      Descriptor_.WaitedBefore = std::chrono::milliseconds(numberIn(*Waited));
    removeField(Fields, RunsField);
    removeField(Fields, WaitedField);
  }

  void noRoute() {
    if (!Context_.Hooks.TablesCurrent())
      return refuse({NewTablesWait, "tables_may_be_old"});
    refuseCaller(NotFound, "no route of this host begins the path");
  }

  void refuseCaller(unsigned Status, const std::string &Why) {
    finishWith({Status, {{"Content-Type", "text/plain"}}}, Why + "\n",
               Status == NotFound ? "no_route" : "bad_request");
  }

  void refuse(const Refusal &Why) {
    Record_.RetryAfter = Why.RetryAfter;
    HttpResponseHead Head{NotRun,
                          {{"Content-Type", "text/plain"},
                           {"Retry-After", secondsText(Why.RetryAfter)}}};
    if (FromHost_)
      Head.Fields.push_back({NotRunField, "1"});
    finishWith(std::move(Head), "not run: " + Why.Reason + "\n", Why.Reason);
  }

  /// Final answer of our own after the request may have been sent.
  void giveUp(bool TimedOut, const std::string &Why) {
    if (Streaming_)
      return breakStream(Why);
    if (Failure_)
      return finishWith(std::move(Failure_->first), Failure_->second,
                        "endpoint_failed");
    if (provenNotRun(Log_.Known) && !TimedOut)
      return refuse(
          {Context_.Time.Now() < TimeoutAt_ ? TablesWait : Duration::zero(),
           Why});
    finishWith(
        {failureStatus(Log_.Known, TimedOut), {{"Content-Type", "text/plain"}}},
        Why + "\n", Why);
  }

  void attempt() {
    auto Decision = Context_.Decisions.choose(Descriptor_, *Route_, Log_);
    Record_.Pool = Log_.Pool;
    if (auto *Wait = std::get_if<Hold>(&Decision))
      return hold(*Wait);
    stopHolding();
    if (auto *Here = std::get_if<ServeAt>(&Decision))
      return serveAt(std::move(*Here));
    if (auto *Away = std::get_if<PassOn>(&Decision))
      return passOn(*Away);
    const auto &Why = std::get<Refusal>(Decision);
    if (provenNotRun(Log_.Known) && !Streaming_)
      return refuse(Why);
    giveUp(false, Why.Reason);
  }

  void hold(const Hold &Wait) {
    if (Log_.Held)
      return;
    Log_.Held = true;
    note("held", Wait.Expected, 0);
    HeldRequest Held;
    Held.Pool = Log_.Pool;
    Held.Rank = Route_->Rank;
    Held.Arrived = Request_.Arrived;
    Held.BestBefore = Wait.BestBefore;
    Held.GiveUpAt = Wait.GiveUpAt;
    Held.Tokens = std::max(1U, Descriptor_.PromptTokens);
    Held.Offer = [Self = shared_from_this()] {
      Self->attempt();
      return !Self->Log_.Held;
    };
    HoldId_ = Context_.Decisions.held().add(std::move(Held));
    Context_.Hooks.LoadChanged();
  }

  void stopHolding() {
    if (!Log_.Held)
      return;
    Log_.Held = false;
    Context_.Decisions.held().remove(HoldId_);
  }

  HttpCallRequest callTo(const Address &To) {
    HttpCallRequest Call;
    Call.To = To;
    Call.Head = detail::outgoingHead(Request_.Head, Context_.Names,
                                     TimeoutAt_ - Context_.Time.Now());
    Call.Body = Request_.Body;
    return Call;
  }

  void serveAt(ServeAt Choice) {
    Here_ = std::move(Choice);
    Work_ = Context_.Decisions.begin(Descriptor_, *Route_, *Here_, Log_);
    Context_.Hooks.LoadChanged();
    const WireNames &Names = Context_.Names;
    HttpCallRequest Call = callTo(Here_->Endpoint.Where);
    setField(Call.Head.Fields, Names.ExpectedEndpoint,
             Here_->Endpoint.Id.str());
    if (Descriptor_.PromptTokens > 0)
      setField(Call.Head.Fields, Names.Priority,
               std::to_string(std::min(Route_->Rank, LowestPriority)));
    if (!Here_->CopyFrom.empty())
      setField(Call.Head.Fields, Names.CopyFrom, Here_->CopyFrom.str());
    if (!Cutter_.lastId().empty())
      setField(Call.Head.Fields, Names.LastEventId, Cutter_.lastId());
    Call.ConnectTimeout = NearConnectTimeout;
    if (mayRepeat(Route_->Kind))
      Call.ReuseIdleAtMost = ReuseForRepeatable;
    note(Here_->Endpoint.Id.str(), Here_->Expected.ToFirstOutput,
         Here_->Expected.UncachedTokens);
    watchForStall(Here_->Expected.ToFirstOutput);
    beginCall(std::move(Call));
  }

  void passOn(const PassOn &Choice) {
    Here_.reset();
    PeerIp_ = Choice.Host.Ip;
    Record_.PassedOn = true;
    Context_.Decisions.passedOn(Descriptor_, Choice, Log_);
    HttpCallRequest Call =
        callTo(Address(Choice.Host.Ip + ":" + Context_.HostPort));
    if (!Cutter_.lastId().empty())
      setField(Call.Head.Fields, Context_.Names.LastEventId, Cutter_.lastId());
    Allotted_ = Dispatcher::runsLeft(Descriptor_, *Route_, Log_);
    setField(Call.Head.Fields, RunsField, std::to_string(Allotted_));
    setField(Call.Head.Fields, WaitedField,
             std::to_string(millisOf(Context_.Time.Now() - Request_.Arrived)));
    Call.ConnectTimeout = FarConnectTimeout;
    Call.ReuseIdleAtMost = HttpCaller::MaxIdleTime;
    note("via " + Choice.Host.Id.str(), Choice.Expected, 0);
    beginCall(std::move(Call));
  }

  void note(const std::string &Where, Duration Expected, unsigned Uncached) {
    if (Log_.Sends == 1)
      Record_.Expected = Expected;
    Record_.Attempts += (Record_.Attempts.empty() ? "" : "; ") + Where +
                        " expected_ms=" + std::to_string(millisOf(Expected));
    if (Uncached > 0)
      Record_.Attempts += " uncached=" + std::to_string(Uncached);
  }

  void beginCall(HttpCallRequest Call) {
    Sent_ = Context_.Time.Now();
    Refused_ = false;
    GotOutput_ = false;
    Head_ = {};
    Body_.clear();
    Cutter_.beginRun();
    auto Self = shared_from_this();
    HttpCallHooks Hooks;
    Hooks.Head = [Self](const HttpResponseHead &Head) {
      return Self->takeHead(Head);
    };
    Hooks.Body = [Self](std::string_view Data) { Self->takeBody(Data); };
    Hooks.End = [Self](HttpCallEnd End) { Self->callEnded(End); };
    Call_ = Context_.Caller.call(std::move(Call), std::move(Hooks));
  }

  void watchForStall(Duration Expected) {
    if (!mayRepeat(Route_->Kind))
      return;
    Context_.Time.After(Expected * StallFactor + StallMargin,
                        [Weak = weak_from_this(), Number = Log_.Sends] {
                          auto Self = Weak.lock();
                          if (Self && !Self->Over_ &&
                              Self->Log_.Sends == Number && !Self->GotOutput_)
                            Self->stalled();
                        });
  }

  void stalled() {
    if (!Call_ || !Here_)
      return;
    AttemptLog After = Log_;
    After.Known = ExecutionKnowledge::Unknown;
    After.Runs += 1;
    // Another attempt only if one can be made: the present one may still end
    // well.
    auto Next = Context_.Decisions.choose(Descriptor_, *Route_, After);
    if (std::holds_alternative<Refusal>(Next) ||
        !Context_.Decisions.mayTryAgain(Descriptor_, *Route_, After))
      return;
    Call_->cancel();
    Call_.reset();
    endHere(AttemptOutcome::Failed);
    Record_.Attempts += " stalled";
    Log_ = After;
    attempt();
  }

  HeadVerdict takeHead(const HttpResponseHead &Head) {
    using detail::AnswerKind;
    AnswerKind Kind =
        detail::classifyAnswer(Head, Context_.Names, Descriptor_.Id);
    if (Kind == AnswerKind::OfAnother)
      return HeadVerdict::Skip;
    if (Kind == AnswerKind::Spoiled)
      return HeadVerdict::Spoiled;
    if (Here_)
      takeLoad(Head);
    Head_ = Head;
    Refused_ = Kind == AnswerKind::NotRun;
    Events_ = !Refused_ && isStream(Route_->Kind) && Head.Status == Ok;
    return HeadVerdict::Take;
  }

  void takeLoad(const HttpResponseHead &Head) {
    auto Text = findField(Head.Fields, Context_.Names.Load);
    auto Said = Text ? Context_.Hooks.DecodeLoad(*Text) : std::nullopt;
    if (Said && Said->Slowness)
      Context_.Decisions.predictor().saidSlowness(Here_->Endpoint.Key,
                                                  *Said->Slowness);
  }

  void firstOutput() {
    if (GotOutput_)
      return;
    GotOutput_ = true;
    Duration Took = Context_.Time.Now() - Sent_;
    if (Record_.FirstOutput == Duration::zero())
      Record_.FirstOutput = Context_.Time.Now() - Request_.Arrived;
    if (!Here_)
      return;
    Context_.Decisions.firstOutput(*Here_, Work_, Took);
    Context_.Hooks.LoadChanged();
  }

  void takeBody(std::string_view Data) {
    if (Refused_)
      return;
    if (!Events_) {
      Body_ += Data;
      return;
    }
    std::string Whole = Cutter_.take(Data);
    if (Whole.empty())
      return;
    firstOutput();
    TimePoint Now = Context_.Time.Now();
    if (Streaming_)
      Record_.LongestGap = std::max(Record_.LongestGap, Now - LastPiece_);
    LastPiece_ = Now;
    if (!Streaming_) {
      Streaming_ = true;
      Answer_->beginStream(callerHead());
    }
    Answer_->streamPiece(Whole);
  }

  /// The endpoint's head as the caller gets it.
  HttpResponseHead callerHead() {
    HttpResponseHead Head = Head_;
    removeConnectionFields(Head.Fields);
    removeField(Head.Fields, RunsField);
    // What endpoints say of themselves is of use to entry hosts only.
    if (!FromHost_)
      removeField(Head.Fields, Context_.Names.Load);
    return Head;
  }

  void endHere(AttemptOutcome Outcome) {
    if (!Here_)
      return;
    Context_.Decisions.end(*Here_, Work_, Outcome);
    Here_.reset();
    Context_.Hooks.LoadChanged();
  }

  void callEnded(HttpCallEnd End) {
    Call_.reset();
    if (Over_)
      return;
    if (End == HttpCallEnd::Complete)
      return Refused_ ? refusedThere() : answered();
    Record_.Attempts +=
        End == HttpCallEnd::NotConnected ? " not_connected" : " broken";
    if (End == HttpCallEnd::NotConnected) {
      if (!Here_)
        Context_.Hosts.unreachable(PeerIp_);
      endHere(AttemptOutcome::Broken);
      return attempt();
    }
    broken();
  }

  void refusedThere() {
    Record_.Attempts += " refused=" + std::to_string(Head_.Status);
    Log_.Known = combine(Log_.Known, ExecutionKnowledge::RefusedByEndpoint);
    bool ByHost = !Here_;
    if (Here_ && Head_.Status == Misdirected)
      Context_.Fleet.noteLeaving(Here_->Endpoint.Id);
    endHere(Head_.Status == Misdirected ? AttemptOutcome::Answered
                                        : AttemptOutcome::Failed);
    // A refusal by an entry host reached no endpoint and costs no retry.
    if (ByHost || Context_.Decisions.mayTryAgain(Descriptor_, *Route_, Log_))
      return attempt();
    giveUp(false, "refused_by_endpoint");
  }

  void broken() {
    Log_.Known = combine(Log_.Known, ExecutionKnowledge::Unknown);
    Log_.Runs += Here_ ? 1 : Allotted_;
    if (Here_)
      Context_.Decisions.crashes().crashed(Descriptor_.Fingerprint);
    endHere(AttemptOutcome::Broken);
    if (Context_.Decisions.mayTryAgain(Descriptor_, *Route_, Log_))
      return attempt();
    giveUp(false, "endpoint_broke_off");
  }

  void answered() {
    bool Stamped =
        findField(Head_.Fields, Context_.Names.Signature).has_value();
    Log_.Known = combine(Log_.Known, Stamped ? ExecutionKnowledge::Ran
                                             : ExecutionKnowledge::Unknown);
    Log_.Runs += Here_ ? 1 : runsThere();
    bool Failed = Head_.Status >= ServerFailure;
    if (Events_)
      return streamEnded();
    if (!Failed) {
      firstOutput();
      Context_.Decisions.crashes().succeeded(Descriptor_.Fingerprint);
    }
    endHere(Failed ? AttemptOutcome::Failed : AttemptOutcome::Answered);
    Record_.Attempts += " status=" + std::to_string(Head_.Status);
    if (Streaming_ && !Failed)
      return breakStream("endpoint_failed");
    if (!Failed)
      return finishWith(callerHead(), std::exchange(Body_, {}), "answered");
    if (Stamped && !Streaming_)
      Failure_ = {callerHead(), std::exchange(Body_, {})};
    if (mayRepeat(Route_->Kind) &&
        Context_.Decisions.mayTryAgain(Descriptor_, *Route_, Log_))
      return attempt();
    giveUp(false, "endpoint_failed");
  }

  /// On how many endpoints the other entry host's answer says that the request
  /// has run; all that it was allotted when it does not say.
  unsigned runsThere() const {
    auto Runs = findField(Head_.Fields, RunsField);
    return Runs ? numberIn(*Runs) : Allotted_;
  }

  void streamEnded() {
    if (Cutter_.outOfOrder())
      return broken();
    Context_.Decisions.crashes().succeeded(Descriptor_.Fingerprint);
    endHere(AttemptOutcome::Answered);
    if (!Streaming_)
      return finishWith(callerHead(), Cutter_.partial(), "answered");
    Answer_->streamPiece(Cutter_.partial());
    Answer_->endStream();
    done(Ok, "answered");
  }

  void breakStream(const std::string &Why) {
    Answer_->abort();
    done(0, "stream_broken_" + Why);
  }

  void timedOut() {
    if (Over_)
      return;
    stopHolding();
    if (Call_) {
      Log_.Known = combine(Log_.Known, ExecutionKnowledge::Unknown);
      Call_->cancel();
      Call_.reset();
    }
    endHere(GotOutput_ ? AttemptOutcome::Answered : AttemptOutcome::Failed);
    giveUp(true, "timeout");
  }

  void callerLeft() {
    if (Over_)
      return;
    stopHolding();
    if (Call_)
      Call_->cancel();
    Call_.reset();
    endHere(AttemptOutcome::Answered);
    done(0, "caller_left");
  }

  void finishWith(HttpResponseHead Head, const std::string &Body,
                  const std::string &Outcome) {
    unsigned Status = Head.Status;
    if (Status >= FirstFailure && !Descriptor_.Id.empty() &&
        !findField(Head.Fields, Context_.Names.RequestId))
      Head.Fields.push_back({Context_.Names.RequestId, Descriptor_.Id.str()});
    if (FromHost_)
      setField(Head.Fields, RunsField, std::to_string(Log_.Runs));
    Answer_->respond(std::move(Head), Body);
    done(Status, Outcome);
  }

  void done(unsigned Status, const std::string &Outcome) {
    Over_ = true;
    Record_.Status = Status;
    Record_.Outcome = Outcome;
    Record_.Known = Log_.Known;
    Record_.Seen = Log_.Seen;
    Record_.Sends = Log_.Sends;
    Record_.Total = Context_.Time.Now() - Request_.Arrived;
    Answer_.reset();
    if (Context_.Hooks.Done)
      Context_.Hooks.Done(Record_);
  }

  RelayContext &Context_;
  HttpServerRequest Request_;
  std::shared_ptr<HttpExchange> Answer_;
  bool FromHost_;
  RequestDescriptor Descriptor_;
  FleetTablesPtr Tables_;
  const FleetRoute *Route_ = nullptr;
  AttemptLog Log_;
  RequestRecord Record_;
  TimePoint TimeoutAt_{};
  bool Over_ = false;
  /// The attempt under way.
  std::optional<ServeAt> Here_;
  std::string PeerIp_;
  /// Runs that the other entry host was allowed.
  unsigned Allotted_ = 0;
  WorkId Work_;
  HoldId HoldId_;
  std::shared_ptr<HttpCall> Call_;
  TimePoint Sent_{};
  TimePoint LastPiece_{};
  bool Refused_ = false;
  bool GotOutput_ = false;
  bool Events_ = false;
  HttpResponseHead Head_;
  std::string Body_;
  /// An endpoint's whole answer that was a failure, for the caller if no other
  /// attempt does better.
  std::optional<std::pair<HttpResponseHead, std::string>> Failure_;
  /// The answer to the caller.
  bool Streaming_ = false;
  EventCutter Cutter_;
};

} // namespace

void relayRequest(RelayContext &Context, HttpServerRequest Request,
                  std::shared_ptr<HttpExchange> Answer, bool FromHost) {
  std::make_shared<Relay>(Context, std::move(Request), std::move(Answer),
                          FromHost)
      ->start();
}

} // namespace celerybeam
