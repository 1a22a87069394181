#include "soak/soakcaller.h"

#include "relay/internal/beast.h"
#include "relay/internal/sockets.h"

#include <cerrno>

#include <sys/socket.h>

namespace celerybeam::testing {

namespace {

using namespace detail;
namespace http = boost::beast::http;

constexpr std::size_t MostBody = 1U << 20U;

struct Call : std::enable_shared_from_this<Call> {
  Call(EventLoop &L) : Socket(L.context()), Timer(L.context()) {}

  void fail() {
    ErrorCode Ignored;
    Socket.close(Ignored);
    finish(false);
  }

  void finish(bool Keep) {
    Timer.cancel();
    if (auto Tell = std::exchange(Then, nullptr)) {
      if (Keep && Kept)
        Kept(std::move(Socket));
      Tell(Result);
    }
  }

  void send() {
    auto Self = shared_from_this();
    asio::async_write(Socket, asio::buffer(Request),
                      [Self](ErrorCode Error, std::size_t) {
                        if (Error)
                          return Self->fail();
                        Self->Result.Sent = true;
                        Self->read();
                      });
  }

  void read() {
    Parser.body_limit(MostBody);
    auto Self = shared_from_this();
    http::async_read(
        Socket, Buffer, Parser,
        [Self](ErrorCode Error, std::size_t) { Self->taken(Error); });
  }

  void taken(ErrorCode Error) {
    if (Parser.is_header_done()) {
      const auto &Message = Parser.get();
      Result.Status = Message.result_int();
      Result.RequestId = std::string(Message["X-Attempt-Id"]);
      Result.Stamp = std::string(Message["X-Response-Stamp"]);
      Result.Body = Message.body();
      Result.Whole = !Error && Parser.is_done();
    }
    if (!Result.Whole)
      return fail();
    // Bytes beyond the answer belong to no request.
    if (Buffer.size() > 0)
      Result.Body += " and bytes that nobody asked for";
    finish(Parser.keep_alive());
  }

  Tcp::socket Socket;
  asio::steady_timer Timer;
  std::string Request;
  boost::beast::flat_buffer Buffer;
  http::response_parser<http::string_body> Parser;
  CallResult Result;
  SoakCaller::Done Then;
  std::function<void(Tcp::socket)> Kept;
};

} // namespace

class SoakCaller::Impl : public std::enable_shared_from_this<Impl> {
public:
  explicit Impl(EventLoop &L) : Loop(L) {}

  void call(const std::string &Host, std::string Request, Duration Timeout,
            Done Then) {
    auto C = std::make_shared<Call>(Loop);
    C->Request = std::move(Request);
    C->Then = std::move(Then);
    C->Kept = [Weak = weak_from_this(), Host](Tcp::socket Socket) {
      if (auto Self = Weak.lock())
        Self->Idle[Host].push_back(std::move(Socket));
    };
    C->Timer.expires_after(Timeout);
    C->Timer.async_wait([C](ErrorCode Error) {
      if (!Error)
        C->fail();
    });
    for (auto &Kept = Idle[Host]; !Kept.empty();) {
      C->Socket = std::move(Kept.back());
      Kept.pop_back();
      if (isOpen(C->Socket))
        return C->send();
      ErrorCode Ignored;
      C->Socket.close(Ignored);
    }
    auto To = parseEndpoint(Address(Host));
    if (!To)
      return C->fail();
    C->Socket.async_connect(*To, [C](ErrorCode Error) {
      if (Error)
        return C->fail();
      C->send();
    });
  }

  /// Whether the host has neither closed the connection nor sent bytes that
  /// answer nothing.
  bool isOpen(Tcp::socket &Socket) {
    char Byte = 0;
    ssize_t Got =
        ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    Stray += Got > 0 ? 1 : 0;
    return Got < 0 && errno == EAGAIN;
  }

  EventLoop &Loop;
  std::map<std::string, std::vector<Tcp::socket>> Idle;
  unsigned Stray = 0;
};

SoakCaller::SoakCaller(EventLoop &Loop) : Impl_(std::make_shared<Impl>(Loop)) {}
SoakCaller::~SoakCaller() = default;

unsigned SoakCaller::strayAnswers() const { return Impl_->Stray; }

void SoakCaller::call(const std::string &Host, std::string Request,
                      Duration Timeout, Done Then) {
  Impl_->call(Host, std::move(Request), Timeout, std::move(Then));
}

} // namespace celerybeam::testing
