#ifndef CELERYBEAM_RELAY_TESTS_CRASHINGENDPOINT_H
#define CELERYBEAM_RELAY_TESTS_CRASHINGENDPOINT_H

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "relay/eventloop.h"
#include "relay/internal/beast.h"

namespace celerybeam::testing {

/// An engine on loopback that answers each request with a stream, and that may
/// end while it writes one. It then resets all its connections and accepts no
/// further ones until it is back at the same address.
class CrashingEndpoint {
public:
  struct Behaviour {
    /// Whether the engine ends under this request.
    std::function<bool(const std::string &Request)> CrashesUnder;
    /// From the request to the head and the first event.
    Duration FirstOutput = std::chrono::milliseconds(20);
    /// From the first event to the crash.
    Duration CrashAfter = std::chrono::milliseconds(60);
    /// Further events of a request that is served, and the time between them.
    unsigned Events = 4;
    Duration EventGap = std::chrono::milliseconds(100);
    Duration DownFor = std::chrono::seconds(1);
  };

  struct Arrival {
    TimePoint At{};
    std::string Request;
  };

  CrashingEndpoint(EventLoop &Loop, Behaviour How);

  std::string address() const { return Address_; }
  bool isUp() const { return Up_; }
  void crash();

  std::vector<Arrival> Arrivals;
  std::vector<TimePoint> Crashes;

private:
  struct Connection {
    explicit Connection(detail::Tcp::socket S) : Socket(std::move(S)) {}
    detail::Tcp::socket Socket;
    std::string In;
    std::array<char, 4096> Buffer{};
  };

  /// Takes an address without accepting connections at it.
  void bind(const detail::Tcp::endpoint &Where);
  void listen();
  void accept();
  void read(const std::shared_ptr<Connection> &C);
  void serve(const std::shared_ptr<Connection> &C, const std::string &Request);
  /// Writes the event of this number and those that follow.
  void sendEvents(const std::shared_ptr<Connection> &C, unsigned Number);

  EventLoop &Loop_;
  Behaviour How_;
  detail::Tcp::acceptor Acceptor_;
  std::string Address_;
  bool Up_ = false;
  std::list<std::weak_ptr<Connection>> Connections_;
};

} // namespace celerybeam::testing

#endif
