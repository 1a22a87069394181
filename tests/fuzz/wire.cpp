#include "wire.h"

#include <array>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fuzzing.h"
#include "relay/internal/beast.h"

namespace celerybeam::fuzzing {

namespace {

sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Where{};
  Where.sin_family = AF_INET;
  Where.sin_port = htons(Port);
  Where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Where;
}

std::string ownAddress(int Descriptor) {
  sockaddr_in Where{};
  socklen_t Size = sizeof(Where);
  getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Where), &Size);
  return "127.0.0.1:" + std::to_string(ntohs(Where.sin_port));
}

} // namespace

Wire::Wire(const std::string &Address, unsigned Last)
    : Descriptor_(socket(AF_INET, SOCK_STREAM, 0)) {
  auto Port = static_cast<std::uint16_t>(
      std::stoul(Address.substr(Address.find(':') + 1)));
  sockaddr_in To = loopback(Port);
  // A caller that does not read fills its buffer soon.
  constexpr int ReceiveBytes = 4096;
  setsockopt(Descriptor_, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
             sizeof(ReceiveBytes));
  // With small segments the kernel keeps some 50 kB, not megabytes, for it.
  constexpr int SegmentBytes = 536;
  setsockopt(Descriptor_, IPPROTO_TCP, TCP_MAXSEG, &SegmentBytes,
             sizeof(SegmentBytes));
  sockaddr_in From = loopback(0);
  From.sin_addr.s_addr = htonl(INADDR_LOOPBACK - 1 + Last);
  expect(bind(Descriptor_, reinterpret_cast<sockaddr *>(&From), sizeof(From)) ==
             0,
         "the harness binds");
  expect(connect(Descriptor_, reinterpret_cast<sockaddr *>(&To), sizeof(To)) ==
             0,
         "the harness connects");
  setUp();
}

Wire::Wire(Wire &&Other) noexcept
    : Descriptor_(std::exchange(Other.Descriptor_, -1)), Ended_(Other.Ended_),
      Unsent_(std::move(Other.Unsent_)) {}

void Wire::setUp() {
  constexpr int On = 1;
  setsockopt(Descriptor_, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

void Wire::send(std::string_view Bytes) {
  if (!isOpen())
    return;
  Unsent_ += Bytes;
  while (!Unsent_.empty()) {
    ssize_t Sent = ::send(Descriptor_, Unsent_.data(), Unsent_.size(),
                          MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Sent <= 0)
      return;
    Unsent_.erase(0, static_cast<std::size_t>(Sent));
  }
}

bool Wire::receive(std::string &To) {
  if (!isOpen() || Ended_)
    return false;
  send({});
  bool Any = false;
  std::array<char, 16384> Buffer{};
  for (;;) {
    ssize_t Got = recv(Descriptor_, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
    if (Got == 0 || (Got < 0 && errno != EAGAIN))
      Ended_ = true;
    if (Got <= 0)
      return Any;
    To.append(Buffer.data(), static_cast<std::size_t>(Got));
    Any = true;
  }
}

void Wire::endSending() {
  if (isOpen())
    shutdown(Descriptor_, SHUT_WR);
}

void Wire::close() {
  if (isOpen())
    ::close(std::exchange(Descriptor_, -1));
}

void Wire::reset() {
  if (!isOpen())
    return;
  constexpr linger AtOnce{1, 0};
  setsockopt(Descriptor_, SOL_SOCKET, SO_LINGER, &AtOnce, sizeof(AtOnce));
  close();
}

WireListener::WireListener()
    : Descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
  sockaddr_in Any = loopback(0);
  constexpr int Backlog = 64;
  expect(bind(Descriptor_, reinterpret_cast<sockaddr *>(&Any), sizeof(Any)) ==
                 0 &&
             listen(Descriptor_, Backlog) == 0,
         "the harness listens");
  Address_ = ownAddress(Descriptor_);
}

WireListener::~WireListener() { ::close(Descriptor_); }

std::optional<Wire> WireListener::accept() {
  int Taken = ::accept(Descriptor_, nullptr, nullptr);
  if (Taken < 0)
    return std::nullopt;
  return Wire(Taken);
}

void turn(EventLoop &Loop, const ScriptClock &Clock) {
  Loop.context().restart();
  for (int I = 0; I < HandlersPerTurn && Loop.context().poll_one() > 0; ++I) {
  }
  Loop.timers().runDue(Clock.Now);
}

} // namespace celerybeam::fuzzing
