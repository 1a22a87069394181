#include "relay/tests/earlyendpoint.h"

#include "relay/tests/relayfixture.h"

namespace celerybeam::testing {

namespace {

using namespace detail;

constexpr int ReceiveBytes = 8192;

} // namespace

EarlyEndpoint::EarlyEndpoint(EventLoop &Loop, Script Reply)
    : Loop_(Loop), Acceptor_(Loop.context(), Tcp::v4()),
      Reply_(std::move(Reply)) {
  // Accepted sockets inherit the size.
  Acceptor_.set_option(asio::socket_base::receive_buffer_size(ReceiveBytes));
  Acceptor_.bind({asio::ip::make_address("127.0.0.1"), 0});
  Acceptor_.listen();
  accept();
}

std::string EarlyEndpoint::address() const {
  return "127.0.0.1:" + std::to_string(Acceptor_.local_endpoint().port());
}

void EarlyEndpoint::accept() {
  Acceptor_.async_accept([this](ErrorCode Error, Tcp::socket Socket) {
    if (Error)
      return;
    readHead(std::make_shared<Connection>(std::move(Socket), Loop_));
    accept();
  });
}

void EarlyEndpoint::readHead(const std::shared_ptr<Connection> &C) {
  constexpr std::size_t Part = 512;
  C->Socket.async_read_some(
      asio::buffer(C->Buffer.data(), Part),
      [this, C](ErrorCode Error, std::size_t Bytes) {
        if (Error)
          return;
        C->In.append(C->Buffer.data(), Bytes);
        auto End = C->In.find("\r\n\r\n");
        if (End == std::string::npos)
          return readHead(C);
        C->Length =
            End + 4 + std::stoul(RelayFixture::field(C->In, "Content-Length"));
        C->Out = Reply_(C->In);
        answer(C);
      });
}

void EarlyEndpoint::answer(const std::shared_ptr<Connection> &C) {
  ErrorCode Ignored;
  asio::write(C->Socket, asio::buffer(C->Out.First), Ignored);
  if (C->Out.Pause == C->Out.Pause.zero())
    return goOn(C);
  C->Pause.expires_after(C->Out.Pause);
  C->Pause.async_wait([this, C](ErrorCode) { goOn(C); });
}

void EarlyEndpoint::goOn(const std::shared_ptr<Connection> &C) {
  ErrorCode Ignored;
  switch (C->Out.Next) {
  case Then::Reset:
    C->Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
    C->Socket.close(Ignored);
    return;
  case Then::Close:
    // Without unread bytes the close would not reset the connection.
    C->Socket.async_wait(Tcp::socket::wait_read,
                         [C](ErrorCode) { C->Socket.close(); });
    return;
  case Then::EndSending:
    C->Socket.shutdown(Tcp::socket::shutdown_send, Ignored);
    // Keeps the connection until the other end closes it.
    C->Socket.async_wait(Tcp::socket::wait_error, [C](ErrorCode) {});
    return;
  case Then::ReadOn:
    return readRest(C);
  }
}

void EarlyEndpoint::readRest(const std::shared_ptr<Connection> &C) {
  if (C->In.size() >= C->Length) {
    RequestBytes = C->In.size();
    ErrorCode Ignored;
    asio::write(C->Socket, asio::buffer(C->Out.Rest), Ignored);
    C->Socket.close(Ignored);
    return;
  }
  C->Socket.async_read_some(asio::buffer(C->Buffer),
                            [this, C](ErrorCode Error, std::size_t Bytes) {
                              C->In.append(C->Buffer.data(), Bytes);
                              if (!Error)
                                readRest(C);
                            });
}

} // namespace celerybeam::testing
