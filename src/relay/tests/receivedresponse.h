#ifndef CELERYBEAM_RELAY_TESTS_RECEIVEDRESPONSE_H
#define CELERYBEAM_RELAY_TESTS_RECEIVEDRESPONSE_H

#include <string>

namespace celerybeam::testing {

/// A response as the caller received it.
struct Received {
  unsigned Status = 0;
  bool Complete = false;
  std::string Body;
};

/// Reads a response of an entry host, which has a length or chunks.
Received parseResponse(const std::string &Text);

} // namespace celerybeam::testing

#endif
