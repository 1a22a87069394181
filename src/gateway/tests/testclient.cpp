#include "gateway/tests/testclient.h"

#include <array>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace celerybeam {

TestClient::TestClient(std::uint16_t Port, int ReceiveBuffer)
    : Socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  if (ReceiveBuffer > 0)
    ::setsockopt(Socket_, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer,
                 sizeof(ReceiveBuffer));
  sockaddr_in Where{};
  Where.sin_family = AF_INET;
  Where.sin_port = htons(Port);
  Where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(Socket_, reinterpret_cast<sockaddr *>(&Where), sizeof(Where)) !=
      0)
    throw std::runtime_error("The listener does not take connections.");
}

TestClient::~TestClient() { close(); }

bool TestClient::send(std::string_view Data) const {
  while (!Data.empty()) {
    ssize_t Count = ::send(Socket_, Data.data(), Data.size(), MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Data.remove_prefix(static_cast<std::size_t>(Count));
  }
  return true;
}

std::string TestClient::readUntil(std::string_view Text) {
  std::string Read;
  while (Text.empty() || Read.find(Text) == std::string::npos) {
    std::string Next = readSome();
    if (Next.empty())
      break;
    Read += Next;
  }
  return Read;
}

std::string TestClient::readSome() {
  std::array<char, 4096> Block{};
  ssize_t Count = ::recv(Socket_, Block.data(), Block.size(), 0);
  return Count <= 0
             ? std::string()
             : std::string(Block.data(), static_cast<std::size_t>(Count));
}

void TestClient::reset() {
  linger Hard{1, 0};
  ::setsockopt(Socket_, SOL_SOCKET, SO_LINGER, &Hard, sizeof(Hard));
  close();
}

void TestClient::close() {
  if (Socket_ >= 0)
    ::close(Socket_);
  Socket_ = -1;
}

} // namespace celerybeam
