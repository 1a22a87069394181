#include "relay/internal/attempt.h"

#include "relay/internal/responsehead.h"

namespace celerybeam::detail {

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned FirstNoSuccess = 300;
constexpr unsigned Misdirected = 421;

const char *nameOf(ResponseFraming Framing) {
  switch (Framing) {
  case ResponseFraming::Length:
    return "length";
  case ResponseFraming::Chunks:
    return "chunks";
  case ResponseFraming::Close:
    return "close";
  }
  return "";
}

const char *nameOf(PeerClose Close) {
  switch (Close) {
  case PeerClose::None:
    return "open";
  case PeerClose::Closed:
    return "closed";
  case PeerClose::Reset:
    return "reset";
  case PeerClose::Silent:
    return "silent";
  }
  return "";
}

} // namespace

Attempt::Attempt(RelayContext &Context, RequestId Id, bool ToHost, bool Streams,
                 EventSplitter &Splitter, AttemptHooks Hooks)
    : Context_(Context), Id_(std::move(Id)), ToHost_(ToHost), Streams_(Streams),
      Splitter_(Splitter), Hooks_(std::move(Hooks)),
      BodyShare_(Context.Responses, ByteBudget::MaxResponseBytes) {}

void Attempt::start(HttpCallRequest Request) {
  Sent_ = Context_.Time.Now();
  Splitter_.beginRun();
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
  if (!InEventsHook_)
    Hooks_ = {};
}

Duration Attempt::sinceSent() const { return Context_.Time.Now() - Sent_; }

HeadVerdict Attempt::takeHead(const HttpResponseHead &Head) {
  ResponseKind Kind =
      classifyResponse(Head, Context_.Names, Id_, {ToHost_, Call_->isReused()});
  if (Kind == ResponseKind::Invalid)
    return HeadVerdict::Invalid;
  takeAvailability(Head);
  if (Kind == ResponseKind::OtherRequest)
    return HeadVerdict::Skip;
  auto Text = findField(Head.Fields, Context_.Names.Load);
  auto Load = Text ? Context_.Hooks.DecodeLoad(*Text) : std::nullopt;
  if (Load)
    Slowness_ = Load->Slowness;
  Head_ = Head;
  NotRun_ = Kind == ResponseKind::NotRun;
  Events_ = !NotRun_ && Streams_ && Head.Status == Ok;
  return HeadVerdict::Accept;
}

void Attempt::takeAvailability(const HttpResponseHead &Head) {
  // A 421 comes from another endpoint that now has this address. What it
  // reports concerns itself, not the endpoint that was chosen.
  if (Head.Status == Misdirected || !Context_.Hooks.DecodeAvailability)
    return;
  Availability_ = Context_.Hooks.DecodeAvailability(Head);
  if (Hooks_.AvailabilityReported && (Availability_.Leaving || wantsBackOff()))
    Hooks_.AvailabilityReported(Availability_);
}

bool Attempt::takeBody(std::string_view Data) {
  if (NotRun_)
    return true;
  if (!Events_) {
    if (!BodyShare_.take(Data.size()))
      return false;
    Body_ += Data;
    return true;
  }
  std::string Whole = Splitter_.take(Data);
  // The hook may destroy the splitter.
  bool Continue = !Splitter_.isEndless() && !Splitter_.outOfOrder();
  if (Whole.empty() || Cancelled_)
    return Continue;
  auto Self = shared_from_this();
  InEventsHook_ = true;
  Hooks_.Events(Whole);
  InEventsHook_ = false;
  if (Cancelled_)
    Hooks_ = {};
  return Continue;
}

const ResponseProgress &Attempt::progress() const {
  return Call_ ? Call_->progress() : Progress_;
}

std::string Attempt::describeReceived() const {
  const ResponseProgress &Got = progress();
  std::string Text = std::string(" peer=") + nameOf(Got.Peer);
  if (!Got.Framing)
    return Text;
  Text += std::string(" framing=") + nameOf(*Got.Framing) +
          " bytes=" + std::to_string(Got.BodyBytes);
  if (Events_)
    Text += " events=" + std::to_string(Splitter_.delivered()) +
            " rest=" + std::to_string(Splitter_.partial().size());
  return Text;
}

void Attempt::ended(HttpCallEnd End) {
  if (Call_)
    Progress_ = Call_->progress();
  Call_.reset();
  // The hook may start another attempt, which destroys this one.
  auto Notify = std::move(Hooks_.End);
  Hooks_ = {};
  if (!Notify)
    return;
  // The head alone states it; what is missing of the body changes nothing.
  if (NotRun_)
    return Notify(AttemptEnd::NotRun);
  bool Ended = End == HttpCallEnd::Complete || End == HttpCallEnd::Unmarked;
  if (!Ended)
    return Notify(End == HttpCallEnd::NotConnected ? AttemptEnd::NotConnected
                                                   : AttemptEnd::Broken);
  if (!isWhole(End))
    return Notify(AttemptEnd::Broken);
  Notify(Events_ ? AttemptEnd::StreamEnded : AttemptEnd::Answered);
}

bool Attempt::isWhole(HttpCallEnd End) const {
  if (End == HttpCallEnd::Complete)
    return !Events_ || Splitter_.mayEnd();
  // Entry hosts mark the end of every response.
  if (ToHost_)
    return false;
  if (Events_)
    return Splitter_.mayEndUnmarked();
  bool Success = Head_.Status < FirstNoSuccess;
  return !Success || !Body_.empty();
}

} // namespace celerybeam::detail
