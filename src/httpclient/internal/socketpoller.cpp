#include "httpclient/internal/socketpoller.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace celerybeam {

namespace {

constexpr int MaxEvents = 64;
constexpr int NoTimeout = -1;

std::uint32_t pollEvents(int Interest) {
  std::uint32_t Events = 0;
  if ((Interest & CURL_POLL_IN) != 0)
    Events |= EPOLLIN;
  if ((Interest & CURL_POLL_OUT) != 0)
    Events |= EPOLLOUT;
  return Events;
}

int curlEvents(std::uint32_t Events) {
  int Mask = 0;
  if ((Events & (EPOLLIN | EPOLLHUP)) != 0)
    Mask |= CURL_CSELECT_IN;
  if ((Events & EPOLLOUT) != 0)
    Mask |= CURL_CSELECT_OUT;
  if ((Events & EPOLLERR) != 0)
    Mask |= CURL_CSELECT_ERR;
  return Mask;
}

} // namespace

SocketPoller::SocketPoller(CURLM *Multi)
    : Multi_(Multi), Epoll_(epoll_create1(EPOLL_CLOEXEC)),
      WakeEvent_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  watchSocket(WakeEvent_, CURL_POLL_IN);
  curl_multi_setopt(Multi_, CURLMOPT_SOCKETFUNCTION,
                    &SocketPoller::socketChanged);
  curl_multi_setopt(Multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(Multi_, CURLMOPT_TIMERFUNCTION,
                    &SocketPoller::timerChanged);
  curl_multi_setopt(Multi_, CURLMOPT_TIMERDATA, this);
}

SocketPoller::~SocketPoller() {
  curl_multi_setopt(Multi_, CURLMOPT_SOCKETFUNCTION, nullptr);
  curl_multi_setopt(Multi_, CURLMOPT_TIMERFUNCTION, nullptr);
  close(WakeEvent_);
  close(Epoll_);
}

void SocketPoller::poll() {
  std::array<struct epoll_event, MaxEvents> Events{};
  int Count = epoll_wait(Epoll_, Events.data(), MaxEvents, waitMilliseconds());
  for (int I = 0; I < Count; ++I)
    handleEvents(Events[I].data.fd, curlEvents(Events[I].events));
  runTimer();
}

void SocketPoller::wake() {
  const std::uint64_t One = 1;
  // Fails only when the counter is full; the poll then wakes anyway.
  [[maybe_unused]] ssize_t Written = write(WakeEvent_, &One, sizeof(One));
}

int SocketPoller::waitMilliseconds() const {
  if (!Timer_)
    return NoTimeout;
  auto Left =
      std::chrono::ceil<std::chrono::milliseconds>(*Timer_ - Clock::now());
  return static_cast<int>(std::max<std::int64_t>(Left.count(), 0));
}

void SocketPoller::handleEvents(curl_socket_t Socket, int Events) {
  if (Socket == WakeEvent_) {
    std::uint64_t Wakes = 0;
    [[maybe_unused]] ssize_t Size = read(WakeEvent_, &Wakes, sizeof(Wakes));
    return;
  }
  int Running = 0;
  curl_multi_socket_action(Multi_, Socket, Events, &Running);
}

void SocketPoller::runTimer() {
  if (!Timer_ || Clock::now() < *Timer_)
    return;
  // Reset first, because the library may set a new timer during the call.
  Timer_.reset();
  int Running = 0;
  curl_multi_socket_action(Multi_, CURL_SOCKET_TIMEOUT, 0, &Running);
}

void SocketPoller::watchSocket(curl_socket_t Socket, int Interest) {
  struct epoll_event Event = {};
  Event.events = pollEvents(Interest);
  Event.data.fd = Socket;
  if (Interest == CURL_POLL_REMOVE) {
    epoll_ctl(Epoll_, EPOLL_CTL_DEL, Socket, &Event);
    return;
  }
  if (epoll_ctl(Epoll_, EPOLL_CTL_ADD, Socket, &Event) != 0 && errno == EEXIST)
    epoll_ctl(Epoll_, EPOLL_CTL_MOD, Socket, &Event);
}

int SocketPoller::socketChanged(CURL * /*Easy*/, curl_socket_t Socket,
                                int Interest, void *Self, void * /*Assigned*/) {
  static_cast<SocketPoller *>(Self)->watchSocket(Socket, Interest);
  return 0;
}

int SocketPoller::timerChanged(CURLM * /*Multi*/, long Milliseconds,
                               void *Self) {
  auto &Timer = static_cast<SocketPoller *>(Self)->Timer_;
  if (Milliseconds < 0)
    Timer.reset();
  else
    Timer = Clock::now() + std::chrono::milliseconds(Milliseconds);
  return 0;
}

} // namespace celerybeam
