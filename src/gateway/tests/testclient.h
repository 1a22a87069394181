#ifndef CELERYBEAM_GATEWAY_TESTS_TESTCLIENT_H
#define CELERYBEAM_GATEWAY_TESTS_TESTCLIENT_H

#include <cstdint>
#include <string>
#include <string_view>

namespace celerybeam {

/// A TCP connection to loopback that sends arbitrary bytes.
class TestClient {
public:
  explicit TestClient(std::uint16_t Port, int ReceiveBuffer = 0);
  TestClient(const TestClient &) = delete;
  TestClient &operator=(const TestClient &) = delete;
  ~TestClient();

  /// False when the peer no longer accepts data.
  bool send(std::string_view Data) const;
  /// Reads until the text has arrived or the peer closes.
  std::string readUntil(std::string_view Text);
  /// Reads the available data, at least one byte unless the peer closed.
  std::string readSome();
  /// Reads until the peer closes.
  std::string readAll() { return readUntil({}); }
  /// Closes with a TCP reset, as the host of a crashed caller does.
  void reset();
  void close();
  int socket() const { return Socket_; }

private:
  int Socket_ = -1;
};

} // namespace celerybeam

#endif
