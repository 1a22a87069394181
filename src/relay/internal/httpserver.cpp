#include "relay/httpserver.h"

#include <algorithm>
#include <list>
#include <vector>

#include "relay/internal/serverconnection.h"
#include "relay/internal/sockets.h"

namespace celerybeam {

namespace {

using namespace detail;

/// Delay before accepting again after accept failed for lack of file
/// descriptors.
constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(50);
/// Maximum number of established connections that wait to be accepted.
constexpr int Backlog = 512;

} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(EventLoop &Loop, Handler Handle)
      : Loop_(Loop), Acceptor_(Loop.context()), AcceptTimer_(Loop),
        Shared_(std::make_shared<ServerShared>()) {
    Shared_->Handle = std::move(Handle);
    Shared_->Time = Loop.runtime();
  }

  Result<void> listen(const Address &Where) {
    auto To = parseEndpoint(Where);
    if (!To)
      return makeError(ErrorKind::InvalidSettings,
                       "\"" + Where.str() +
                           "\" is no valid address; use the form IP:PORT.");
    ErrorCode Error;
    Acceptor_.open(To->protocol(), Error);
    if (!Error)
      Acceptor_.set_option(Tcp::acceptor::reuse_address(true), Error);
    if (!Error)
      Acceptor_.bind(*To, Error);
    if (!Error)
      Acceptor_.listen(Backlog, Error);
    if (Error)
      return makeError(ErrorKind::InvalidSettings,
                       "Cannot listen on " + Where.str() + ": " +
                           Error.message() +
                           "; free the port or configure another.");
    accept();
    return {};
  }

  void accept() {
    Acceptor_.async_accept(
        [Self = shared_from_this()](ErrorCode Error, Tcp::socket Socket) {
          if (Self->Shared_->Stopped)
            return;
          if (Error && Error != asio::error::connection_aborted)
            return Self->acceptLater();
          Self->accept();
          if (!Error)
            Self->addConnection(std::move(Socket));
        });
  }

  void acceptLater() {
    AcceptTimer_.set(AcceptRetryDelay, [Weak = weak_from_this()] {
      auto Self = Weak.lock();
      if (Self && !Self->Shared_->Stopped)
        Self->accept();
    });
  }

  void addConnection(Tcp::socket Socket) {
    if (Shared_->Open >= Shared_->Limits.Connections &&
        !closeConnectionOfBusiestIp())
      return;
    auto Connection =
        std::make_shared<ServerConnection>(Loop_, std::move(Socket), Shared_);
    std::erase_if(Connections_,
                  [](const auto &Weak) { return Weak.expired(); });
    Connections_.push_back(Connection);
    Connection->start();
  }

  /// Closes a connection of the address that has the most, so that one caller
  /// with many connections cannot exclude the others.
  bool closeConnectionOfBusiestIp() {
    auto Busiest = std::max_element(
        Shared_->OpenByIp.begin(), Shared_->OpenByIp.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; });
    if (Busiest == Shared_->OpenByIp.end())
      return false;
    const std::string Ip = Busiest->first;
    for (bool AlsoReading : {false, true})
      // Connections_ is ordered by age, oldest first.
      for (const auto &Weak : Connections_) {
        auto Connection = Weak.lock();
        if (Connection && Connection->peerIp() == Ip &&
            Connection->closeToMakeRoom(AlsoReading))
          return true;
      }
    return false;
  }

  void stopListening() {
    Shared_->Stopped = true;
    ErrorCode Ignored;
    Acceptor_.close(Ignored);
    for (const auto &Weak :
         std::vector(Connections_.begin(), Connections_.end()))
      if (auto Connection = Weak.lock())
        Connection->closeIfIdle();
  }

  EventLoop &Loop_;
  Tcp::acceptor Acceptor_;
  Timer AcceptTimer_;
  std::shared_ptr<ServerShared> Shared_;
  std::list<std::weak_ptr<ServerConnection>> Connections_;
};

HttpServer::HttpServer(EventLoop &Loop, Handler Handle)
    : Impl_(std::make_shared<Impl>(Loop, std::move(Handle))) {}
HttpServer::~HttpServer() { Impl_->stopListening(); }

Result<void> HttpServer::listen(const Address &Where) {
  return Impl_->listen(Where);
}
Address HttpServer::address() const {
  detail::ErrorCode Error;
  auto Where = Impl_->Acceptor_.local_endpoint(Error);
  return Error ? Address()
               : Address(Where.address().to_string() + ":" +
                         std::to_string(Where.port()));
}
void HttpServer::setLimits(const HttpServerLimits &Limits) {
  Impl_->Shared_->Limits = Limits;
  Impl_->Shared_->Bodies.setLimit(Limits.AllBodyBytes);
  Impl_->Shared_->Unsent.setLimit(Limits.AllUnsentBytes);
}
void HttpServer::setRefusalFields(
    std::function<HttpFields(const HttpRequestHead &)> Fields) {
  Impl_->Shared_->RefusalFields = std::move(Fields);
}
void HttpServer::onRefused(std::function<void(const ReadRefusal &)> Callback) {
  Impl_->Shared_->Refused = std::move(Callback);
}
void HttpServer::onUnread(
    std::function<void(const UnreadResponse &)> Callback) {
  Impl_->Shared_->Unread = std::move(Callback);
}
void HttpServer::closeAfterResponses() {
  Impl_->Shared_->CloseAfterResponses = true;
}
void HttpServer::stopListening() { Impl_->stopListening(); }
std::size_t HttpServer::inFlight() const { return Impl_->Shared_->InFlight; }
std::size_t HttpServer::bodyBytesHeld() const {
  return Impl_->Shared_->Bodies.held();
}
std::size_t HttpServer::unsentBytesHeld() const {
  return Impl_->Shared_->Unsent.held();
}

} // namespace celerybeam
