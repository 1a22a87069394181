#include "relay/tests/crashingendpoint.h"

#include <utility>

#include "relay/tests/relayfixture.h"

namespace celerybeam::testing {

using namespace detail;

CrashingEndpoint::CrashingEndpoint(EventLoop &Loop, Behaviour How)
    : Loop_(Loop), How_(std::move(How)), Acceptor_(Loop.context()) {
  bind({asio::ip::make_address("127.0.0.1"), 0});
  listen();
  auto Where = Acceptor_.local_endpoint();
  Address_ = Where.address().to_string() + ":" + std::to_string(Where.port());
}

void CrashingEndpoint::bind(const Tcp::endpoint &Where) {
  Acceptor_.open(Tcp::v4());
  Acceptor_.set_option(asio::socket_base::reuse_address(true));
  Acceptor_.bind(Where);
}

void CrashingEndpoint::listen() {
  Up_ = true;
  Acceptor_.listen();
  accept();
}

void CrashingEndpoint::accept() {
  Acceptor_.async_accept([this](ErrorCode Error, Tcp::socket Socket) {
    if (Error)
      return;
    auto C = std::make_shared<Connection>(std::move(Socket));
    Connections_.push_back(C);
    read(C);
    accept();
  });
}

void CrashingEndpoint::read(const std::shared_ptr<Connection> &C) {
  C->Socket.async_read_some(
      asio::buffer(C->Buffer), [this, C](ErrorCode Error, std::size_t Bytes) {
        if (Error)
          return;
        C->In.append(C->Buffer.data(), Bytes);
        // The bodies of these requests are one byte long.
        auto Head = C->In.find("\r\n\r\n");
        if (Head != std::string::npos && C->In.size() > Head + 4)
          serve(C, std::exchange(C->In, {}));
        read(C);
      });
}

void CrashingEndpoint::serve(const std::shared_ptr<Connection> &C,
                             const std::string &Request) {
  TimePoint Now = Loop_.runtime().Now();
  Arrivals.push_back({Now, Request});
  bool Crashes = How_.CrashesUnder && How_.CrashesUnder(Request);
  Loop_.after(How_.FirstOutput, [this, C, Request, Crashes] {
    ErrorCode Ignored;
    asio::write(C->Socket, asio::buffer(RelayFixture::streamHead(Request)),
                Ignored);
    if (!Crashes)
      return sendEvents(C, 0);
    asio::write(C->Socket, asio::buffer(RelayFixture::event(0)), Ignored);
    Loop_.after(How_.CrashAfter, [this, C] {
      if (C->Socket.is_open())
        crash();
    });
  });
}

void CrashingEndpoint::sendEvents(const std::shared_ptr<Connection> &C,
                                  unsigned Number) {
  ErrorCode Error;
  asio::write(C->Socket,
              asio::buffer(Number <= How_.Events ? RelayFixture::event(Number)
                                                 : std::string(LastChunk)),
              Error);
  if (Error || Number > How_.Events)
    return;
  Loop_.after(How_.EventGap, [this, C, Number] { sendEvents(C, Number + 1); });
}

void CrashingEndpoint::crash() {
  if (!isUp())
    return;
  Up_ = false;
  Crashes.push_back(Loop_.runtime().Now());
  auto Where = Acceptor_.local_endpoint();
  ErrorCode Ignored;
  Acceptor_.close(Ignored);
  // Else another socket may get the port while the engine is down.
  bind(Where);
  for (const auto &Weak : std::exchange(Connections_, {}))
    if (auto C = Weak.lock()) {
      C->Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
      C->Socket.close(Ignored);
    }
  Loop_.after(How_.DownFor, [this] { listen(); });
}

} // namespace celerybeam::testing
