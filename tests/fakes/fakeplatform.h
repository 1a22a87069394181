#ifndef CELERYBEAM_TESTS_FAKES_FAKEPLATFORM_H
#define CELERYBEAM_TESTS_FAKES_FAKEPLATFORM_H

#include <memory>
#include <string>

#include "fakeserver.h"

namespace celerybeam::fakes {

/// Stand-in for the platform: key-value service, leases and list of hosts.
///
/// Control calls, which no fault touches:
///   PUT /control/hosts           replaces the list by the body,
///   PUT /control/mode?mode=M     ok, down (503 without effect), slow (each
///                                call waits &delay_ms=, by default 2000) or
///                                lose-replies (takes effect, no answer),
///   GET /control/calls           JSON object of calls by kind.
class FakePlatform {
public:
  /// \param State  file that keeps the keys from stop to the next start;
  /// empty: none.
  FakePlatform(std::uint16_t Port, std::string Hosts, std::string State = "");
  ~FakePlatform();

  std::uint16_t port() const;
  std::string address() const;
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam::fakes

#endif
