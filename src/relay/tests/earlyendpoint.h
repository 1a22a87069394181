#ifndef CELERYBEAM_RELAY_TESTS_EARLYENDPOINT_H
#define CELERYBEAM_RELAY_TESTS_EARLYENDPOINT_H

#include <functional>
#include <memory>
#include <string>

#include "relay/eventloop.h"
#include "relay/internal/beast.h"

namespace celerybeam::testing {

/// An endpoint on loopback that responds as soon as it has the head of a
/// request. Its receive buffer is small, so that large requests remain unsent
/// until it reads on.
class EarlyEndpoint {
public:
  /// What the endpoint does after the first bytes of its response.
  enum class Then {
    /// Resets the connection.
    Reset,
    /// Closes the connection with bytes of the request unread.
    Close,
    /// Ends its sending side and reads nothing more.
    EndSending,
    /// Reads the whole request, sends the rest of the response and closes.
    ReadOn,
  };
  struct Answer {
    std::string First;
    Then Next = Then::Reset;
    /// The rest of the response, for ReadOn.
    std::string Rest = {};
    /// Time between the first bytes and what follows.
    std::chrono::milliseconds Pause{0};
  };
  using Script = std::function<Answer(const std::string &Head)>;

  EarlyEndpoint(EventLoop &Loop, Script Reply);

  std::string address() const;
  /// Size of the last request that was read to its end, with its head.
  std::size_t RequestBytes = 0;

private:
  struct Connection {
    Connection(detail::Tcp::socket S, EventLoop &Loop)
        : Socket(std::move(S)), Pause(Loop.context()) {}
    detail::Tcp::socket Socket;
    detail::asio::steady_timer Pause;
    std::array<char, 65536> Buffer{};
    std::string In;
    /// Size of the whole request.
    std::size_t Length = 0;
    Answer Out;
  };
  void accept();
  void readHead(const std::shared_ptr<Connection> &C);
  void answer(const std::shared_ptr<Connection> &C);
  void goOn(const std::shared_ptr<Connection> &C);
  void readRest(const std::shared_ptr<Connection> &C);

  EventLoop &Loop_;
  detail::Tcp::acceptor Acceptor_;
  Script Reply_;
};

} // namespace celerybeam::testing

#endif
