#ifndef CELERYBEAM_TESTS_SOAK_SOAKCALLER_H
#define CELERYBEAM_TESTS_SOAK_SOAKCALLER_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "relay/eventloop.h"

namespace celerybeam::testing {

/// What a caller saw of one request.
struct CallResult {
  /// False: no connection, or it was closed before anything was sent.
  bool Sent = false;
  /// Whether the answer is whole.
  bool Whole = false;
  unsigned Status = 0;
  std::string RequestId;
  std::string Stamp;
  std::string Body;
};

/// Sends requests as callers do: on connections that are kept, until the host
/// closes them.
class SoakCaller {
public:
  using Done = std::function<void(const CallResult &)>;

  explicit SoakCaller(EventLoop &Loop);
  ~SoakCaller();

  /// \param Host  "ip:port". \param Request  its whole text.
  void call(const std::string &Host, std::string Request, Duration Timeout,
            Done Then);

  /// Kept connections on which bytes came while no request was waiting.
  unsigned strayAnswers() const;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace celerybeam::testing

#endif
