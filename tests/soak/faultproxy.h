#ifndef CELERYBEAM_TESTS_SOAK_FAULTPROXY_H
#define CELERYBEAM_TESTS_SOAK_FAULTPROXY_H

#include <array>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "relay/eventloop.h"
#include "relay/internal/sockets.h"

namespace celerybeam::testing {

/// A loopback proxy that harms the connections that go through it.
class FaultProxy {
public:
  enum class Mode {
    Pass,
    /// Bytes are held back for a while.
    Delay,
    /// Bytes of one direction vanish.
    LoseToTarget,
    LoseFromTarget,
    /// Nothing passes, nothing is closed; new connections are taken.
    Silence,
    /// New connections are reset.
    Refuse,
    /// New connections reach the target late.
    LateConnect,
    /// Connects to the proxy itself hang: the kernel drops them, as its queue
    /// is full. One that began meanwhile is taken SynRetry later, if the
    /// mode has ended by then.
    Hang,
  };

  FaultProxy(EventLoop &Loop, std::string Target);
  ~FaultProxy();

  std::string address() const;
  void setTarget(std::string Target) { Target_ = std::move(Target); }
  void setMode(Mode M);
  /// Ends all present connections without an orderly end.
  void resetAll();
  /// Present connections go silent for good, whatever the mode.
  void silenceAll();

  static constexpr Duration DelayTime = std::chrono::milliseconds(150);
  /// What a connect between far regions takes.
  static constexpr Duration ConnectTime = std::chrono::milliseconds(55);
  /// After this Linux sends the first packet of a connect again.
  static constexpr Duration SynRetry = std::chrono::seconds(1);

private:
  struct Link;
  void accept();
  void connect(const std::shared_ptr<Link> &L);
  void pump(const std::shared_ptr<Link> &L, bool ToTarget);
  void pass(const std::shared_ptr<Link> &L, bool ToTarget, std::size_t Bytes);

  EventLoop &Loop_;
  std::string Target_;
  Mode Mode_ = Mode::Pass;
  detail::Tcp::acceptor Acceptor_;
  std::set<std::shared_ptr<Link>> Links_;
  /// Connections that fill the queue while connects hang.
  std::vector<detail::Tcp::socket> Fillers_;
};

} // namespace celerybeam::testing

#endif
