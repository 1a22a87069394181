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

/// A loopback server that responds to each request with bytes that the test
/// provides, valid or not.
class RawServer {
public:
  /// The reaction to a complete request.
  struct Answer {
    std::string Bytes;
    /// Close the connection after the bytes; with Reset, by a TCP reset.
    bool Close = false;
    bool Reset = false;
  };
  using Script = std::function<Answer(const std::string &Request)>;

  RawServer(EventLoop &Loop, Script Reply, const char *Ip = "127.0.0.1");

  std::string address() const;
  /// Complete requests in order of arrival.
  std::vector<std::string> Requests;
  /// Number of connections that the other side closed.
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

/// A caller that sends given bytes and records the bytes that it receives.
class RawCaller {
public:
  /// \param From  the caller's IP address.
  /// \param ReceiveBytes  size of the kernel's receive buffer, where it must
  /// be too small for a response; 0 for the system's default.
  RawCaller(EventLoop &Loop, const std::string &Address,
            const std::string &Bytes, const std::string &From = "127.0.0.1",
            int ReceiveBytes = 0);

  void send(const std::string &Bytes);
  /// Sends while the loop runs; for more bytes than the kernel's buffers hold,
  /// which send() would wait for in vain on the loop's own thread.
  void upload(std::string Bytes);
  /// Stops reading; further data stays in the kernel's buffers.
  void stopReading() { State_->Reads = false; }
  /// Closes the sending side; responses are still received.
  void endSending();
  void close();

  const std::string &received() const { return State_->Received; }
  bool closed() const { return State_->Closed; }
  /// Whether the connection ended with a reset.
  bool wasReset() const { return State_->WasReset; }

private:
  /// Stays alive until the last read has ended, possibly longer than the
  /// caller.
  struct State : std::enable_shared_from_this<State> {
    explicit State(EventLoop &Loop) : Socket(Loop.context()) {}
    void read();

    detail::Tcp::socket Socket;
    std::array<char, 4096> Buffer{};
    std::string Uploaded;
    std::string Received;
    bool Closed = false;
    bool WasReset = false;
    bool Reads = true;
  };

  std::shared_ptr<State> State_;
};

/// Runs the loop until the condition holds. Fails the test after a time that
/// only a hang exceeds.
void runUntil(EventLoop &Loop, const std::function<bool()> &Holds);

} // namespace celerybeam::testing

#endif
