#ifndef CELERYBEAM_HTTPCLIENT_TESTS_AWAITED_H
#define CELERYBEAM_HTTPCLIENT_TESTS_AWAITED_H

#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <stdexcept>
#include <utility>

#include "httpclient/httpfetch.h"
#include "httpclient/tests/recordedcall.h"

namespace celerybeam::tests {

/// Provides a completion and waits for its result.
template <typename T> class Awaited {
public:
  std::function<void(Result<T>)> completion() {
    return
        [Promise = Promise_](Result<T> R) { Promise->set_value(std::move(R)); };
  }
  Result<T> get() {
    auto Future = Promise_->get_future();
    if (Future.wait_for(EventTimeout) != std::future_status::ready)
      throw std::runtime_error(
          "the expected result did not arrive within the time limit");
    return Future.get();
  }

private:
  std::shared_ptr<std::promise<Result<T>>> Promise_ =
      std::make_shared<std::promise<Result<T>>>();
};

template <typename T> std::optional<ErrorKind> errorOf(const Result<T> &R) {
  return R ? std::nullopt : std::optional(R.error().Kind);
}

/// Calls a fake server and returns the body of its response.
inline std::string request(HttpClient &Http, std::string Method,
                           const std::string &Address,
                           const std::string &Target) {
  HttpCall Call;
  Call.Method = std::move(Method);
  Call.Url = "http://" + Address + Target;
  Awaited<HttpResponse> A;
  constexpr std::size_t BodyLimit = 100000;
  fetchHttp(Http, Call, BodyLimit, A.completion());
  return A.get().value().Body;
}

} // namespace celerybeam::tests

#endif
