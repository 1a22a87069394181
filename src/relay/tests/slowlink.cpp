#include "relay/tests/slowlink.h"

#include <algorithm>

#include "relay/internal/sockets.h"

namespace celerybeam::testing {

using namespace detail;

SlowLink::Server::Server(EventLoop &Loop, const std::string &Ip,
                         std::uint16_t Port, Manner How)
    : Acceptor(Loop.context(), {asio::ip::make_address(Ip), Port}), How(How) {}

void SlowLink::add(const std::string &Ip, Manner How) {
  Servers_.emplace_back(Loop_, Ip, Port_, How);
  Port_ = Servers_.back().Acceptor.local_endpoint().port();
  accept(Servers_.back());
}

void SlowLink::pass(std::size_t Bytes) {
  std::erase_if(Responses_, [](const auto &R) { return R->Left.empty(); });
  std::size_t Share = Bytes / std::max<std::size_t>(Responses_.size(), 1);
  for (const auto &R : Responses_) {
    bool IsHalf = R->Left.size() <= Response_.size() / 2;
    if (R->How == Manner::StopsHalfway && IsHalf)
      continue;
    send(*R, R->How == Manner::Trickles ? 1
             : R->How == Manner::IsSlow ? std::min<std::size_t>(Share, 400)
                                        : Share);
  }
}

void SlowLink::accept(Server &At) {
  At.Acceptor.async_accept([this, &At](ErrorCode Error, Tcp::socket Socket) {
    if (Error)
      return;
    auto R = std::make_shared<OpenResponse>(std::move(Socket), At.How);
    R->Socket.async_read_some(asio::buffer(R->Buffer),
                              [this, R](ErrorCode Failed, std::size_t) {
                                if (!Failed)
                                  begin(R);
                              });
    accept(At);
  });
}

void SlowLink::begin(const std::shared_ptr<OpenResponse> &R) {
  ++Requests_;
  R->Left = Response_;
  Responses_.push_back(R);
}

void SlowLink::send(OpenResponse &R, std::size_t Bytes) {
  Bytes = std::min(Bytes, R.Left.size());
  ErrorCode Error;
  asio::write(R.Socket, asio::buffer(R.Left.data(), Bytes), Error);
  PassedBytes_ += Error ? 0 : Bytes;
  R.Left.erase(0, Error ? R.Left.size() : Bytes);
}

std::string responseWith(const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

} // namespace celerybeam::testing
