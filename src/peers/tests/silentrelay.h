#ifndef CELERYBEAM_PEERS_TESTS_SILENTRELAY_H
#define CELERYBEAM_PEERS_TESTS_SILENTRELAY_H

#include <atomic>
#include <cstdint>
#include <mutex>
#include <thread>
#include <vector>

namespace celerybeam {

/// A TCP relay to a loopback port. After silence() it keeps the existing
/// connections open but relays no more data on them, like a middlebox that
/// has lost their state; new connections work.
class SilentRelay {
public:
  explicit SilentRelay(std::uint16_t Target);
  ~SilentRelay();

  std::uint16_t port() const { return Port_; }
  void silence() { ++Generation_; }
  int connections() const { return Connections_; }

private:
  void acceptAll();
  void pump(int From, int To, int Generation) const;

  const std::uint16_t Target_;
  std::uint16_t Port_ = 0;
  int Listening_ = -1;
  std::atomic<int> Generation_ = 0;
  std::atomic<int> Connections_ = 0;
  std::mutex Mutex_;
  std::vector<int> Sockets_;
  std::vector<std::thread> Pumps_;
  std::thread Accepting_;
};

} // namespace celerybeam

#endif
