#ifndef CELERYBEAM_HTTPCLIENT_HTTPFETCH_H
#define CELERYBEAM_HTTPCLIENT_HTTPFETCH_H

#include <cstddef>
#include <functional>
#include <string>

#include "httpclient/httpclient.h"

namespace celerybeam {

/// A complete response of any status.
struct HttpResponse {
  ResponseHead Head;
  std::string Body;
};

/// Makes a call and collects its complete response. A body above the limit in
/// bytes ends the call with BodyTooLarge; other errors are those of
/// HttpClient. The completion runs once, on a thread of the client.
void fetchHttp(HttpClient &Client, HttpCall Call, std::size_t BodyLimit,
               std::function<void(Result<HttpResponse>)> Done);

} // namespace celerybeam

#endif
