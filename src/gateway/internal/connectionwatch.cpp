#include "gateway/internal/connectionwatch.h"

#include <array>
#include <atomic>
#include <cerrno>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace celerybeam {

namespace {

using Clock = CallerConnection::Clock;

constexpr std::chrono::milliseconds TickInterval{100};
constexpr int MaxEvents = 64;
/// Limit in bytes discarded by one call of recv.
constexpr std::size_t DiscardBlock = 1 << 20;
/// Limit for sockets drained at the same time; further ones are closed at
/// once.
constexpr std::size_t LingerLimit = 256;
/// Token of the stop event; connections are numbered from 1.
constexpr std::uint64_t StopToken = 0;

/// Discards the received data without copying it into the process.
/// \returns false when the peer has closed its side or the socket failed.
bool discardInput(int Socket) {
  while (true) {
    ssize_t Count =
        ::recv(Socket, nullptr, DiscardBlock, MSG_TRUNC | MSG_DONTWAIT);
    if (Count > 0)
      continue;
    return Count < 0 && (errno == EAGAIN || errno == EINTR);
  }
}

} // namespace

class ConnectionWatch::Impl {
public:
  explicit Impl(std::chrono::milliseconds Linger) : LingerTimeout_(Linger) {}
  ~Impl();

  Result<void> start();
  void add(const std::shared_ptr<CallerConnection> &Connection);
  void remove(const std::shared_ptr<CallerConnection> &Connection);
  std::size_t size() const;
  std::size_t countOf(const std::string &Ip) const;
  std::vector<std::shared_ptr<CallerConnection>> all() const;

private:
  /// The copy of a refused caller's socket and when to close it.
  struct Lingering {
    int Socket = -1;
    Clock::time_point Until;
  };

  void run();
  void onEvent(const epoll_event &Event);
  void onTick();
  void closeExpiredLingering(Clock::time_point Now);
  void watchSocket(int Socket, std::uint64_t Token, std::uint32_t Events) const;
  std::shared_ptr<CallerConnection> findLocked(std::uint64_t Token) const;

  const std::chrono::milliseconds LingerTimeout_;
  int Epoll_ = -1;
  int StopEvent_ = -1;
  std::atomic<bool> Stopping_ = false;
  std::thread Thread_;

  mutable std::mutex Mutex_;
  std::uint64_t NextToken_ = StopToken + 1;
  std::unordered_map<std::uint64_t, std::shared_ptr<CallerConnection>> ByToken_;
  std::unordered_map<const CallerConnection *, std::uint64_t> Tokens_;
  std::unordered_map<std::string, std::size_t> PerIp_;
  std::unordered_map<std::uint64_t, Lingering> Lingering_;
};

ConnectionWatch::Impl::~Impl() {
  Stopping_ = true;
  if (Thread_.joinable()) {
    std::uint64_t One = 1;
    [[maybe_unused]] auto Written = ::write(StopEvent_, &One, sizeof(One));
    Thread_.join();
  }
  for (auto &[Token, Drained] : Lingering_)
    ::close(Drained.Socket);
  if (Epoll_ >= 0)
    ::close(Epoll_);
  if (StopEvent_ >= 0)
    ::close(StopEvent_);
}

Result<void> ConnectionWatch::Impl::start() {
  Epoll_ = ::epoll_create1(EPOLL_CLOEXEC);
  StopEvent_ = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (Epoll_ < 0 || StopEvent_ < 0)
    return makeError(ErrorKind::Internal,
                     "No file descriptor is left to watch connections; raise "
                     "the limit of open files.");
  watchSocket(StopEvent_, StopToken, EPOLLIN);
  Thread_ = std::thread([this] { run(); });
  return {};
}

void ConnectionWatch::Impl::watchSocket(int Socket, std::uint64_t Token,
                                        std::uint32_t Events) const {
  epoll_event Event{};
  Event.events = Events;
  Event.data.u64 = Token;
  ::epoll_ctl(Epoll_, EPOLL_CTL_ADD, Socket, &Event);
}

void ConnectionWatch::Impl::add(
    const std::shared_ptr<CallerConnection> &Connection) {
  std::lock_guard Lock(Mutex_);
  std::uint64_t Token = NextToken_++;
  ByToken_.emplace(Token, Connection);
  Tokens_.emplace(Connection.get(), Token);
  ++PerIp_[Connection->ip()];
  watchSocket(Connection->socket(), Token, EPOLLRDHUP | EPOLLET);
}

void ConnectionWatch::Impl::remove(
    const std::shared_ptr<CallerConnection> &Connection) {
  std::lock_guard Lock(Mutex_);
  auto Node = Tokens_.extract(Connection.get());
  if (Node.empty())
    return;
  std::uint64_t Token = Node.mapped();
  ByToken_.erase(Token);
  if (auto It = PerIp_.find(Connection->ip());
      It != PerIp_.end() && --It->second == 0)
    PerIp_.erase(It);
  int Socket = Connection->socket();
  ::epoll_ctl(Epoll_, EPOLL_CTL_DEL, Socket, nullptr);
  if (!Connection->releaseSocket() || Lingering_.size() >= LingerLimit)
    return;
  int Copy = ::dup(Socket);
  if (Copy < 0)
    return;
  ::shutdown(Copy, SHUT_WR);
  Lingering_.emplace(Token, Lingering{Copy, Clock::now() + LingerTimeout_});
  watchSocket(Copy, Token, EPOLLIN | EPOLLRDHUP);
}

std::size_t ConnectionWatch::Impl::size() const {
  std::lock_guard Lock(Mutex_);
  return ByToken_.size();
}

std::size_t ConnectionWatch::Impl::countOf(const std::string &Ip) const {
  std::lock_guard Lock(Mutex_);
  auto It = PerIp_.find(Ip);
  return It == PerIp_.end() ? 0 : It->second;
}

std::vector<std::shared_ptr<CallerConnection>>
ConnectionWatch::Impl::all() const {
  std::lock_guard Lock(Mutex_);
  std::vector<std::shared_ptr<CallerConnection>> Copy;
  Copy.reserve(ByToken_.size());
  for (const auto &[Token, Connection] : ByToken_)
    Copy.push_back(Connection);
  return Copy;
}

void ConnectionWatch::Impl::run() {
  std::array<epoll_event, MaxEvents> Events{};
  auto NextTick = Clock::now() + TickInterval;
  while (!Stopping_) {
    int Count = ::epoll_wait(Epoll_, Events.data(), MaxEvents,
                             static_cast<int>(TickInterval.count()));
    for (int I = 0; I < Count; ++I)
      onEvent(Events[static_cast<std::size_t>(I)]);
    if (Clock::now() < NextTick)
      continue;
    NextTick = Clock::now() + TickInterval;
    onTick();
  }
}

void ConnectionWatch::Impl::onEvent(const epoll_event &Event) {
  std::shared_ptr<CallerConnection> Connection;
  {
    std::lock_guard Lock(Mutex_);
    auto Drained = Lingering_.find(Event.data.u64);
    if (Drained != Lingering_.end()) {
      if (discardInput(Drained->second.Socket))
        return;
      ::close(Drained->second.Socket);
      Lingering_.erase(Drained);
      return;
    }
    Connection = findLocked(Event.data.u64);
  }
  if (Connection)
    Connection->peerClosed();
}

std::shared_ptr<CallerConnection>
ConnectionWatch::Impl::findLocked(std::uint64_t Token) const {
  auto It = ByToken_.find(Token);
  return It == ByToken_.end() ? nullptr : It->second;
}

void ConnectionWatch::Impl::onTick() {
  auto Now = Clock::now();
  for (const auto &Connection : all())
    Connection->tick(Now);
  closeExpiredLingering(Now);
}

void ConnectionWatch::Impl::closeExpiredLingering(Clock::time_point Now) {
  std::lock_guard Lock(Mutex_);
  std::erase_if(Lingering_, [Now](const auto &Entry) {
    if (Now < Entry.second.Until)
      return false;
    ::close(Entry.second.Socket);
    return true;
  });
}

ConnectionWatch::ConnectionWatch(std::chrono::milliseconds LingerTimeout)
    : Impl_(std::make_unique<Impl>(LingerTimeout)) {}

ConnectionWatch::~ConnectionWatch() = default;

Result<void> ConnectionWatch::start() { return Impl_->start(); }

void ConnectionWatch::add(const std::shared_ptr<CallerConnection> &Connection) {
  Impl_->add(Connection);
}

void ConnectionWatch::remove(
    const std::shared_ptr<CallerConnection> &Connection) {
  Impl_->remove(Connection);
}

std::size_t ConnectionWatch::size() const { return Impl_->size(); }

std::size_t ConnectionWatch::countOf(const std::string &Ip) const {
  return Impl_->countOf(Ip);
}

void ConnectionWatch::forEach(
    const std::function<void(CallerConnection &)> &Visit) const {
  for (const auto &Connection : Impl_->all())
    Visit(*Connection);
}

} // namespace celerybeam
