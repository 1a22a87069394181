#ifndef CELERYBEAM_CTL_HTTPCLIENT_H
#define CELERYBEAM_CTL_HTTPCLIENT_H

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "blackboard/idtypes.h"
#include "framework/error.h"

namespace celerybeam::ctl {

/// How a server is reached.
struct ServerAccess {
  /// Tried in this order.
  std::vector<Address> Addresses;
  /// Sent as a bearer token; empty: none.
  std::string Token;
  /// The certificate authority; empty: plain HTTP.
  std::string CaFile;
  std::chrono::seconds Timeout{5};
};

struct HttpCall {
  std::string Method = "GET";
  /// Path with the query, percent-encoded.
  std::string Target;
  std::string Body;
};

struct HttpAnswer {
  long Status = 0;
  std::string Body;
  /// Value of the X-Version header; empty when there is none.
  std::string Version;
};

/// Calls one server over HTTP and waits for the answer.
class HttpClient {
public:
  explicit HttpClient(ServerAccess Access);
  ~HttpClient();

  /// Any answer, whatever its status. A GET is repeated at the next address
  /// when one gives no answer; other calls are not. Fails with ConnectFailed
  /// when no answer came; a call that is no GET may have taken effect then.
  Result<HttpAnswer> send(const HttpCall &Call);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

/// Percent-encodes a value for a query.
std::string encodeQueryValue(const std::string &Value);

} // namespace celerybeam::ctl

#endif
