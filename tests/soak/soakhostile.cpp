#include "soak/soakhostile.h"

#include <optional>

#include "relay/internal/beast.h"
#include "relay/internal/sockets.h"
#include "soak/soakfaults.h"

namespace celerybeam::testing {

namespace {

using namespace detail;
namespace http = boost::beast::http;

/// One request on a connection, and which of its bytes are its own.
struct Asked {
  std::string Id;
  SoakRoute Route;
  SoakIdentity From;
  std::size_t Begin = 0;
  std::size_t End = 0;
  /// False behind a request that closes the connection (RFC 9112, 9.6).
  bool MayRun = true;
  bool Begun = false;
  bool Whole = false;
  bool Ended = false;
};

enum class Behaviour { Reads, ReadsLate, NeverReads, Resets, HalfCloses };

/// How long a caller that doesn't read stays: past the idle time-out.
constexpr Duration UnreadStay = std::chrono::milliseconds(2500);
/// How long another leaves its answer unread: until the host has tried to write
/// it and the bytes behind have come.
constexpr Duration LateRead = std::chrono::milliseconds(600);
/// Two time-outs of heads or bodies may pass, and then an answer is due.
constexpr Duration Stay = SoakJudge::CallerPatience + SoakFaults::LongestPause;

} // namespace

/// What one connection does.
struct HostilePlan {
  std::string Text;
  std::vector<Asked> Requests;
  /// Where a write ends, and the wait before the next.
  std::vector<std::pair<std::size_t, Duration>> Cuts;
  Behaviour Behaves = Behaviour::Reads;
  /// Before a reset.
  Duration ResetAfter{};
  /// Whether a request of it closes the connection.
  bool Closes = false;

  void cut(std::size_t At, Duration Wait) { Cuts.emplace_back(At, Wait); }
  /// The rest is never sent.
  void endAt(std::size_t At) { Text.resize(At); }
};

namespace {

/// One connection of a hostile caller.
class Visit : public std::enable_shared_from_this<Visit> {
public:
  Visit(EventLoop &Loop, SoakJudge &Judge, SoakHost &Host, HostilePlan Plan)
      : Plan_(std::move(Plan)), Time_(Loop.runtime()), Judge_(Judge),
        Host_(Host), Start_(Host.start()),
        StoodBefore_(Host.stood(Time_.Now())), Socket_(Loop.context()) {}

  void begin() {
    Socket_.open(Tcp::v4());
    constexpr int FewBytes = 4096;
    if (Plan_.Behaves == Behaviour::NeverReads ||
        Plan_.Behaves == Behaviour::ReadsLate)
      Socket_.set_option(asio::socket_base::receive_buffer_size(FewBytes));
    auto Self = shared_from_this();
    Socket_.async_connect(*parseEndpoint(Address(Host_.address())),
                          [Self](ErrorCode Error) {
                            if (Error)
                              return Self->end();
                            Self->write(0);
                            if (Self->Plan_.Behaves == Behaviour::Reads ||
                                Self->Plan_.Behaves == Behaviour::HalfCloses)
                              Self->read();
                          });
    Time_.After(Plan_.Behaves == Behaviour::NeverReads ? UnreadStay : Stay,
                [Self] { Self->end(); });
    if (Plan_.Behaves == Behaviour::ReadsLate)
      Time_.After(LateRead, [Self] { Self->read(); });
  }

private:
  void write(std::size_t From) {
    if (Over_)
      return;
    if (From == Plan_.Text.size())
      return written();
    std::size_t To = Plan_.Text.size();
    Duration Wait{};
    if (!Plan_.Cuts.empty()) {
      std::tie(To, Wait) = Plan_.Cuts.front();
      Plan_.Cuts.erase(Plan_.Cuts.begin());
    }
    for (Asked &A : Plan_.Requests) {
      if (A.Begin >= From && A.Begin < To) {
        Judge_.sent(A.Id, A.Route, Start_, Time_.Now(), A.From);
        Judge_.sentInPart(A.Id);
        A.Begun = true;
      }
      if (A.MayRun && A.End > From && A.End <= To) {
        Judge_.sentWhole(A.Id, Time_.Now());
        A.Whole = true;
      }
    }
    auto Self = shared_from_this();
    // A host that has closed the connection may still have answered.
    asio::async_write(
        Socket_, asio::buffer(Plan_.Text.data() + From, To - From),
        [Self, To, Wait](ErrorCode Error, std::size_t) {
          if (Error)
            return Self->written();
          Self->Time_.After(Wait, [Self, To] { Self->write(To); });
        });
  }

  void written() {
    Unsent_ = false;
    if (HostEnded_)
      return end();
    ErrorCode Ignored;
    if (Plan_.Behaves == Behaviour::HalfCloses)
      Socket_.shutdown(Tcp::socket::shutdown_send, Ignored);
    if (Plan_.Behaves == Behaviour::Resets)
      Time_.After(Plan_.ResetAfter, [Self = shared_from_this()] {
        ErrorCode Ignored2;
        Self->Socket_.set_option(asio::socket_base::linger(true, 0), Ignored2);
        Self->end();
      });
  }

  void read() {
    if (Over_)
      return;
    Parser_.emplace();
    Parser_->body_limit(boost::none);
    auto Self = shared_from_this();
    http::async_read(Socket_, Buffer_, *Parser_,
                     [Self](ErrorCode Error, std::size_t) {
                       if (Error)
                         return Self->hostEnded();
                       Self->take(Self->Parser_->get());
                       Self->read();
                     });
  }

  void take(const http::response<http::string_body> &Answer) {
    if (Over_)
      return;
    CallResult R{true,
                 true,
                 Answer.result_int(),
                 std::string(Answer["X-Attempt-Id"]),
                 std::string(Answer["X-Response-Stamp"]),
                 Answer.body()};
    std::string What =
        "an answer " + std::to_string(R.Status) + " of " + Start_;
    if (Next_ == Plan_.Requests.size() || !Plan_.Requests[Next_].Begun)
      return Judge_.fault("answers in order", R.RequestId,
                          What + " that nobody asked for");
    Asked &A = Plan_.Requests[Next_++];
    if (Closed_)
      Judge_.fault("answers in order", A.Id, What + " behind a close");
    if (!R.RequestId.empty() && R.RequestId != A.Id)
      Judge_.fault("answers in order", A.Id, What + " to " + R.RequestId);
    Closed_ = !Answer.keep_alive();
    A.Ended = true;
    Judge_.ended(A.Id, R, Time_.Now(), stood());
    // The time of the next one begins now.
    if (Next_ < Plan_.Requests.size() && Plan_.Requests[Next_].Whole)
      Judge_.sentWhole(Plan_.Requests[Next_].Id, Time_.Now());
  }

  /// Sends the rest all the same: it must not run behind a refusal.
  void hostEnded() {
    HostEnded_ = true;
    if (!Unsent_)
      end();
  }

  /// The connection is over, whoever ended it.
  void end() {
    if (std::exchange(Over_, true))
      return;
    ErrorCode Ignored;
    Socket_.close(Ignored);
    for (Asked &A : Plan_.Requests) {
      if (!A.Begun || A.Ended)
        continue;
      CallResult Nothing;
      // A caller that reads is owed an answer, or an end, to the next one.
      Nothing.Sent = Plan_.Behaves == Behaviour::Reads &&
                     &A == Plan_.Requests.data() + Next_;
      Judge_.ended(A.Id, Nothing, Time_.Now(), stood());
    }
  }

  Duration stood() const { return Host_.stood(Time_.Now()) - StoodBefore_; }

  HostilePlan Plan_;
  Runtime Time_;
  SoakJudge &Judge_;
  SoakHost &Host_;
  const std::string Start_;
  const Duration StoodBefore_;
  Tcp::socket Socket_;
  boost::beast::flat_buffer Buffer_;
  std::optional<http::response_parser<http::string_body>> Parser_;
  std::size_t Next_ = 0;
  bool Closed_ = false;
  bool Unsent_ = true;
  bool HostEnded_ = false;
  bool Over_ = false;
};

} // namespace

SoakHostile::SoakHostile(SoakWorld &World, SoakJudge &Judge, std::uint64_t Seed)
    : World_(World), Judge_(Judge), Random_(Seed * 3 + 1),
      Time_(World.Loop.runtime()), Split_(Seed * 16) {}

void SoakHostile::start(TimePoint Until, double ConnectionsPerSecond) {
  Until_ = Until;
  PerSecond_ = ConnectionsPerSecond;
  next();
}

Duration SoakHostile::draw(int FromMs, int ToMs) {
  return std::chrono::milliseconds(
      FromMs +
      static_cast<int>(Random_() % static_cast<unsigned>(ToMs - FromMs)));
}

void SoakHostile::next() {
  if (Time_.Now() >= Until_)
    return;
  ++Visits_;
  visit();
  constexpr double UsPerSecond = 1e6;
  Time_.After(Duration(static_cast<Duration::rep>(UsPerSecond / PerSecond_)),
              [this] { next(); });
}

void SoakHostile::ask(HostilePlan &P, std::size_t Body, bool Big, bool Close) {
  auto Routes = World_.routes();
  // Bookings mostly; the last route is that of one version of the tables.
  const SoakRoute &Route =
      Routes[Big || Random_() % 2 == 0 ? 0 : Random_() % (Routes.size() - 1)];
  std::string Id = "h" + std::to_string(++Requests_) + (Big ? "-big" : "");
  Asked A{Id, Route, World_.steadyCaller(), P.Text.size(), 0, !P.Closes};
  P.Text += "POST " + Route.Path + "a HTTP/1.1\r\nHost: x.example\r\n" +
            "X-Attempt-Id: " + Id + "\r\nX-Deadline-Ms: 5000\r\n" +
            A.From.Fields + (Close ? "Connection: close\r\n" : "") +
            "Content-Length: " + std::to_string(Body) + "\r\n\r\n" +
            std::string(Body, 'x');
  A.End = P.Text.size();
  P.Requests.push_back(A);
  P.Closes = P.Closes || Close;
}

void SoakHostile::askSeries(HostilePlan &P, unsigned Least) {
  for (unsigned Left = Least + Random_() % 3; Left > 0; --Left)
    ask(P, Random_() % 30);
}

void SoakHostile::planSlow(HostilePlan &P, unsigned Kind) {
  // A body of several reads of a host.
  constexpr std::size_t LongBody = 9000;
  constexpr std::size_t InHead = 40;
  ask(P, Kind < 2 ? InHead : LongBody);
  switch (Kind) {
  case 0: // A slow head.
    for (std::size_t At : {5U, 30U, 60U})
      P.cut(At, draw(40, 250));
    break;
  case 1: // A head that crosses its time-out, or never comes.
    P.cut(InHead, draw(600, 1400));
    if (Random_() % 3 == 0)
      P.endAt(InHead);
    break;
  case 2: // A slow body.
    for (std::size_t At : {300U, 3000U, 6000U})
      P.cut(At, draw(40, 700));
    break;
  default: // A body that crosses its time-out, or does when the host stands.
    P.cut(P.Text.size() - LongBody, draw(100, 2200));
  }
}

void SoakHostile::planRude(HostilePlan &P, unsigned Kind) {
  bool Big = Random_() % 2 == 0;
  switch (Kind) {
  case 0: // Pipelined whole, or in series with every split.
    askSeries(P, 3);
    if (Random_() % 3 > 0)
      P.cut(1 + Split_++ % (P.Text.size() - 1), draw(1, 60));
    return;
  case 1: // Answers that are never read.
    ask(P, 0, true);
    askSeries(P, 2);
    P.Behaves = Behaviour::NeverReads;
    return;
  case 2: // Bytes behind a close, before or after its answer.
    ask(P, 0, Big, true);
    P.cut(P.Text.size(), draw(1, 400));
    askSeries(P, 1);
    P.Behaves = Big ? Behaviour::ReadsLate : Behaviour::Reads;
    return;
  default: // An end within a request, or while it is answered.
    askSeries(P, 1);
    if (Random_() % 3 == 0)
      P.endAt(1 + Random_() % (P.Text.size() - 1));
    P.ResetAfter = draw(0, 100);
    P.Behaves = Kind == 3 ? Behaviour::Resets : Behaviour::HalfCloses;
  }
}

void SoakHostile::visit() {
  constexpr unsigned Kinds = 5;
  HostilePlan P;
  if (Random_() % 2 == 0)
    planSlow(P, Random_() % Kinds);
  else
    planRude(P, Random_() % Kinds);
  SoakHost &Host = World_.Hosts[Random_() % World_.Hosts.size()];
  std::make_shared<Visit>(World_.Loop, Judge_, Host, std::move(P))->begin();
}

} // namespace celerybeam::testing
