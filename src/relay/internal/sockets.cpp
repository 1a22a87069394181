#include "relay/internal/sockets.h"

#include <cerrno>
#include <charconv>

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace celerybeam::detail {

namespace {

/// Idle seconds before the first keep-alive probe and between probes.
constexpr int ProbeAfterSeconds = 1;
constexpr int Probes = 2;

void setOption(int Socket, int Level, int Name, int Value) {
  static_cast<void>(::setsockopt(Socket, Level, Name, &Value, sizeof(Value)));
}

} // namespace

std::optional<Tcp::endpoint> parseEndpoint(const Address &Where) {
  const std::string &Text = Where.str();
  auto Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  ErrorCode Error;
  auto Ip = asio::ip::make_address(Text.substr(0, Colon), Error);
  unsigned short Port = 0;
  const char *End = Text.data() + Text.size();
  auto Read = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Error || Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  return Tcp::endpoint(Ip, Port);
}

bool isOpenAndIdle(Tcp::socket &Socket) {
  char Byte = 0;
  ssize_t Got =
      ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool isClosedByPeer(Tcp::socket &Socket) {
  char Byte = 0;
  ssize_t Got =
      ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Got == 0)
    return true;
  if (Got < 0)
    return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
  pollfd State{Socket.native_handle(), POLLRDHUP, 0};
  return ::poll(&State, 1, 0) > 0 &&
         (State.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::size_t unacknowledgedBytes(Tcp::socket &Socket) {
  int Bytes = 0;
  if (::ioctl(Socket.native_handle(), TIOCOUTQ, &Bytes) != 0 || Bytes < 0)
    return 0;
  return static_cast<std::size_t>(Bytes);
}

void setConnectionOptions(Tcp::socket &Socket, Duration AckTimeout) {
  ErrorCode Ignored;
  Socket.set_option(Tcp::no_delay(true), Ignored);
  int Handle = Socket.native_handle();
  auto Millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(AckTimeout);
  setOption(Handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPIDLE, ProbeAfterSeconds);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPINTVL, ProbeAfterSeconds);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPCNT, Probes);
  setOption(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(Millis.count()));
}

} // namespace celerybeam::detail
