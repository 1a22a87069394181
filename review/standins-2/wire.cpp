#include "wire.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstring>
#include <memory>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace celerybeam::review {

namespace {

constexpr std::size_t ReadBytes = 65536;

sockaddr_in addressOf(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  sockaddr_in Where{};
  Where.sin_family = AF_INET;
  Where.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(Text.substr(Colon + 1))));
  inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Where.sin_addr);
  return Where;
}

} // namespace

std::unique_ptr<Connection> Connection::to(const std::string &Address,
                                           int ReceiveBytes) {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (ReceiveBytes > 0)
    ::setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
                 sizeof(ReceiveBytes));
  sockaddr_in Where = addressOf(Address);
  auto Made = std::make_unique<Connection>(Socket);
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&Where), sizeof(Where)))
    return nullptr;
  int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  return Made;
}

bool Connection::write(const std::string &Bytes) {
  std::size_t At = 0;
  while (At < Bytes.size()) {
    ssize_t Sent =
        ::send(Socket_, Bytes.data() + At, Bytes.size() - At, MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    At += static_cast<std::size_t>(Sent);
  }
  return true;
}

bool Connection::fill(Millis Wait) {
  pollfd State{Socket_, POLLIN, 0};
  int Ready = ::poll(&State, 1, static_cast<int>(Wait.count()));
  if (Ready <= 0) {
    Ending_ = "nothing came in time";
    return false;
  }
  std::string Bytes(ReadBytes, '\0');
  ssize_t Got = ::recv(Socket_, Bytes.data(), Bytes.size(), 0);
  if (Got <= 0) {
    Ending_ = Got == 0 ? "closed" : std::strerror(errno);
    return false;
  }
  Buffer_.append(Bytes.data(), static_cast<std::size_t>(Got));
  return true;
}

std::string Connection::readSome(std::size_t Most, Millis Wait) {
  if (Buffer_.empty() && !fill(Wait))
    return {};
  std::string Bytes = Buffer_.substr(0, Most);
  Buffer_.erase(0, Bytes.size());
  return Bytes;
}

std::optional<std::string> Connection::readLine(Millis Wait) {
  std::size_t End = Buffer_.find("\r\n");
  while (End == std::string::npos) {
    if (!fill(Wait))
      return std::nullopt;
    End = Buffer_.find("\r\n");
  }
  std::string Line = Buffer_.substr(0, End);
  Buffer_.erase(0, End + 2);
  return Line;
}

std::optional<std::string> Connection::readExactly(std::size_t Bytes,
                                                   Millis Wait) {
  while (Buffer_.size() < Bytes)
    if (!fill(Wait))
      return std::nullopt;
  std::string Read = Buffer_.substr(0, Bytes);
  Buffer_.erase(0, Bytes);
  return Read;
}

void Connection::shutDown() { ::shutdown(Socket_, SHUT_RDWR); }

void Connection::close() {
  if (Socket_ >= 0)
    ::close(Socket_);
  Socket_ = -1;
}

std::string Message::field(const std::string &Name) const {
  auto Found = Fields.find(Name);
  return Found == Fields.end() ? "" : Found->second;
}

std::string Message::firstWord() const {
  return StartLine.substr(0, StartLine.find(' '));
}

std::string Message::secondWord() const {
  std::size_t Begin = StartLine.find(' ');
  if (Begin == std::string::npos)
    return "";
  std::size_t End = StartLine.find(' ', Begin + 1);
  return StartLine.substr(Begin + 1, End - Begin - 1);
}

std::optional<Message> readHead(Connection &From, Millis Wait) {
  Message Got;
  auto Line = From.readLine(Wait);
  if (!Line)
    return std::nullopt;
  Got.StartLine = *Line;
  for (;;) {
    Line = From.readLine(Wait);
    if (!Line)
      return std::nullopt;
    if (Line->empty())
      return Got;
    std::size_t Colon = std::min(Line->find(':'), Line->size());
    std::string Name = Line->substr(0, Colon);
    std::transform(Name.begin(), Name.end(), Name.begin(),
                   [](unsigned char C) { return std::tolower(C); });
    std::size_t Begin = Line->find_first_not_of(" :", Colon);
    Got.Fields[Name] =
        Begin == std::string::npos ? std::string() : Line->substr(Begin);
  }
}

std::optional<Message> readMessage(Connection &From, Millis Wait) {
  auto Got = readHead(From, Wait);
  if (!Got || Got->field("content-length").empty())
    return Got;
  auto Body = From.readExactly(std::stoul(Got->field("content-length")), Wait);
  if (!Body)
    return std::nullopt;
  Got->Body = std::move(*Body);
  return Got;
}

Listener::Listener(const std::string &Address, Serve Handle)
    : Handle_(std::move(Handle)),
      Socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  int On = 1;
  ::setsockopt(Socket_, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Where = addressOf(Address);
  constexpr int Backlog = 256;
  if (::bind(Socket_, reinterpret_cast<sockaddr *>(&Where), sizeof(Where)) ||
      ::listen(Socket_, Backlog))
    throw std::runtime_error(Address + " cannot be bound");
  Acceptor_ = std::thread([this] { accept(); });
}

Listener::~Listener() {
  Stops_ = true;
  ::shutdown(Socket_, SHUT_RDWR);
  Acceptor_.join();
  {
    std::lock_guard Lock(Mutex_);
    for (Connection *Each : Open_)
      Each->shutDown();
  }
  for (std::thread &Each : Threads_)
    Each.join();
  ::close(Socket_);
}

void Listener::accept() {
  while (!Stops_) {
    int Socket = ::accept4(Socket_, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      continue;
    int On = 1;
    ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    std::lock_guard Lock(Mutex_);
    Threads_.emplace_back([this, Socket] { serve(Socket); });
  }
}

void Listener::serve(int Socket) {
  Connection Peer(Socket);
  {
    std::lock_guard Lock(Mutex_);
    Open_.push_back(&Peer);
    if (Stops_)
      Peer.shutDown();
  }
  Handle_(Peer);
  std::lock_guard Lock(Mutex_);
  std::erase(Open_, &Peer);
}

} // namespace celerybeam::review
