#ifndef CELERYBEAM_RELAY_INTERNAL_SERVERCONNECTION_H
#define CELERYBEAM_RELAY_INTERNAL_SERVERCONNECTION_H

#include <array>
#include <functional>
#include <memory>
#include <string>

#include "relay/bytebudget.h"
#include "relay/httpserver.h"
#include "relay/internal/beast.h"
#include "relay/timer.h"

namespace celerybeam::detail {

/// What all connections of one server share.
struct ServerShared {
  HttpServer::Handler Handle;
  std::function<void(const ReadRefusal &)> Refused;
  /// Added to each answer by which a request is refused while it is read.
  HttpFields RefusalFields;
  HttpServerLimits Limits;
  Runtime Time;
  ByteBudget Bodies{Limits.AllBodyBytes};
  ByteBudget Unsent{Limits.AllUnsentBytes};
  bool CloseAfterAnswers = false;
  bool Stopped = false;
  std::size_t Open = 0;
  std::size_t InFlight = 0;
};

/// Numbers the turns of one connection: each request, and each time between
/// two.
struct TurnNumber {
  std::uint64_t Value = 0;

  auto operator<=>(const TurnNumber &) const = default;
};

/// One caller's connection: reads a request, waits for its answer, reads on.
///
/// docs/design/http.md, "Connections of the gateway", draws its states and what
/// each event does in them.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(EventLoop &Loop, Tcp::socket Socket,
                   std::shared_ptr<ServerShared> Shared);
  ~ServerConnection();

  void start();
  /// Closes the connection if no request is under way. \return whether it
  /// did.
  bool closeIfIdle();
  /// The other end's address without its port; empty when it is gone.
  const std::string &peerIp() const { return PeerIp_; }

  /// What the exchange of a turn may do; nothing once that turn has ended.
  void respond(TurnNumber Turn, const HttpResponseHead &Head,
               std::string_view Body);
  void beginStream(TurnNumber Turn, const HttpResponseHead &Head);
  void streamPiece(TurnNumber Turn, std::string_view Data);
  void endStream(TurnNumber Turn);
  void abort(TurnNumber Turn);
  void onGone(TurnNumber Turn, std::function<void()> Gone);

private:
  using Parser = http::request_parser<http::string_body>;

  /// Also what bytes that arrive mean.
  enum class State {
    /// No byte of the next request has come.
    Idle,
    /// A request is read; the only state with a parser that has begun.
    Reading,
    /// A request is with the handler; bytes wait for the next turn.
    Answering,
    /// The last answer is being written; bytes are dropped.
    Finishing,
    /// All is written and our side is closed; bytes are dropped until the
    /// other side closes, so that no reset destroys the answer on its way.
    Lingering,
    Closed,
  };

  void nextRequest();
  void parseLater();
  void idleTimedOut();
  void readTimedOut();
  void read();
  void onRead(ErrorCode Error, std::size_t Bytes);
  void onReadEnd(ErrorCode Error);
  void dropBytes();
  void parse();
  void continueBody();
  void requestComplete();
  /// Why the head's framing is not accepted; null if it is.
  const char *framingProblem() const;
  void refuse(unsigned Status, const char *Why);
  void tellRefused(unsigned Status, const char *Why) const;
  HttpRequestHead headRead() const;
  bool isCurrent(TurnNumber Turn) const;
  void beginTurn(bool Keeps);
  void endTurn();
  void answerComplete();
  void answerWhole(const HttpResponseHead &Head, std::string_view Body);
  void send(std::string_view Bytes);
  void write();
  void onWritten(ErrorCode Error, std::size_t Bytes);
  /// Ends the connection once all that is queued has been written.
  void finish();
  void linger();
  /// The caller is lost: tells the handler and closes.
  void callerGone();
  void close();

  Tcp::socket Socket_;
  std::string PeerIp_;
  std::shared_ptr<ServerShared> Shared_;
  /// Of the state, set anew or cancelled with each change of it.
  Timer StateTimer_;
  /// From a request's first byte.
  Timer WholeTimer_;
  /// While bytes are being written.
  Timer WriteTimer_;
  static constexpr std::size_t ReadBytes = 4096;
  /// What a read that is under way fills: Buffer_ may be emptied meanwhile.
  std::array<char, ReadBytes> In_{};
  boost::beast::flat_buffer Buffer_;
  std::unique_ptr<Parser> Parser_;
  State State_ = State::Idle;
  TurnNumber Turn_;
  bool ReadPending_ = false;
  std::size_t Dropped_ = 0;
  /// Whether the turn's request lets the connection go on.
  bool CallerKeeps_ = true;
  bool ClosesAfter_ = false;
  bool HeadMethod_ = false;
  bool SentContinue_ = false;
  std::function<void()> Gone_;
  /// Of the request that is read or answered.
  ByteBudget::Share Body_;
  ByteBudget::Share Unsent_;
  /// Bytes being written, how many of them have been, and those that follow.
  std::string Writing_;
  std::size_t Written_ = 0;
  std::string Queued_;
};

} // namespace celerybeam::detail

#endif
