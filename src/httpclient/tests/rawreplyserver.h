#ifndef CELERYBEAM_HTTPCLIENT_TESTS_RAWREPLYSERVER_H
#define CELERYBEAM_HTTPCLIENT_TESTS_RAWREPLYSERVER_H

#include <array>
#include <atomic>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace celerybeam::tests {

/// Server that answers the head of each request with given bytes, valid or
/// not, and then closes the connection or leaves it open until the client
/// closes it. Serves one connection at a time.
class RawReplyServer {
public:
  RawReplyServer(std::string Bytes, bool Close)
      : Bytes_(std::move(Bytes)), Close_(Close),
        Listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    struct sockaddr_in Any = {};
    Any.sin_family = AF_INET;
    Any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto *Generic = reinterpret_cast<struct sockaddr *>(&Any);
    socklen_t Size = sizeof(Any);
    if (bind(Listener_, Generic, Size) != 0)
      throw std::runtime_error("the server of the test has no port");
    listen(Listener_, 8);
    getsockname(Listener_, Generic, &Size);
    Port_ = ntohs(Any.sin_port);
    Thread_ = std::thread([this] { serve(); });
  }
  /// The clients must have closed their connections.
  ~RawReplyServer() {
    shutdown(Listener_, SHUT_RDWR);
    Thread_.join();
    close(Listener_);
  }

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(Port_) + "/";
  }
  unsigned arrivals() const { return Arrivals_; }

private:
  void serve() {
    for (int Socket = 0; (Socket = accept(Listener_, nullptr, nullptr)) >= 0;) {
      serveOne(Socket);
      close(Socket);
    }
  }

  void serveOne(int Socket) {
    std::string In;
    std::array<char, 4096> Buffer{};
    bool Answered = false;
    for (ssize_t Count = 0;
         (Count = recv(Socket, Buffer.data(), Buffer.size(), 0)) > 0;) {
      In.append(Buffer.data(), static_cast<std::size_t>(Count));
      if (Answered || In.find("\r\n\r\n") == std::string::npos)
        continue;
      Answered = true;
      ++Arrivals_;
      send(Socket, Bytes_.data(), Bytes_.size(), MSG_NOSIGNAL);
      if (Close_)
        return;
    }
  }

  const std::string Bytes_;
  const bool Close_;
  int Listener_;
  std::uint16_t Port_ = 0;
  std::atomic<unsigned> Arrivals_{0};
  std::thread Thread_;
};

} // namespace celerybeam::tests

#endif
