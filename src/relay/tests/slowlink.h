#ifndef CELERYBEAM_RELAY_TESTS_SLOWLINK_H
#define CELERYBEAM_RELAY_TESTS_SLOWLINK_H

#include <array>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "relay/eventloop.h"
#include "relay/internal/beast.h"

namespace celerybeam::testing {

/// Servers on loopback whose responses share one link, on the virtual time of a
/// test: the caller's own link.
class SlowLink {
public:
  /// How a server answers.
  enum class Manner { Sends, StopsHalfway, Trickles, IsSlow };

  /// \param Response  what each server sends.
  SlowLink(EventLoop &Loop, std::string Response)
      : Loop_(Loop), Response_(std::move(Response)) {}

  /// Adds a server; all have the same port.
  void add(const std::string &Ip, Manner How);
  /// Passes bytes to the open responses, in equal shares.
  void pass(std::size_t Bytes);

  std::string port() const { return std::to_string(Port_); }
  unsigned requests() const { return Requests_; }
  std::size_t passedBytes() const { return PassedBytes_; }

private:
  struct Server {
    Server(EventLoop &Loop, const std::string &Ip, std::uint16_t Port,
           Manner How);
    detail::Tcp::acceptor Acceptor;
    Manner How;
  };
  struct OpenResponse {
    OpenResponse(detail::Tcp::socket S, Manner How)
        : Socket(std::move(S)), How(How) {}
    detail::Tcp::socket Socket;
    Manner How;
    std::array<char, 4096> Buffer{};
    std::string Left;
  };

  void accept(Server &At);
  void begin(const std::shared_ptr<OpenResponse> &R);
  void send(OpenResponse &R, std::size_t Bytes);

  EventLoop &Loop_;
  std::string Response_;
  std::uint16_t Port_ = 0;
  std::deque<Server> Servers_;
  std::vector<std::shared_ptr<OpenResponse>> Responses_;
  unsigned Requests_ = 0;
  std::size_t PassedBytes_ = 0;
};

/// A complete response with a body.
std::string responseWith(const std::string &Body);

} // namespace celerybeam::testing

#endif
