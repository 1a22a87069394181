#ifndef CELERYBEAM_RELAY_INTERNAL_SERVEREXCHANGE_H
#define CELERYBEAM_RELAY_INTERNAL_SERVEREXCHANGE_H

#include "relay/internal/serverconnection.h"

namespace celerybeam::detail {

/// Answers the request of one turn. Whatever it is asked once the turn has
/// ended does nothing. A handler that drops it without an answer ends the
/// connection, so that the caller does not wait for ever.
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
  void onGone(std::function<void()> Gone) override {
    Connection_->onGone(Turn_, std::move(Gone));
  }

private:
  std::shared_ptr<ServerConnection> Connection_;
  TurnNumber Turn_;
};

} // namespace celerybeam::detail

#endif
