#ifndef CELERYBEAM_RELAY_TESTS_RAWPEER_H
#define CELERYBEAM_RELAY_TESTS_RAWPEER_H

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "relay/eventloop.h"
#include "relay/internal/beast.h"

namespace celerybeam::testing {

/// A server on loopback that answers each request with bytes that the test
/// gives, right or wrong.
class RawServer {
public:
  /// What to do once a whole request has been read.
  struct Answer {
    std::string Bytes;
    /// Close after the bytes; with Reset, without an orderly end.
    bool Close = false;
    bool Reset = false;
  };
  using Script = std::function<Answer(const std::string &Request)>;

  RawServer(EventLoop &Loop, Script Reply);

  std::string address() const;
  /// Whole requests in the order in which they came.
  std::vector<std::string> Requests;
  /// Connections that their other side closed.
  unsigned ClosedByPeer = 0;

private:
  struct Connection {
    explicit Connection(detail::Tcp::socket S) : Socket(std::move(S)) {}
    detail::Tcp::socket Socket;
    std::string In;
    std::string Out;
    std::array<char, 4096> Buffer{};
  };
  void accept();
  void read(const std::shared_ptr<Connection> &C);
  void answer(const std::shared_ptr<Connection> &C);

  detail::Tcp::acceptor Acceptor_;
  Script Reply_;
};

/// A caller that sends bytes and keeps what comes back.
class RawCaller {
public:
  /// \param From  the IP number that it calls from.
  RawCaller(EventLoop &Loop, const std::string &Address,
            const std::string &Bytes, const std::string &From = "127.0.0.1");

  void send(const std::string &Bytes);
  /// Leaves what comes from now on in the kernel.
  void stopReading() { State_->Reads = false; }
  /// Closes its sending side; answers still come.
  void endSending();
  void close();

  const std::string &received() const { return State_->Received; }
  bool closed() const { return State_->Closed; }

private:
  /// Outlives the caller until the last read has ended.
  struct State : std::enable_shared_from_this<State> {
    explicit State(EventLoop &Loop) : Socket(Loop.context()) {}
    void read();

    detail::Tcp::socket Socket;
    std::array<char, 4096> Buffer{};
    std::string Received;
    bool Closed = false;
    bool Reads = true;
  };

  std::shared_ptr<State> State_;
};

/// Runs the loop until the condition holds. Fails the test when it does not
/// within a time that only a hang exceeds.
void runUntil(EventLoop &Loop, const std::function<bool()> &Holds);

} // namespace celerybeam::testing

#endif
