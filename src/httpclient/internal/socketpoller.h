#ifndef CELERYBEAM_HTTPCLIENT_INTERNAL_SOCKETPOLLER_H
#define CELERYBEAM_HTTPCLIENT_INTERNAL_SOCKETPOLLER_H

#include <chrono>
#include <optional>

#include <curl/curl.h>

namespace celerybeam {

/// Drives a libcurl multi handle from epoll, so that an event causes work for
/// its own socket only: curl_multi_perform checks every socket at each event.
///
/// All functions except wake must be called on one thread.
class SocketPoller {
public:
  explicit SocketPoller(CURLM *Multi);
  ~SocketPoller();

  SocketPoller(const SocketPoller &) = delete;
  SocketPoller &operator=(const SocketPoller &) = delete;

  /// Waits for socket events, a timer of the library or wake, and lets the
  /// library handle them.
  void poll();

  /// Ends the wait of the current or next poll. Thread-safe.
  void wake();

private:
  using Clock = std::chrono::steady_clock;

  int waitMilliseconds() const;
  void handleEvents(curl_socket_t Socket, int Events);
  void runTimer();
  void watchSocket(curl_socket_t Socket, int Interest);

  static int socketChanged(CURL *Easy, curl_socket_t Socket, int Interest,
                           void *Self, void *Assigned);
  static int timerChanged(CURLM *Multi, long Milliseconds, void *Self);

  CURLM *Multi_;
  int Epoll_;
  int WakeEvent_;
  std::optional<Clock::time_point> Timer_;
};

} // namespace celerybeam

#endif
