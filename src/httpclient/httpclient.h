#ifndef CELERYBEAM_HTTPCLIENT_HTTPCLIENT_H
#define CELERYBEAM_HTTPCLIENT_HTTPCLIENT_H

#include <memory>

#include "httpclient/httpclienttypes.h"

namespace celerybeam {

/// Asynchronous HTTP/1.1 client that reuses connections.
///
/// Thread-safe. Hooks run on the client's threads, one call at a time for
/// each HTTP call, never on the stack of start, cancel or resume. They must
/// not block and must not destroy the client.
///
/// ResponseHooks::End runs exactly once for each call. Its errors:
///   ConnectFailed    no byte of the request was sent,
///   ConnectionLost   part or all of the request may have been sent; the
///                    response broke off,
///   RequestTimeout   HttpCall::Timeout passed after a byte was sent,
///   Cancelled        cancel was called or the client was destroyed,
///   BadRequest       the call cannot be expressed in HTTP.
/// ResponseHooks::Head does not run when no head arrived.
class HttpClient {
public:
  explicit HttpClient(HttpClientSettings Settings = HttpClientSettings());

  /// Ends all calls with Cancelled and waits for their hooks.
  ~HttpClient();

  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  HttpCallId start(HttpCall Call, ResponseHooks Hooks);

  /// Ends the call and closes its connection. Unknown ids are ignored.
  void cancel(HttpCallId Id);

  /// Continues a call whose Chunk hook asked for a pause. Unknown ids are
  /// ignored.
  void resume(HttpCallId Id);

  HttpClientCounts counts() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
