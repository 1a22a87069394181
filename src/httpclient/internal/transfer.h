#ifndef CELERYBEAM_HTTPCLIENT_INTERNAL_TRANSFER_H
#define CELERYBEAM_HTTPCLIENT_INTERNAL_TRANSFER_H

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include <curl/curl.h>

#include "httpclient/httpclienttypes.h"

namespace celerybeam {

/// One HTTP call as a libcurl easy handle.
///
/// Used by one thread only. Its hooks run inside curl_multi_perform or
/// finish.
class Transfer {
public:
  Transfer(HttpCallId Id, HttpCall Call, ResponseHooks Hooks);
  ~Transfer();

  Transfer(const Transfer &) = delete;
  Transfer &operator=(const Transfer &) = delete;

  HttpCallId id() const { return Id_; }
  /// Scheme, host and port of the server.
  const std::string &origin() const { return Origin_; }
  /// The handle created by prepare; null before.
  CURL *easy() const { return Easy_; }

  /// Creates the easy handle. Fails with BadRequest.
  Result<CURL *> prepare(const HttpClientSettings &Settings, bool Fresh);

  /// Continues the transfer after a pause.
  void resume();

  /// Runs the End hook with the library's result.
  void finish(CURLcode Code);
  /// Runs the End hook with an error.
  void finish(Error Cause);

  /// True when a connection that has worked before, for this call or an
  /// earlier one, has transferred nothing for the limit.
  bool wentSilent(std::chrono::milliseconds Limit) const;
  /// Connections that the call opened.
  long connectionsOpened() const;

  /// Returns the transfer that owns an easy handle.
  static Transfer &of(CURL *Easy);

private:
  using Clock = std::chrono::steady_clock;

  bool addHeaders();
  void setMethod();
  void setLimits(const HttpClientSettings &Settings, bool Fresh);
  void setHooks();
  bool requestSent() const;
  /// Whether the connection has ended a response that marks no end of its own
  /// before the request was sent. The response may have been cut: the library
  /// does not tell a reset from a close when it stops sending.
  bool endedDuringUpload() const;
  Error errorOf(CURLcode Code) const;
  ResponseHead readHead() const;
  /// Whether the response's head says where its body ends.
  bool marksItsEnd(int Status) const;

  std::size_t onHeaderLine(std::string_view Line);
  std::size_t onData(std::string_view Data);
  std::size_t onSend(char *Buffer, std::size_t Size);
  int onRequest();
  bool mayResend() const;

  static std::size_t headerLine(char *Data, std::size_t Size, std::size_t Count,
                                void *Self);
  static std::size_t dataArrived(char *Data, std::size_t Size,
                                 std::size_t Count, void *Self);
  static std::size_t sendBody(char *Buffer, std::size_t Size, std::size_t Count,
                              void *Self);
  static int rewindBody(void *Self, curl_off_t Offset, int Origin);
  static int beforeRequest(void *Self, char *PrimaryAddress, char *LocalAddress,
                           int PrimaryPort, int LocalPort);

  const HttpCallId Id_;
  const HttpCall Call_;
  const ResponseHooks Hooks_;
  std::string Origin_;
  CURL *Easy_ = nullptr;
  curl_slist *Headers_ = nullptr;
  std::size_t Sent_ = 0;
  unsigned Requests_ = 0;
  std::chrono::milliseconds ResendWindow_{};
  Clock::time_point RequestedAt_;
  bool HeadDelivered_ = false;
  bool EndsWithConnection_ = false;
  bool Paused_ = false;
  Clock::time_point LastProgress_ = Clock::now();
};

} // namespace celerybeam

#endif
