#include "peers/tests/silentrelay.h"

#include <array>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace celerybeam {

namespace {

sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Where{};
  Where.sin_family = AF_INET;
  Where.sin_port = htons(Port);
  Where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Where;
}

int makeSocket() { return ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0); }

} // namespace

SilentRelay::SilentRelay(std::uint16_t Target)
    : Target_(Target), Listening_(makeSocket()) {
  sockaddr_in Where = loopback(0);
  socklen_t Size = sizeof(Where);
  auto *Raw = reinterpret_cast<sockaddr *>(&Where);
  if (::bind(Listening_, Raw, Size) != 0 ||
      ::listen(Listening_, SOMAXCONN) != 0 ||
      ::getsockname(Listening_, Raw, &Size) != 0)
    throw std::runtime_error("The relay cannot listen.");
  Port_ = ntohs(Where.sin_port);
  Accepting_ = std::thread([this] { acceptAll(); });
}

SilentRelay::~SilentRelay() {
  ::shutdown(Listening_, SHUT_RDWR);
  Accepting_.join();
  for (int Socket : Sockets_)
    ::shutdown(Socket, SHUT_RDWR);
  for (std::thread &Pump : Pumps_)
    Pump.join();
  for (int Socket : Sockets_)
    ::close(Socket);
  ::close(Listening_);
}

void SilentRelay::acceptAll() {
  while (true) {
    int ClientSocket = ::accept(Listening_, nullptr, nullptr);
    if (ClientSocket < 0)
      return;
    int ServerSocket = makeSocket();
    sockaddr_in Where = loopback(Target_);
    if (::connect(ServerSocket, reinterpret_cast<sockaddr *>(&Where),
                  sizeof(Where)) != 0) {
      ::close(ServerSocket);
      ::close(ClientSocket);
      continue;
    }
    int Generation = Generation_;
    std::lock_guard Lock(Mutex_);
    Sockets_.insert(Sockets_.end(), {ClientSocket, ServerSocket});
    Pumps_.emplace_back(
        [=, this] { pump(ClientSocket, ServerSocket, Generation); });
    Pumps_.emplace_back(
        [=, this] { pump(ServerSocket, ClientSocket, Generation); });
    ++Connections_;
  }
}

void SilentRelay::pump(int From, int To, int Generation) const {
  std::array<char, 4096> Block{};
  while (true) {
    ssize_t Count = ::recv(From, Block.data(), Block.size(), 0);
    bool Silent = Generation_ != Generation;
    if (Count <= 0) {
      if (!Silent)
        ::shutdown(To, SHUT_WR);
      return;
    }
    if (!Silent)
      ::send(To, Block.data(), static_cast<std::size_t>(Count), MSG_NOSIGNAL);
  }
}

} // namespace celerybeam
