#ifndef CELERYBEAM_TESTS_FUZZ_WIRE_H
#define CELERYBEAM_TESTS_FUZZ_WIRE_H

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "relay/eventloop.h"

namespace celerybeam::fuzzing {

/// One end of a connection on loopback that never waits. What is sent is there
/// for the other end at once, so a script is played the same way each time.
///
/// Closed by a reset, which leaves no port behind that waits for late packets:
/// a run opens some hundred thousand connections.
class Wire {
public:
  explicit Wire(int Descriptor) : Descriptor_(Descriptor) {}
  /// Connects to "127.0.0.1:PORT". \param Last  the last number of the own IP
  /// number, by which a server tells callers apart.
  explicit Wire(const std::string &Address, unsigned Last = 1);
  ~Wire() { reset(); }
  Wire(Wire &&Other) noexcept;
  Wire &operator=(Wire &&) = delete;

  void send(std::string_view Bytes);
  /// Appends what has come. \return whether anything has.
  bool receive(std::string &To);
  /// No more bytes follow; what comes is still received.
  void endSending();
  /// Closes in order.
  void close();
  void reset();

  bool isOpen() const { return Descriptor_ >= 0; }
  /// Whether the other end has closed or reset.
  bool isEnded() const { return Ended_; }

private:
  void setUp();

  int Descriptor_;
  bool Ended_ = false;
  /// What the kernel does not take yet.
  std::string Unsent_;
};

/// Takes connections on a port of loopback.
class WireListener {
public:
  WireListener();
  ~WireListener();
  WireListener(const WireListener &) = delete;
  WireListener &operator=(const WireListener &) = delete;

  const std::string &address() const { return Address_; }
  std::optional<Wire> accept();

private:
  int Descriptor_;
  std::string Address_;
};

/// A clock that moves only when a script says so.
struct ScriptClock {
  std::function<TimePoint()> reader() const {
    return [this] { return Now; };
  }

  TimePoint Now{std::chrono::seconds(1000)};
};

/// Runs what is ready, a bounded number of handlers, without waiting, and then
/// what is due.
void turn(EventLoop &Loop, const ScriptClock &Clock);

/// Handlers that run in one turn at most.
inline constexpr int HandlersPerTurn = 64;

} // namespace celerybeam::fuzzing

#endif
