#ifndef CELERYBEAM_CTL_HTTPCLIENT_H
#define CELERYBEAM_CTL_HTTPCLIENT_H

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "blackboard/idtypes.h"
#include "framework/error.h"

namespace celerybeam::ctl {

/// Holds the addresses, credentials and timeout for calls to a server.
struct ServerAccess {
  /// Tried in this order.
  std::vector<Address> Addresses;
  /// Sent as a bearer token; empty: none.
  std::string Token;
  /// File with the certificate authority; empty: plain HTTP.
  std::string CaFile;
  std::chrono::seconds Timeout{5};
};

struct HttpCall {
  std::string Method = "GET";
  /// Path with the query, percent-encoded.
  std::string Target;
  std::string Body;
};

struct HttpResponse {
  long Status = 0;
  std::string Body;
  /// Value of the X-Version header; empty when there is none.
  std::string Version;
};

/// Calls one server over HTTP and blocks until the response.
class HttpClient {
public:
  explicit HttpClient(ServerAccess Access);
  ~HttpClient();

  /// Returns a response of any status. A GET is retried at the next address
  /// when one does not respond; other methods are not retried. Fails with
  /// ConnectFailed when there is no response; a call with another method than
  /// GET may have taken effect in that case. Fails with BadRequest when no
  /// address is given.
  Result<HttpResponse> send(const HttpCall &Call);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

/// Percent-encodes a value for a query string.
std::string encodeQueryValue(const std::string &Value);

} // namespace celerybeam::ctl

#endif
