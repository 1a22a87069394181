#ifndef CELERYBEAM_HTTPCLIENT_INTERNAL_SOCKETPOLLER_H
#define CELERYBEAM_HTTPCLIENT_INTERNAL_SOCKETPOLLER_H

#include <chrono>
#include <optional>

#include <curl/curl.h>

namespace celerybeam {

/// Drives a libcurl multi handle from epoll, so that an event costs the work
/// on its own socket only: curl_multi_perform asks the state of each socket
/// at every event of any.
///
/// All but wake belong to one thread.
class SocketPoller {
public:
  explicit SocketPoller(CURLM *Multi);
  ~SocketPoller();

  SocketPoller(const SocketPoller &) = delete;
  SocketPoller &operator=(const SocketPoller &) = delete;

  /// Waits for sockets, a timer of the library or a wake, and lets the
  /// library act on them.
  void poll();

  /// Ends the wait of this or the next poll. Thread-safe.
  void wake();

private:
  using Clock = std::chrono::steady_clock;

  int waitMilliseconds() const;
  void act(curl_socket_t Socket, int Events);
  void runTimer();
  void watchSocket(curl_socket_t Socket, int What);

  static int socketChanged(CURL *Easy, curl_socket_t Socket, int What,
                           void *Self, void *Assigned);
  static int timerChanged(CURLM *Multi, long Milliseconds, void *Self);

  CURLM *Multi_;
  int Poll_;
  int Wake_;
  std::optional<Clock::time_point> Timer_;
};

} // namespace celerybeam

#endif
