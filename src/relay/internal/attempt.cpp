#include "relay/internal/attempt.h"

#include "relay/internal/answerhead.h"

namespace celerybeam::detail {

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned Misdirected = 421;

} // namespace

Attempt::Attempt(RelayContext &Context, RequestId Id, bool ToHost, bool Streams,
                 EventCutter &Cutter, AttemptHooks Hooks)
    : Context_(Context), Id_(std::move(Id)), ToHost_(ToHost), Streams_(Streams),
      Cutter_(Cutter), Hooks_(std::move(Hooks)),
      Held_(Context.Answers, ByteBudget::MostOfOneAnswer) {}

void Attempt::start(HttpCallRequest Request) {
  Sent_ = Context_.Time.Now();
  Cutter_.beginRun();
  auto Self = shared_from_this();
  HttpCallHooks Hooks;
  Hooks.BeforeSend = Hooks_.BeforeSend;
  Hooks.Head = [Self](const HttpResponseHead &Head) {
    return Self->takeHead(Head);
  };
  Hooks.Body = [Self](std::string_view Data) { return Self->takeBody(Data); };
  Hooks.End = [Self](HttpCallEnd End) { Self->ended(End); };
  Call_ = Context_.Caller.call(std::move(Request), std::move(Hooks));
}

void Attempt::cancel() {
  if (Call_)
    Call_->cancel();
  Call_.reset();
  Cancelled_ = true;
  // The captures of a running hook must stay alive until it returns.
  if (!Telling_)
    Hooks_ = {};
}

Duration Attempt::sinceSent() const { return Context_.Time.Now() - Sent_; }

HeadVerdict Attempt::takeHead(const HttpResponseHead &Head) {
  AnswerKind Kind =
      classifyAnswer(Head, Context_.Names, Id_, {ToHost_, Call_->isReused()});
  if (Kind == AnswerKind::Spoiled)
    return HeadVerdict::Spoiled;
  takeWillingness(Head);
  if (Kind == AnswerKind::OfAnother)
    return HeadVerdict::Skip;
  auto Text = findField(Head.Fields, Context_.Names.Load);
  auto Said = Text ? Context_.Hooks.DecodeLoad(*Text) : std::nullopt;
  if (Said)
    Slowness_ = Said->Slowness;
  Head_ = Head;
  NotRun_ = Kind == AnswerKind::NotRun;
  Events_ = !NotRun_ && Streams_ && Head.Status == Ok;
  return HeadVerdict::Take;
}

void Attempt::takeWillingness(const HttpResponseHead &Head) {
  // The response comes from another endpoint that now has this address.
  if (Head.Status == Misdirected || !Context_.Hooks.DecodeWillingness)
    return;
  Willingness_ = Context_.Hooks.DecodeWillingness(Head);
  if (Hooks_.Said && (Willingness_.Leaving || wantsRest()))
    Hooks_.Said(Willingness_);
}

bool Attempt::takeBody(std::string_view Data) {
  if (NotRun_)
    return true;
  if (!Events_) {
    if (!Held_.take(Data.size()))
      return false;
    Body_ += Data;
    return true;
  }
  std::string Whole = Cutter_.take(Data);
  if (Cutter_.isEndless())
    return false;
  if (Whole.empty() || Cancelled_)
    return true;
  auto Self = shared_from_this();
  Telling_ = true;
  Hooks_.Events(Whole);
  Telling_ = false;
  if (Cancelled_)
    Hooks_ = {};
  return true;
}

void Attempt::ended(HttpCallEnd End) {
  Call_.reset();
  // The hook may start another attempt, which destroys this one.
  auto Tell = std::move(Hooks_.End);
  Hooks_ = {};
  if (!Tell)
    return;
  if (End != HttpCallEnd::Complete)
    return Tell(End == HttpCallEnd::NotConnected ? AttemptEnd::NotConnected
                                                 : AttemptEnd::Broken);
  if (NotRun_)
    return Tell(AttemptEnd::NotRun);
  if (!Events_)
    return Tell(AttemptEnd::Answered);
  Tell(Cutter_.outOfOrder() ? AttemptEnd::Broken : AttemptEnd::StreamEnded);
}

} // namespace celerybeam::detail
