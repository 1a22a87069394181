#include "soak/faultproxy.h"

namespace celerybeam::testing {

namespace {

using namespace detail;

constexpr std::size_t BufferBytes = 16384;

void reset(Tcp::socket &Socket) {
  ErrorCode Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

} // namespace

struct FaultProxy::Link {
  Link(Tcp::socket From, asio::io_context &Context)
      : Caller(std::move(From)), Target(Context) {}
  Tcp::socket Caller;
  Tcp::socket Target;
  std::array<char, BufferBytes> FromCaller{};
  std::array<char, BufferBytes> FromTarget{};
  bool Silent = false;
};

FaultProxy::FaultProxy(EventLoop &Loop, std::string Target)
    : Loop_(Loop), Target_(std::move(Target)),
      Acceptor_(Loop.context(), {asio::ip::make_address("127.0.0.1"), 0}) {
  accept();
}

FaultProxy::~FaultProxy() { resetAll(); }

std::string FaultProxy::address() const {
  return "127.0.0.1:" + std::to_string(Acceptor_.local_endpoint().port());
}

void FaultProxy::accept() {
  Acceptor_.async_accept([this](ErrorCode Error, Tcp::socket Socket) {
    if (Error)
      return;
    if (Mode_ != Mode::Hang)
      accept();
    if (Mode_ == Mode::Refuse)
      return reset(Socket);
    auto L = std::make_shared<Link>(std::move(Socket), Loop_.context());
    Links_.insert(L);
    if (Mode_ == Mode::LateConnect)
      Loop_.runtime().After(ConnectTime, [this, L] { connect(L); });
    else
      connect(L);
  });
}

void FaultProxy::connect(const std::shared_ptr<Link> &L) {
  auto To = parseEndpoint(Address(Target_));
  if (!To)
    return reset(L->Caller);
  L->Target.async_connect(*To, [this, L](ErrorCode Failed) {
    if (Failed) {
      reset(L->Caller);
      Links_.erase(L);
      return;
    }
    pump(L, true);
    pump(L, false);
  });
}

void FaultProxy::setMode(Mode M) {
  if (M == Mode_)
    return;
  bool Hung = std::exchange(Mode_, M) == Mode::Hang;
  if (M == Mode::Hang) {
    Acceptor_.cancel();
    ::listen(Acceptor_.native_handle(), 0);
    // A queue of length 0 takes one connection.
    for (int I = 0; I < 2; ++I) {
      Fillers_.emplace_back(Loop_.context());
      Fillers_.back().async_connect(Acceptor_.local_endpoint(),
                                    [](ErrorCode) {});
    }
  } else if (Hung) {
    Fillers_.clear();
    ::listen(Acceptor_.native_handle(), SOMAXCONN);
    accept();
  }
}

void FaultProxy::pump(const std::shared_ptr<Link> &L, bool ToTarget) {
  Tcp::socket &From = ToTarget ? L->Caller : L->Target;
  auto &Buffer = ToTarget ? L->FromCaller : L->FromTarget;
  From.async_read_some(asio::buffer(Buffer),
                       [this, L, ToTarget](ErrorCode Error, std::size_t Bytes) {
                         bool Hides = L->Silent || Mode_ == Mode::Silence;
                         if (!Error)
                           return pass(L, ToTarget, Bytes);
                         // Behind a partition nobody hears of an end.
                         if (!Hides) {
                           ErrorCode Ignored;
                           (ToTarget ? L->Target : L->Caller)
                               .shutdown(Tcp::socket::shutdown_send, Ignored);
                           if (!L->Caller.is_open() || !L->Target.is_open() ||
                               !ToTarget) {
                             L->Caller.close(Ignored);
                             L->Target.close(Ignored);
                             Links_.erase(L);
                           }
                         }
                       });
}

void FaultProxy::pass(const std::shared_ptr<Link> &L, bool ToTarget,
                      std::size_t Bytes) {
  bool Lost = L->Silent || Mode_ == Mode::Silence ||
              Mode_ == (ToTarget ? Mode::LoseToTarget : Mode::LoseFromTarget);
  if (Lost)
    return pump(L, ToTarget);
  auto Forward = [this, L, ToTarget, Bytes] {
    Tcp::socket &To = ToTarget ? L->Target : L->Caller;
    auto &Buffer = ToTarget ? L->FromCaller : L->FromTarget;
    asio::async_write(To, asio::buffer(Buffer.data(), Bytes),
                      [this, L, ToTarget](ErrorCode Error, std::size_t) {
                        if (!Error)
                          pump(L, ToTarget);
                      });
  };
  if (Mode_ == Mode::Delay)
    Loop_.runtime().After(DelayTime, Forward);
  else
    Forward();
}

void FaultProxy::resetAll() {
  for (const auto &L : Links_) {
    reset(L->Caller);
    reset(L->Target);
  }
  Links_.clear();
}

void FaultProxy::silenceAll() {
  for (const auto &L : Links_)
    L->Silent = true;
}

} // namespace celerybeam::testing
