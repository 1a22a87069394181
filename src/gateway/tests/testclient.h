#ifndef CELERYBEAM_GATEWAY_TESTS_TESTCLIENT_H
#define CELERYBEAM_GATEWAY_TESTS_TESTCLIENT_H

#include <cstdint>
#include <string>
#include <string_view>

namespace celerybeam {

/// A TCP connection to loopback that sends bytes as told.
class TestClient {
public:
  explicit TestClient(std::uint16_t Port, int ReceiveBuffer = 0);
  TestClient(const TestClient &) = delete;
  TestClient &operator=(const TestClient &) = delete;
  ~TestClient();

  /// False when the other end no longer takes data.
  bool send(std::string_view Data) const;
  /// Reads until the text has arrived or the other end closes.
  std::string readUntil(std::string_view Text);
  /// Reads what there is, at least one byte unless the other end closed.
  std::string readSome();
  /// Reads until the other end closes.
  std::string readAll() { return readUntil({}); }
  /// Closes with a reset, as a crashed caller's host does.
  void reset();
  void close();
  int socket() const { return Socket_; }

private:
  int Socket_ = -1;
};

} // namespace celerybeam

#endif
