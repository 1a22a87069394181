#ifndef CELERYBEAM_RELAY_INTERNAL_SERVEREXCHANGE_H
#define CELERYBEAM_RELAY_INTERNAL_SERVEREXCHANGE_H

#include "relay/internal/serverconnection.h"

namespace celerybeam::detail {

/// Sends the response to the request of one turn. Calls after the end of the
/// turn have no effect. If a handler drops the exchange without a response, the
/// connection is closed, so that the caller does not wait forever.
class ServerExchange : public HttpExchange {
public:
  ServerExchange(std::shared_ptr<ServerConnection> Connection, TurnNumber Turn)
      : Connection_(std::move(Connection)), Turn_(Turn) {}
  ~ServerExchange() override { Connection_->abort(Turn_); }
  ServerExchange(const ServerExchange &) = delete;
  ServerExchange &operator=(const ServerExchange &) = delete;

  void respond(HttpResponseHead Head, std::string_view Body) override {
    Connection_->respond(Turn_, Head, Body);
  }
  void beginStream(HttpResponseHead Head) override {
    Connection_->beginStream(Turn_, Head);
  }
  void streamPiece(std::string_view Data) override {
    Connection_->streamPiece(Turn_, Data);
  }
  void endStream() override { Connection_->endStream(Turn_); }
  void abort() override { Connection_->abort(Turn_); }
  void onDisconnect(std::function<void()> Callback) override {
    Connection_->onDisconnect(Turn_, std::move(Callback));
  }
  bool isCallerWaiting() override {
    return Connection_->isCallerWaiting(Turn_);
  }

private:
  std::shared_ptr<ServerConnection> Connection_;
  TurnNumber Turn_;
};

} // namespace celerybeam::detail

#endif
