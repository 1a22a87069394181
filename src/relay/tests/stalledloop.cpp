#include "relay/tests/stalledloop.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <deque>
#include <map>
#include <optional>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include "relay/tests/relayfixture.h"

namespace celerybeam::testing {

namespace {

using std::chrono::milliseconds;

/// Address of the other entry host. Only that host listens here, so its port
/// number is not in use by others.
constexpr const char *OtherHostIp = "127.0.0.7";
constexpr const char *EndpointIp = "127.0.0.1";
/// Limits of the host under test. They differ from each other and from the
/// connect time-outs, so that each can expire alone.
constexpr milliseconds HeaderTimeout(1000);
constexpr milliseconds IdleTimeout(2000);
constexpr milliseconds WholeTimeout(4000);
/// After this virtual time all time-outs of a request have expired; the route's
/// is 10 s.
constexpr milliseconds SettleTime(60000);
/// A loop that runs more turns than this does not terminate.
constexpr unsigned MaxTurns = 5000;
/// Maximum number of stall points per case, in case its loop never runs out of
/// handlers.
constexpr unsigned MaxStallPoints = 120;
/// Exceeds one read of the host.
constexpr std::size_t LongBody = 9000;

constexpr std::array CallerNames = {
    "whole",           "split",     "missing",  "splithead", "pipelined",
    "pipelined-later", "later",     "twolater", "pipsplit",  "behind-closing",
    "behind-bad",      "halfclose", "close",    "reset"};
static_assert(CallerNames.size() == std::size_t(CallerAct::Last) + 1);
constexpr std::array PeerNames = {
    "answers",   "split",        "missing",    "cutoff",       "closes",
    "resets",    "silent",       "extra",      "stray",        "laterefusal",
    "noid",      "others-first", "refuses",    "refuses-noid", "signed503",
    "signed429", "signed408",    "misdirects", "own408",       "own400",
    "own413",    "own431",       "bare408",    "bare400",      "bare413",
    "bare431"};
static_assert(PeerNames.size() == std::size_t(PeerAct::Last) + 1);

constexpr std::array OrderNames = {"io", "timers", "between"};

/// Marks the bodies of an entry host's own responses.
constexpr const char *HostOwnBody = "hosts-own";

/// Bytes to send, and how the connection continues afterwards.
struct Part {
  std::string Bytes;
  enum class End { None, HalfClose, Close, Reset } Then = End::None;
};

/// A socket that calls the kernel directly, without the event loop.
class PeerSocket {
public:
  explicit PeerSocket(int Handle) : Handle_(Handle) {
    int On = 1;
    ::setsockopt(Handle_, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  }
  /// Resets the connection, so that no port stays in use.
  ~PeerSocket() { end(Part::End::Reset); }
  PeerSocket(const PeerSocket &) = delete;
  PeerSocket &operator=(const PeerSocket &) = delete;

  void act(const Part &P) {
    if (Handle_ < 0)
      return;
    static_cast<void>(
        ::send(Handle_, P.Bytes.data(), P.Bytes.size(), MSG_NOSIGNAL));
    end(P.Then);
  }

  void receive() {
    std::array<char, 16384> Buffer{};
    while (Handle_ >= 0 && !Ended) {
      ssize_t BytesRead =
          ::recv(Handle_, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
      if (BytesRead > 0)
        In.append(Buffer.data(), static_cast<std::size_t>(BytesRead));
      else if (BytesRead < 0 && (errno == EAGAIN || errno == EINTR))
        return;
      else
        Ended = true;
    }
  }

  std::string In;
  /// Set when the other end closed the connection.
  bool Ended = false;

private:
  void end(Part::End How) {
    if (Handle_ < 0 || How == Part::End::None)
      return;
    if (How == Part::End::HalfClose) {
      ::shutdown(Handle_, SHUT_WR);
      return;
    }
    if (How == Part::End::Reset) {
      linger Now{1, 0};
      ::setsockopt(Handle_, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
    }
    ::close(std::exchange(Handle_, -1));
  }

  int Handle_;
};

std::string responseOf(const std::string &Status, const std::string &Fields,
                       const std::string &Body) {
  return "HTTP/1.1 " + Status + " S\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// How a peer reacts to a request, and whether it runs it.
struct Reaction {
  std::deque<Part> Parts;
  bool Runs = true;
};

class Reactions {
public:
  Reactions(PeerAct Act, bool Streams, bool Host)
      : Act_(Act), Streams_(Streams), Host_(Host) {}

  /// \param Nth  index of the request on its connection, from 0.
  Reaction to(const std::string &Request, unsigned Nth) const {
    const std::string Id = RelayFixture::field(Request, "Request-Id");
    const std::string Good = answer(Id, lastSeen(Request));
    const std::string First = Good.substr(0, Good.size() / 2);
    const std::string Rest = Good.substr(First.size());
    const std::string NotRun =
        Host_ ? "Celerybeam-Not-Run: 1\r\n" : "Not-Executed: 1\r\n";
    const std::string Stray = responseOf("503", NotRun, "");
    const std::string IdField = "Request-Id: " + Id + "\r\n";
    const std::string Signed = IdField + "Signature: s\r\n";
    switch (Act_) {
    case PeerAct::Answers:
      return {{{Good}}};
    case PeerAct::SplitAnswer:
      return {{{First}, {Rest}}};
    case PeerAct::MissingRest:
      return {{{First}}};
    case PeerAct::CutOff:
      return {{{First}, {"", Part::End::Close}}};
    case PeerAct::Closes:
      return {{{"", Part::End::Close}}};
    case PeerAct::Resets:
      return {{{"", Part::End::Reset}}};
    case PeerAct::Silent:
      return {};
    case PeerAct::ExtraAnswer:
      return {{{Good}, {Good}}};
    case PeerAct::StrayRefusal:
      return {{{Good}, {Stray}}};
    case PeerAct::LateRefusal:
      return Nth == 0 ? Reaction{{{Good}}} : Reaction{{{Stray}, {Good}}};
    case PeerAct::NoId:
      return {{{responseOf("200", "Signature: s\r\n", "done " + Id)}}};
    case PeerAct::OthersFirst:
      return {{{answer("zz", 0)}, {Good}}};
    case PeerAct::Refuses:
      return {{{responseOf("503", IdField + NotRun, "")}}, false};
    case PeerAct::RefusesWithoutId:
      return {{{Stray}}, false};
    case PeerAct::Signed503:
      return {{{responseOf("503", Signed, "bad")}}};
    case PeerAct::Signed429:
      return {{{responseOf("429", Signed, "bad")}}};
    case PeerAct::Signed408:
      return {{{responseOf("408", Signed, "bad")}}};
    case PeerAct::Misdirects:
      return {{{responseOf("421", IdField, "")}}, false};
    case PeerAct::Own408:
      return own("408", NotRun);
    case PeerAct::Own400:
      return own("400", NotRun);
    case PeerAct::Own413:
      return own("413", NotRun);
    case PeerAct::Own431:
      return own("431", NotRun);
    // Without the field the request may have run, so the host must not promise
    // that it has not.
    case PeerAct::Bare408:
      return own("408", "");
    case PeerAct::Bare400:
      return own("400", "");
    case PeerAct::Bare413:
      return own("413", "");
    case PeerAct::Bare431:
      return own("431", "");
    }
    return {};
  }

private:
  static Reaction own(const char *Status, const std::string &Fields) {
    return {{{responseOf(Status, Fields, HostOwnBody)}}, Fields.empty()};
  }

  static unsigned lastSeen(const std::string &Request) {
    std::string Text = RelayFixture::field(Request, "Last-Event-Id");
    return Text.empty() ? 0 : static_cast<unsigned>(std::stoul(Text));
  }

  std::string answer(const std::string &Id, unsigned Seen) const {
    constexpr unsigned Events = 4;
    std::string Fields = "Request-Id: " + Id + "\r\nSignature: s\r\n";
    if (!Streams_)
      return responseOf("200", Fields, "done " + Id + ";");
    std::string Text =
        "HTTP/1.1 200 OK\r\n" + Fields + "Transfer-Encoding: chunked\r\n\r\n";
    for (unsigned I = Seen + 1; I <= Events; ++I)
      Text += renderChunk("id: " + std::to_string(I) + "\ndata: done " + Id +
                          ";\n\n");
    return Text + std::string(LastChunk);
  }

  PeerAct Act_;
  bool Streams_;
  bool Host_;
};

/// Length of the first complete request; 0 when there is none.
std::size_t wholeRequest(const std::string &Text) {
  auto End = Text.find("\r\n\r\n");
  if (End == std::string::npos)
    return 0;
  std::string Length =
      RelayFixture::field(Text.substr(0, End + 2), "Content-Length");
  std::size_t Whole = End + 4 + (Length.empty() ? 0 : std::stoul(Length));
  return Text.size() >= Whole ? Whole : 0;
}

/// An endpoint or another entry host.
class Peer {
public:
  Peer(const char *Ip, Reactions React) : React_(React) {
    Listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in Where{};
    Where.sin_family = AF_INET;
    ::inet_pton(AF_INET, Ip, &Where.sin_addr);
    socklen_t Length = sizeof(Where);
    auto *Generic = reinterpret_cast<sockaddr *>(&Where);
    if (::bind(Listener_, Generic, Length) != 0 ||
        ::listen(Listener_, SOMAXCONN) != 0)
      throw std::runtime_error("cannot listen");
    ::getsockname(Listener_, Generic, &Length);
    Port_ = std::to_string(ntohs(Where.sin_port));
  }
  ~Peer() { ::close(Listener_); }
  Peer(const Peer &) = delete;
  Peer &operator=(const Peer &) = delete;

  const std::string &port() const { return Port_; }

  /// Receives and reacts.
  /// \param SendsRest  whether to send the parts that are held back until the
  /// stall.
  /// \return whether anything was done.
  bool step(bool SendsRest) {
    bool Acted = false;
    for (int Handle = 0; (Handle = ::accept(Listener_, nullptr, nullptr)) >= 0;)
      Links_.push_back(std::make_unique<Link>(Handle));
    for (auto &L : Links_) {
      L->Socket.receive();
      while (std::size_t Length = wholeRequest(L->Socket.In)) {
        std::string Request = L->Socket.In.substr(0, Length);
        L->Socket.In.erase(0, Length);
        Reaction R = React_.to(Request, L->Seen++);
        MaxPerConnection = std::max(MaxPerConnection, L->Seen);
        std::string Id = RelayFixture::field(Request, "Request-Id");
        if (R.Runs)
          ++Runs[Id];
        bool First = L->Pending.empty();
        for (Part &P : R.Parts)
          L->Pending.push_back(std::move(P));
        if (First)
          Acted |= next(*L);
      }
      if (SendsRest)
        Acted |= next(*L);
    }
    return Acted;
  }

  std::map<std::string, unsigned> Runs;
  /// Largest number of requests on one connection.
  unsigned MaxPerConnection = 0;

private:
  struct Link {
    explicit Link(int Handle) : Socket(Handle) {}
    PeerSocket Socket;
    std::deque<Part> Pending;
    unsigned Seen = 0;
  };

  static bool next(Link &L) {
    if (L.Pending.empty())
      return false;
    L.Socket.act(L.Pending.front());
    L.Pending.pop_front();
    return true;
  }

  Reactions React_;
  int Listener_ = -1;
  std::string Port_;
  std::vector<std::unique_ptr<Link>> Links_;
};

/// A response as the caller received it.
struct ReceivedResponse {
  unsigned Status = 0;
  std::string Head;
  std::string Body;
  bool Whole = false;
};

/// Parses the data that a caller received. Unset when it is not a sequence of
/// responses.
std::optional<std::vector<ReceivedResponse>> parseResponses(std::string Text) {
  constexpr std::string_view Start = "HTTP/1.1 ";
  constexpr std::size_t StatusLength = 3;
  std::vector<ReceivedResponse> All;
  while (!Text.empty()) {
    if (!Text.starts_with(Start))
      return std::nullopt;
    ReceivedResponse G;
    auto End = Text.find("\r\n\r\n");
    if (End == std::string::npos) {
      All.push_back(G);
      return All;
    }
    G.Status = static_cast<unsigned>(
        std::stoul(Text.substr(Start.size(), StatusLength)));
    G.Head = Text.substr(0, End + 2);
    Text.erase(0, End + 4);
    std::size_t Length = 0;
    if (G.Head.find("chunked") != std::string::npos) {
      auto Last = Text.find(LastChunk);
      G.Whole = Last != std::string::npos;
      Length = G.Whole ? Last + LastChunk.size() : Text.size();
    } else {
      Length = std::stoul(RelayFixture::field(G.Head, "Content-Length"));
      G.Whole = Text.size() >= Length;
      Length = std::min(Length, Text.size());
    }
    G.Body = Text.substr(0, Length);
    Text.erase(0, Length);
    All.push_back(G);
  }
  return All;
}

class Replay {
public:
  explicit Replay(const StallCase &Case)
      : Case_(Case), Host_([this] { return Now_; }) {
    bool Streams = Case.Route == "draft" || Case.Route == "ask";
    const char *Pool = Streams ? "engines" : "plain";
    HttpServerLimits Limits;
    Limits.HeaderTimeout = HeaderTimeout;
    Limits.IdleTimeout = IdleTimeout;
    Limits.WholeTimeout = WholeTimeout;
    Host_.Front.setLimits(Limits);
    bool Other = Case.Endpoints == 0;
    for (unsigned I = 0; I < std::max(1U, Case.Endpoints); ++I)
      Peers_.push_back(
          std::make_unique<Peer>(Other ? OtherHostIp : EndpointIp,
                                 Reactions(Case.Peer, Streams, Other)));
    if (Other)
      registerOtherHost(Pool);
    for (unsigned I = 0; I < Case.Endpoints; ++I)
      Host_.addEndpointAt("e" + std::to_string(I), Pool,
                          std::string(EndpointIp) + ":" + Peers_[I]->port());
  }

  StallOutcome run() {
    // Identifies the case if the process crashes.
    BOOST_TEST_CHECKPOINT(Case_.name());
    std::deque<Part> Parts = callerParts();
    connect();
    Caller_->act(Parts.front());
    Parts.pop_front();
    for (unsigned I = 0; I < Case_.StallPoint && !Out_.OutOfHandlers; ++I) {
      Out_.OutOfHandlers = !runHandler();
      stepPeers(false);
    }
    for (const Part &P : Parts)
      Caller_->act(P);
    while (stepPeers(true)) {
    }
    Now_ += Case_.Span;
    if (Case_.Order == TurnOrder::TimersAfterOne)
      runHandler();
    if (Case_.Order != TurnOrder::Sockets)
      Host_.Loop.timers().runDue(Now_);
    settle();
    check();
    return std::move(Out_);
  }

private:
  /// Registers the other host, with free endpoints.
  void registerOtherHost(const char *Pool) {
    Host_.Context.HostPort = Peers_[0]->port();
    HostState H;
    H.Id = HostId("m1");
    H.Ip = OtherHostIp;
    H.Region = RegionId("musanze");
    H.Ready = true;
    Host_.Hosts.received(H);
    constexpr unsigned Free = 6;
    Host_.Decisions.regions().received(
        H.Region, H.Id,
        {poolHash(PoolName(Pool)), Duration::zero(), Free, Free, Free});
  }

  void connect() {
    const std::string Where = Host_.Front.address().str();
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_port = htons(static_cast<std::uint16_t>(
        std::stoul(Where.substr(Where.find(':') + 1))));
    ::inet_pton(AF_INET, EndpointIp, &To.sin_addr);
    int Handle = ::socket(AF_INET, SOCK_STREAM, 0);
    if (::connect(Handle, reinterpret_cast<sockaddr *>(&To), sizeof(To)) != 0)
      throw std::runtime_error("cannot connect");
    Caller_ = std::make_unique<PeerSocket>(Handle);
  }

  /// Builds a request and records whether it is sent completely or in part.
  std::string request(bool Whole = true, const std::string &Extra = {},
                      const std::string &Body = "x") {
    std::string Text = Host_.request(Case_.Route, Extra, Body);
    StartedIds_.push_back(RelayFixture::field(Text, "Request-Id"));
    if (Whole)
      CompleteIds_.push_back(StartedIds_.back());
    return Text;
  }

  std::deque<Part> callerParts() {
    switch (Case_.Caller) {
    case CallerAct::Whole:
      return {{request()}};
    case CallerAct::Split: {
      std::string Text = request(true, {}, std::string(LongBody, 'x'));
      return {{Text.substr(0, Text.size() - LongBody)},
              {std::string(LongBody, 'x')}};
    }
    case CallerAct::Missing: {
      std::string Text = request(false, {}, std::string(LongBody, 'x'));
      return {{Text.substr(0, Text.size() - 1)}};
    }
    case CallerAct::SplitHead: {
      std::string Text = request();
      return {{Text.substr(0, 10)}, {Text.substr(10)}};
    }
    case CallerAct::Pipelined: {
      std::string Text = request();
      return {{Text + request()}};
    }
    case CallerAct::PipelinedAndLater: {
      std::string Text = request();
      Text += request();
      return {{Text}, {request()}};
    }
    case CallerAct::PipelinedLater: {
      std::string Text = request();
      return {{Text}, {request()}};
    }
    case CallerAct::TwoLater: {
      std::string Text = request();
      std::string Second = request();
      return {{Text}, {Second + request()}};
    }
    case CallerAct::PipelinedSplit: {
      std::string Text = request();
      std::string Second = request();
      return {{Text + Second.substr(0, 10)}, {Second.substr(10)}};
    }
    case CallerAct::BehindClosing: {
      std::string Text = request(true, "Connection: close\r\n");
      return {{Text}, {request(false)}};
    }
    case CallerAct::BehindMalformed: {
      StartedIds_.emplace_back("malformed");
      return {{"\x01\x02 no request\r\n\r\n"}, {request(false)}};
    }
    case CallerAct::HalfClose:
      return {{request()}, {"", Part::End::HalfClose}};
    case CallerAct::Close:
      return {{request()}, {"", Part::End::Close}};
    case CallerAct::Reset:
      return {{request()}, {"", Part::End::Reset}};
    }
    return {};
  }

  bool runHandler() {
    auto &Context = Host_.Loop.context();
    if (Context.stopped())
      Context.restart();
    return Context.poll_one() > 0;
  }

  bool stepPeers(bool SendsRest) {
    Caller_->receive();
    bool Acted = false;
    for (auto &P : Peers_)
      Acted |= P->step(SendsRest);
    return Acted;
  }

  /// Runs the loop as in production until no event is left.
  void settle() {
    TimePoint Until = Now_ + SettleTime;
    for (unsigned Turns = 0; Turns < MaxTurns; ++Turns) {
      bool Ran = runHandler();
      if (stepPeers(true) || Ran)
        continue;
      auto Next = Host_.Loop.timers().next();
      if (!Next || *Next > Until)
        return;
      Now_ = std::max(Now_, *Next);
      Host_.Loop.timers().runDue(Now_);
    }
    addFault("the loop has no end");
  }

  void addFault(const std::string &What) { Out_.Faults.push_back(What); }

  unsigned runsOf(const std::string &Id) const {
    unsigned Runs = 0;
    for (const auto &P : Peers_)
      Runs += P->Runs.contains(Id) ? P->Runs.at(Id) : 0;
    return Runs;
  }

  void check() {
    checkRuns();
    auto Answers = parseResponses(Caller_->In);
    if (!Answers)
      return addFault("bytes that are no valid answer: " + Caller_->In);
    Out_.Answers = static_cast<unsigned>(Answers->size());
    if (Answers->size() > StartedIds_.size())
      addFault("more responses than requests: " + Caller_->In);
    for (std::size_t I = 0; I < std::min(Answers->size(), StartedIds_.size());
         ++I)
      checkAnswer((*Answers)[I], StartedIds_[I]);
    bool CallerLeft = Case_.Caller == CallerAct::Close ||
                      Case_.Caller == CallerAct::Reset ||
                      Case_.Caller == CallerAct::HalfClose;
    if (!CallerLeft)
      checkUnanswered(*Answers);
  }

  void checkRuns() {
    unsigned Most = Case_.Route == "look" || Case_.Route == "ask" ? 2 : 1;
    for (const auto &P : Peers_) {
      if (Most == 1 && Case_.Endpoints > 0 && P->MaxPerConnection > 1)
        addFault("a connection that may have died was used for it");
      for (const auto &[Id, Runs] : P->Runs) {
        Out_.Runs += Runs;
        if (std::find(CompleteIds_.begin(), CompleteIds_.end(), Id) ==
            CompleteIds_.end())
          addFault(Id + " ran but was never sent completely");
        else if (runsOf(Id) > Most)
          addFault(Id + " ran " + std::to_string(runsOf(Id)) + " times");
      }
    }
  }

  void checkAnswer(const ReceivedResponse &G, const std::string &Id) {
    const std::string What = Id + " (status " + std::to_string(G.Status) + ")";
    bool PromisesNotRun = G.Status == 408 || G.Status == 421 ||
                          G.Status == 429 || G.Status == 503;
    if (PromisesNotRun && runsOf(Id) > 0)
      addFault(What + " was reported not to have run but ran");
    std::string ReceivedId = RelayFixture::field(G.Head, "Request-Id");
    if (!ReceivedId.empty() && ReceivedId != Id)
      addFault(What + " received the answer of " + ReceivedId);
    bool Good = G.Status == 200;
    if (Good && runsOf(Id) == 0)
      addFault(What + " did not run");
    if (Good && G.Whole && G.Body.find("done " + Id + ";") == std::string::npos)
      addFault(What + " did not receive its own body: " + G.Body);
    if (G.Body.find(HostOwnBody) != std::string::npos)
      addFault(What + " got another host's own word");
    if (!RelayFixture::field(G.Head, "Celerybeam-Not-Run").empty())
      addFault(What + " received a field that only hosts exchange");
    if (!RelayFixture::field(G.Head, "Signature").empty() && runsOf(Id) == 0)
      addFault(What + " is signed but did not run");
  }

  /// Checks that each completely sent request gets a response, or that its
  /// connection ends before it runs.
  void checkUnanswered(const std::vector<ReceivedResponse> &Answers) {
    bool Truncated = !Answers.empty() && !Answers.back().Whole;
    if (!Caller_->Ended)
      return addFault("the connection is still open");
    if (Truncated && Case_.Route != "draft" && Case_.Route != "ask")
      addFault("an answer was truncated");
    bool Closes = Truncated || (!Answers.empty() &&
                                Answers.back().Head.find("Connection: close") !=
                                    std::string::npos);
    for (std::size_t I = Answers.size(); I < StartedIds_.size(); ++I) {
      bool Whole = std::find(CompleteIds_.begin(), CompleteIds_.end(),
                             StartedIds_[I]) != CompleteIds_.end();
      if (runsOf(StartedIds_[I]) > 0)
        addFault(StartedIds_[I] + " ran but was not answered");
      else if (Whole && !Closes && Case_.Span == milliseconds::zero() &&
               Case_.Peer == PeerAct::Answers)
        addFault(StartedIds_[I] + " was not answered");
    }
  }

  const StallCase &Case_;
  TimePoint Now_{std::chrono::seconds(1000)};
  /// Declared before the host, so that the host's sockets are destroyed first.
  std::vector<std::unique_ptr<Peer>> Peers_;
  RelayFixture Host_;
  std::unique_ptr<PeerSocket> Caller_;
  /// Request ids in the order of the requests' first bytes.
  std::vector<std::string> StartedIds_;
  std::vector<std::string> CompleteIds_;
  StallOutcome Out_;
};

} // namespace

std::string StallCase::name() const {
  return Route + "/" +
         (Endpoints == 0 ? "host" : "e" + std::to_string(Endpoints)) + "/" +
         CallerNames[std::size_t(Caller)] + "/" + PeerNames[std::size_t(Peer)] +
         "/k" + std::to_string(StallPoint) + "/" +
         std::to_string(Span.count()) + "ms/" + OrderNames[std::size_t(Order)];
}

StallOutcome replay(const StallCase &Case) { return Replay(Case).run(); }

void replayEverywhere(const StallCase &Base,
                      const std::vector<milliseconds> &Spans,
                      const std::function<void(const StallCase &,
                                               const StallOutcome &)> &Report) {
  const char *Only = std::getenv("CELERYBEAM_STALL_CASE");
  for (milliseconds Span : Spans)
    for (TurnOrder Order :
         {TurnOrder::Sockets, TurnOrder::Timers, TurnOrder::TimersAfterOne}) {
      StallCase Case = Base;
      Case.Span = Span;
      Case.Order = Order;
      // Without a stall no timer is due.
      if (Order != TurnOrder::Sockets && Span == milliseconds::zero())
        continue;
      bool OutOfHandlers = false;
      for (Case.StallPoint = 0;
           !OutOfHandlers && Case.StallPoint < MaxStallPoints;
           ++Case.StallPoint) {
        if (Only != nullptr && Case.name() != Only)
          continue;
        StallOutcome Out = replay(Case);
        OutOfHandlers = Out.OutOfHandlers;
        Report(Case, Out);
      }
    }
}

} // namespace celerybeam::testing
