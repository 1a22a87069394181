#ifndef CELERYBEAM_RELAY_INTERNAL_SERVERCONNECTION_H
#define CELERYBEAM_RELAY_INTERNAL_SERVERCONNECTION_H

#include <functional>
#include <memory>
#include <string>

#include "relay/httpserver.h"
#include "relay/internal/beast.h"

namespace celerybeam::detail {

/// What all connections of one server share.
struct ServerShared {
  HttpServer::Handler Handle;
  std::function<void(const ReadRefusal &)> Refused;
  HttpServerLimits Limits;
  Runtime Time;
  bool CloseAfterAnswers = false;
  bool Stopped = false;
  std::size_t Open = 0;
  std::size_t InFlight = 0;
};

/// One caller's connection: reads a request, waits for its answer, reads on.
class ServerConnection : public HttpExchange,
                         public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(Tcp::socket Socket, std::shared_ptr<ServerShared> Shared);
  ~ServerConnection() override;

  void start();
  /// Closes the connection if no request is under way.
  void closeIfIdle();

  void respond(HttpResponseHead Head, std::string_view Body) override;
  void beginStream(HttpResponseHead Head) override;
  void streamPiece(std::string_view Data) override;
  void endStream() override;
  void abort() override;
  void onGone(std::function<void()> Gone) override;

private:
  using Parser = http::request_parser<http::string_body>;

  enum class Stage { Idle, Reading, Answering, Closed };

  void nextRequest();
  void armTimer(Duration D);
  void timedOut();
  void read();
  void onRead(ErrorCode Error, std::size_t Bytes);
  void parse();
  void requestComplete();
  /// Why the head's framing is not accepted; null if it is.
  const char *framingProblem() const;
  void refuse(unsigned Status, const char *Why);
  void tellRefused(unsigned Status, const char *Why) const;
  HttpRequestHead headRead() const;
  void send(std::string_view Bytes);
  void write();
  void answerComplete();
  void close();
  void callerGone();

  Tcp::socket Socket_;
  std::shared_ptr<ServerShared> Shared_;
  asio::steady_timer Timer_;
  boost::beast::flat_buffer Buffer_;
  std::unique_ptr<Parser> Parser_;
  Stage Stage_ = Stage::Idle;
  bool ReadPending_ = false;
  bool CallerKeeps_ = true;
  bool ClosesAfter_ = false;
  bool HeadMethod_ = false;
  bool SentContinue_ = false;
  std::function<void()> Gone_;
  /// Bytes being written, and those that follow.
  std::string Writing_;
  std::string Queued_;
};

} // namespace celerybeam::detail

#endif
