#ifndef CELERYBEAM_RELAY_INTERNAL_SERVERCONNECTION_H
#define CELERYBEAM_RELAY_INTERNAL_SERVERCONNECTION_H

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "relay/bytebudget.h"
#include "relay/httpserver.h"
#include "relay/internal/beast.h"
#include "relay/internal/growingbody.h"
#include "relay/timer.h"

namespace celerybeam::detail {

class ServerConnection;

/// State that all connections of one server share.
struct ServerShared {
  HttpServer::Handler Handle;
  std::function<void(const ReadRefusal &)> Refused;
  std::function<void(const UnreadResponse &)> Unread;
  /// Provides the header fields of a refusal that the server sends by itself,
  /// from the request's head if it was completely received, otherwise from an
  /// empty head.
  std::function<HttpFields(const HttpRequestHead &)> RefusalFields;
  HttpServerLimits Limits;
  Runtime Time;
  ByteBudget Bodies{Limits.AllBodyBytes};
  ByteBudget Unsent{Limits.AllUnsentBytes};
  /// Connections with unsent bytes, and since when each has always had some.
  std::map<ServerConnection *, TimePoint> UnsentSince;
  bool CloseAfterResponses = false;
  bool Stopped = false;
  std::size_t Open = 0;
  /// Number of connections per IP address.
  std::map<std::string, std::size_t> OpenByIp;
  std::size_t InFlight = 0;
};

/// Identifies a turn of a connection. Each request is a turn, and so is each
/// interval between two requests.
struct TurnNumber {
  std::uint64_t Value = 0;

  auto operator<=>(const TurnNumber &) const = default;
};

/// The connection of one caller. Reads a request, waits for its response, and
/// then reads the next request.
///
/// docs/design/http.md, "Connections of the gateway", describes the states and
/// the effect of each event in them.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(EventLoop &Loop, Tcp::socket Socket,
                   std::shared_ptr<ServerShared> Shared);
  ~ServerConnection();

  void start();
  /// Closes the connection if no request is in progress. \return whether it was
  /// closed.
  bool closeIfIdle();
  /// Closes the connection at once if it holds no complete request, to make
  /// room for another connection.
  /// \param AlsoReading  also when a request is being received.
  /// \return whether it was closed.
  bool closeToMakeRoom(bool AlsoReading);
  /// IP address of the caller; empty when the connection is no longer counted.
  const std::string &peerIp() const { return PeerIp_; }

  /// Operations of the exchange of a turn. They have no effect once that turn
  /// has ended.
  void respond(TurnNumber Turn, const HttpResponseHead &Head,
               std::string_view Body);
  void beginStream(TurnNumber Turn, const HttpResponseHead &Head);
  void streamPiece(TurnNumber Turn, std::string_view Data);
  void endStream(TurnNumber Turn);
  void abort(TurnNumber Turn);
  void onDisconnect(TurnNumber Turn, std::function<void()> Callback);
  bool isCallerWaiting(TurnNumber Turn);

private:
  using Parser = http::request_parser<GrowingBody>;

  /// Also determines how received bytes are treated.
  enum class State {
    /// No byte of the next request has been received.
    Idle,
    /// A request is being received. Only in this state does the parser hold the
    /// beginning of a request.
    Reading,
    /// The handler is processing a request; received bytes wait for the next
    /// turn.
    Responding,
    /// The last response is being written; received bytes are dropped.
    Finishing,
    /// Everything is written and the sending side is closed. Received bytes are
    /// dropped until the other side closes, because closing with unread data
    /// would reset the connection and could destroy the response on its way.
    Lingering,
    Closed,
  };

  void removeFromCount();
  void nextRequest();
  void parseLater();
  void idleTimedOut();
  void readTimedOut();
  void read();
  void onRead(ErrorCode Error, std::size_t Bytes);
  void onReadEnd(ErrorCode Error);
  void drainBytes();
  void parse();
  void continueBody();
  void requestComplete();
  /// Reads on while a request is processed, to notice when the caller closes
  /// the connection. With enough bytes buffered, only looks for the close.
  void watchCaller();
  /// The reason for which the framing of the head is refused; null if it is
  /// accepted.
  const char *framingProblem() const;
  void refuse(unsigned Status, const char *Why);
  HttpRequestHead headRead() const;
  bool isCurrent(TurnNumber Turn) const;
  void beginTurn(bool KeepAlive);
  void endTurn();
  void setResetOnClose(bool Reset);
  void responseComplete();
  void sendWholeResponse(const HttpResponseHead &Head, std::string_view Body);
  void send(std::string_view Bytes);
  /// Counts the unsent bytes. \return false when there is no room for them.
  bool countUnsent(std::size_t Bytes);
  /// Breaks off the response that has been unread for longest, if that is long.
  /// \return whether one was broken off.
  bool breakOffUnread();
  void reportUnread();
  void write();
  void writeTimedOut();
  void onWritten(ErrorCode Error, std::size_t Bytes);
  /// Closes the connection once all queued bytes have been written.
  void finish();
  void linger();
  /// Handles the loss of the caller: notifies the handler and closes the
  /// connection.
  void callerDisconnected();
  void close();

  Tcp::socket Socket_;
  std::string PeerIp_;
  std::shared_ptr<ServerShared> Shared_;
  /// Timer of the current state; restarted or cancelled on each change of
  /// state.
  Timer StateTimer_;
  /// Runs from a request's first byte to its last.
  Timer WholeTimer_;
  /// Runs while bytes are being written.
  Timer WriteTimer_;
  static constexpr std::size_t ReadBytes = 4096;
  /// Filled by the pending read. Separate from Buffer_, which may be emptied
  /// while the read is pending.
  std::array<char, ReadBytes> ReadBuffer_{};
  boost::beast::flat_buffer Buffer_;
  std::unique_ptr<Parser> Parser_;
  State State_ = State::Idle;
  TurnNumber Turn_;
  bool ReadPending_ = false;
  std::size_t DrainedBytes_ = 0;
  /// Whether the current request allows the connection to be kept alive.
  bool CallerKeepsAlive_ = true;
  bool ClosesAfterResponse_ = false;
  bool IsHeadRequest_ = false;
  /// Whether the caller's version of HTTP has chunked bodies.
  bool CallerKnowsChunks_ = true;
  /// Whether the end of the connection will mark the end of the response.
  bool EndsByClose_ = false;
  bool SentContinue_ = false;
  std::function<void()> DisconnectHook_;
  /// Memory of the body of the request that is received or served.
  ByteBudget::Share Body_;
  ByteBudget::Share Unsent_;
  /// The bytes being written, the number of them that have been written, and
  /// the bytes queued after them.
  std::string Writing_;
  std::size_t Written_ = 0;
  /// Number of completed writes.
  std::uint64_t Writes_ = 0;
  std::string Queued_;
};

} // namespace celerybeam::detail

#endif
