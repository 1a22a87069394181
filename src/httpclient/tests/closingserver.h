#ifndef CELERYBEAM_HTTPCLIENT_TESTS_CLOSINGSERVER_H
#define CELERYBEAM_HTTPCLIENT_TESTS_CLOSINGSERVER_H

#include <atomic>
#include <cstdint>
#include <string>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <microhttpd.h>

namespace celerybeam::tests {

/// Server that closes kept-alive connections. It answers the first request and
/// keeps the connection alive. It reads later requests in full and closes the
/// connection of one or all of them without a response.
class ClosingServer {
public:
  /// \param UnansweredRequest  number of the one request that gets no response;
  ///                           0: all but the first get none.
  explicit ClosingServer(unsigned UnansweredRequest = 0)
      : UnansweredRequest_(UnansweredRequest) {
    struct sockaddr_in Any = {};
    Any.sin_family = AF_INET;
    Any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Daemon_ = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, 0, nullptr,
                               nullptr, &serve, this, MHD_OPTION_SOCK_ADDR,
                               reinterpret_cast<struct sockaddr *>(&Any),
                               MHD_OPTION_END);
    struct sockaddr_in Bound = {};
    socklen_t Size = sizeof(Bound);
    getsockname(
        MHD_get_daemon_info(Daemon_, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd,
        reinterpret_cast<struct sockaddr *>(&Bound), &Size);
    Port_ = ntohs(Bound.sin_port);
  }
  ~ClosingServer() { MHD_stop_daemon(Daemon_); }

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(Port_) + "/";
  }
  unsigned arrivals() const { return Arrivals_; }
  std::size_t lastBodySize() const { return LastBodySize_; }

private:
  static MHD_Result serve(void *Self, struct MHD_Connection *Connection,
                          const char * /*Url*/, const char * /*Method*/,
                          const char * /*Version*/, const char * /*Upload*/,
                          std::size_t *UploadSize, void **State) {
    static int Begun;
    auto &Server = *static_cast<ClosingServer *>(Self);
    if (*State == nullptr) {
      *State = &Begun;
      Server.LastBodySize_ = 0;
      return MHD_YES;
    }
    if (*UploadSize > 0) {
      Server.LastBodySize_ += *UploadSize;
      *UploadSize = 0;
      return MHD_YES;
    }
    const unsigned Arrival = ++Server.Arrivals_;
    if (Server.UnansweredRequest_ == 0 ? Arrival > 1
                                       : Arrival == Server.UnansweredRequest_)
      return MHD_NO;
    struct MHD_Response *Response =
        MHD_create_response_from_buffer(0, nullptr, MHD_RESPMEM_PERSISTENT);
    MHD_Result Queued = MHD_queue_response(Connection, MHD_HTTP_OK, Response);
    MHD_destroy_response(Response);
    return Queued;
  }

  struct MHD_Daemon *Daemon_ = nullptr;
  std::uint16_t Port_ = 0;
  const unsigned UnansweredRequest_;
  std::atomic<unsigned> Arrivals_{0};
  std::atomic<std::size_t> LastBodySize_{0};
};

} // namespace celerybeam::tests

#endif
