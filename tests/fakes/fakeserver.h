#ifndef CELERYBEAM_TESTS_FAKES_FAKESERVER_H
#define CELERYBEAM_TESTS_FAKES_FAKESERVER_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "framework/httptypes.h"

namespace celerybeam::fakes {

struct FakeRequest {
  std::string Method;
  /// Decoded, without the query.
  std::string Path;
  std::map<std::string, std::string> Query;
  /// By lower-case name.
  std::map<std::string, std::string> Headers;
  std::string Body;

  /// Empty when absent.
  std::string header(const std::string &Name) const;
  std::string query(const std::string &Name) const;
  /// Fallback when absent or not a number.
  std::uint64_t queryNumber(const std::string &Name,
                            std::uint64_t Fallback) const;
  std::uint64_t headerNumber(const std::string &Name,
                             std::uint64_t Fallback) const;
};

struct FakeReply {
  int Status = 200;
  HeaderFields Headers;
  std::string Body;
  /// Set for a stream: gives the next part, waiting for it if need be. An
  /// empty part ends the stream; none breaks the connection off.
  std::function<std::optional<std::string>()> NextPart;
};

/// Makes a reply with a JSON body.
FakeReply jsonReply(int Status, std::string Body);

/// Makes a reply that breaks off after its head.
FakeReply cutOffReply();

/// HTTP server on 127.0.0.1 with one thread a connection.
class FakeServer {
public:
  using Handler = std::function<FakeReply(const FakeRequest &)>;

  /// \param Port  0: chosen by the kernel. Throws std::runtime_error when the
  /// port is taken.
  FakeServer(std::uint16_t Port, Handler Handle);
  ~FakeServer();

  std::uint16_t port() const;
  /// As in "127.0.0.1:4711".
  std::string address() const;

  /// Waits for the handlers and streams that run.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam::fakes

#endif
