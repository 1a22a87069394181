#include "relay/tests/rawpeer.h"

#include <boost/test/unit_test.hpp>

#include "relay/internal/sockets.h"

namespace celerybeam::testing {

namespace {

using namespace detail;

constexpr std::chrono::seconds HangTimeout(20);

/// Length of the first complete request in the text; 0 when there is none yet.
std::size_t wholeRequest(const std::string &Text) {
  auto End = Text.find("\r\n\r\n");
  if (End == std::string::npos)
    return 0;
  std::size_t Head = End + 4;
  auto Length = Text.find("Content-Length: ");
  if (Length == std::string::npos || Length > End)
    return Head;
  std::size_t Body = std::stoul(Text.substr(Length + 16));
  return Text.size() >= Head + Body ? Head + Body : 0;
}

} // namespace

RawServer::RawServer(EventLoop &Loop, Script Reply, const char *Ip)
    : Acceptor_(Loop.context(), {asio::ip::make_address(Ip), 0}),
      Reply_(std::move(Reply)) {
  accept();
}

std::string RawServer::address() const {
  auto Where = Acceptor_.local_endpoint();
  return Where.address().to_string() + ":" + std::to_string(Where.port());
}

void RawServer::accept() {
  Acceptor_.async_accept([this](ErrorCode Error, Tcp::socket Socket) {
    if (Error)
      return;
    read(std::make_shared<Connection>(std::move(Socket)));
    accept();
  });
}

void RawServer::read(const std::shared_ptr<Connection> &C) {
  C->Socket.async_read_some(asio::buffer(C->Buffer),
                            [this, C](ErrorCode Error, std::size_t Bytes) {
                              if (Error) {
                                ++ClosedByPeer;
                                return;
                              }
                              C->In.append(C->Buffer.data(), Bytes);
                              answer(C);
                            });
}

void RawServer::answer(const std::shared_ptr<Connection> &C) {
  std::size_t Length = wholeRequest(C->In);
  if (Length == 0)
    return read(C);
  Requests.push_back(C->In.substr(0, Length));
  C->In.erase(0, Length);
  Answer A = Reply_(Requests.back());
  C->Out = A.Bytes;
  asio::async_write(
      C->Socket, asio::buffer(C->Out), [this, C, A](ErrorCode, std::size_t) {
        ErrorCode Ignored;
        if (A.Reset)
          C->Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
        if (A.Close || A.Reset)
          C->Socket.close(Ignored);
        else
          read(C);
      });
}

RawCaller::RawCaller(EventLoop &Loop, const std::string &Address,
                     const std::string &Bytes, const std::string &From,
                     int ReceiveBytes)
    : State_(std::make_shared<State>(Loop)) {
  State_->Socket.open(Tcp::v4());
  if (ReceiveBytes > 0)
    State_->Socket.set_option(
        asio::socket_base::receive_buffer_size(ReceiveBytes));
  State_->Socket.bind({asio::ip::make_address(From), 0});
  State_->Socket.connect(*parseEndpoint(celerybeam::Address(Address)));
  send(Bytes);
  State_->read();
}

void RawCaller::send(const std::string &Bytes) {
  ErrorCode Ignored;
  asio::write(State_->Socket, asio::buffer(Bytes), Ignored);
}

void RawCaller::upload(std::string Bytes) {
  State_->Uploaded = std::move(Bytes);
  asio::async_write(State_->Socket, asio::buffer(State_->Uploaded),
                    [Self = State_](ErrorCode, std::size_t) {});
}

void RawCaller::endSending() {
  ErrorCode Ignored;
  State_->Socket.shutdown(Tcp::socket::shutdown_send, Ignored);
}

void RawCaller::close() {
  ErrorCode Ignored;
  State_->Socket.close(Ignored);
}

void RawCaller::State::read() {
  Socket.async_read_some(
      asio::buffer(Buffer),
      [Self = shared_from_this()](ErrorCode Error, std::size_t Bytes) {
        Self->Received.append(Self->Buffer.data(), Bytes);
        Self->Closed = static_cast<bool>(Error);
        Self->WasReset = Error == asio::error::connection_reset;
        if (!Error && Self->Reads)
          Self->read();
      });
}

void runUntil(EventLoop &Loop, const std::function<bool()> &Holds) {
  auto Until = std::chrono::steady_clock::now() + HangTimeout;
  while (!Holds() && std::chrono::steady_clock::now() < Until)
    Loop.context().run_one_for(std::chrono::milliseconds(20));
  BOOST_REQUIRE(Holds());
}

} // namespace celerybeam::testing
