#ifndef CELERYBEAM_REVIEW_WIRE_H
#define CELERYBEAM_REVIEW_WIRE_H

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace celerybeam::review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// A blocking TCP connection with a read buffer. Every wait has a bound.
class Connection {
public:
  explicit Connection(int Socket) : Socket_(Socket) {}
  ~Connection() { close(); }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// Connects to IP:PORT. \param ReceiveBytes  the size of the receive buffer;
  /// the system's own if zero. \return null on failure.
  static std::unique_ptr<Connection> to(const std::string &Address,
                                        int ReceiveBytes = 0);

  bool write(const std::string &Bytes);
  /// Reads some bytes that were not read before, at most Most. \return empty
  /// at the end, on an error or when nothing comes in time.
  std::string readSome(std::size_t Most, Millis Wait);
  /// Reads a line without its end; unset at the end of the connection.
  std::optional<std::string> readLine(Millis Wait);
  std::optional<std::string> readExactly(std::size_t Bytes, Millis Wait);
  /// How the connection ended, for the record.
  const std::string &ending() const { return Ending_; }
  /// Wakes a thread that reads.
  void shutDown();
  void close();

private:
  bool fill(Millis Wait);

  int Socket_;
  std::string Buffer_;
  std::string Ending_;
};

/// A request or response with a length. Field names are in lower case.
struct Message {
  std::string StartLine;
  std::map<std::string, std::string> Fields;
  std::string Body;

  std::string field(const std::string &Name) const;
  /// The second word of the start line: a target or a status.
  std::string secondWord() const;
  std::string firstWord() const;
};

/// Reads a head; the body is left on the connection.
std::optional<Message> readHead(Connection &From, Millis Wait);
/// Reads a head and the body that its length states.
std::optional<Message> readMessage(Connection &From, Millis Wait);

/// Listens on an address and serves each connection on a thread of its own.
class Listener {
public:
  using Serve = std::function<void(Connection &)>;

  /// \param Address  IP:PORT; throws when it cannot be bound.
  Listener(const std::string &Address, Serve Handle);
  ~Listener();
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

private:
  void accept();
  void serve(int Socket);

  Serve Handle_;
  int Socket_;
  std::atomic<bool> Stops_ = false;
  std::mutex Mutex_;
  std::vector<std::thread> Threads_;
  std::vector<Connection *> Open_;
  std::thread Acceptor_;
};

} // namespace celerybeam::review

#endif
