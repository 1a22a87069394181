#include <algorithm>
#include <array>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include "httpclient/httpclient.h"
#include "httpclient/tests/recordedcall.h"

using namespace celerybeam;
using namespace celerybeam::tests;

namespace {

/// More than the kernel holds for a connection to an EarlyServer.
constexpr std::size_t LargeBody = 4U << 20U;
constexpr const char *EndOfBody = "end";
/// Time from the end of a server's sending side to its close.
constexpr std::chrono::milliseconds EndedFor(50);
/// Ends a connection with a reset.
constexpr struct linger Abort = {1, 0};

/// Serves one request: responds as soon as it has received a part of it.
class EarlyServer {
public:
  /// What the server does after the response.
  enum class Then {
    Reset,
    /// Closes the connection with bytes of the request unread.
    Close,
    /// Ends its sending side, reads nothing more and closes later.
    EndSending,
    /// Reads the request to its end, then closes.
    ReadOn,
  };

  EarlyServer(std::string Response, Then Next, std::chrono::milliseconds Pause)
      : Listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    // Accepted sockets inherit the size.
    const int ReceiveBytes = 8192;
    setsockopt(Listener_, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
               sizeof(ReceiveBytes));
    struct sockaddr_in Any = {};
    Any.sin_family = AF_INET;
    Any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto *Generic = reinterpret_cast<struct sockaddr *>(&Any);
    socklen_t Size = sizeof(Any);
    BOOST_REQUIRE(bind(Listener_, Generic, Size) == 0);
    listen(Listener_, 1);
    getsockname(Listener_, Generic, &Size);
    Port_ = ntohs(Any.sin_port);
    Thread_ = std::thread([this, Response = std::move(Response), Next, Pause] {
      serve(Response, Next, Pause);
    });
  }
  ~EarlyServer() {
    Thread_.join();
    close(Listener_);
  }

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(Port_) + "/";
  }

private:
  void serve(const std::string &Response, Then Next,
             std::chrono::milliseconds Pause) const {
    int Socket = accept(Listener_, nullptr, nullptr);
    std::array<char, 65536> Buffer{};
    constexpr std::size_t Part = 512;
    recv(Socket, Buffer.data(), Part, 0);
    send(Socket, Response.data(), Response.size(), MSG_NOSIGNAL);
    std::this_thread::sleep_for(Pause);
    struct pollfd Unread = {Socket, POLLIN, 0};
    switch (Next) {
    case Then::Reset:
      setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Abort, sizeof(Abort));
      break;
    case Then::Close:
      poll(&Unread, 1, -1);
      break;
    case Then::EndSending:
      shutdown(Socket, SHUT_WR);
      std::this_thread::sleep_for(EndedFor);
      break;
    case Then::ReadOn:
      readToEnd(Socket);
      break;
    }
    close(Socket);
  }

  static void readToEnd(int Socket) {
    std::array<char, 65536> Buffer{};
    std::string Request;
    for (ssize_t Got = 1; Got > 0 && !Request.ends_with(EndOfBody);) {
      Got = recv(Socket, Buffer.data(), Buffer.size(), 0);
      Request.append(Buffer.data(), std::max<ssize_t>(Got, 0));
    }
  }

  int Listener_;
  std::uint16_t Port_ = 0;
  std::thread Thread_;
};

using Then = EarlyServer::Then;

std::optional<ErrorKind> errorAfter(const std::string &Response, Then Next,
                                    std::chrono::milliseconds Pause) {
  EarlyServer Server(Response, Next, Pause);
  HttpClient Client;
  HttpCall Call;
  Call.Method = "POST";
  Call.Url = Server.url();
  Call.Body = std::make_shared<const std::string>(std::string(LargeBody, 'x') +
                                                  EndOfBody);
  RecordedCall Record;
  Client.start(Call, Record.hooks());
  return Record.waitError();
}

constexpr std::array<std::chrono::milliseconds, 2> Pauses = {
    std::chrono::milliseconds(0), std::chrono::milliseconds(50)};

} // namespace

BOOST_AUTO_TEST_SUITE(EarlyAnswerTests)

// MIXED: a part of a response without a length counts as the whole one when
// its server ends the connection before it has received the request.
BOOST_AUTO_TEST_CASE(unmarkedResponseThatIsCutDuringTheUploadIsAnError) {
  for (Then Next : {Then::Reset, Then::Close, Then::EndSending})
    for (auto Pause : Pauses)
      BOOST_TEST(
          errorAfter("HTTP/1.1 200 OK\r\n\r\npart", Next, Pause).has_value(),
          static_cast<int>(Next) << " after " << Pause.count() << " ms");
}

// What marks its own end is whole, and a server that reads on may end a
// response without a length by its close.
BOOST_AUTO_TEST_CASE(wholeResponseThatBeginsDuringTheUploadIsNoError) {
  for (const char *Response :
       {"HTTP/1.1 200 OK\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nwhole\r\n0\r\n\r\n"})
    for (auto Pause : Pauses)
      BOOST_TEST(!errorAfter(Response, Then::ReadOn, Pause).has_value(),
                 Response << " after " << Pause.count() << " ms");
}

BOOST_AUTO_TEST_SUITE_END()
