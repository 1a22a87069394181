#ifndef CELERYBEAM_GATEWAY_TESTS_TLSCLIENT_H
#define CELERYBEAM_GATEWAY_TESTS_TLSCLIENT_H

#include <string>
#include <string_view>

#include <gnutls/gnutls.h>

#include "gateway/callerserver.h"

namespace celerybeam {

/// A self-signed certificate and its key in two files, which the destructor
/// removes.
class TestCertificate {
public:
  TestCertificate();
  ~TestCertificate();
  const TlsFiles &files() const { return Files_; }

private:
  TlsFiles Files_;
};

/// A TLS connection over a connected socket, without verification.
class TlsClient {
public:
  explicit TlsClient(int Socket);
  ~TlsClient();

  void send(std::string_view Data) const;
  /// Reads until the text has arrived or the peer closes.
  std::string readUntil(std::string_view Text) const;

private:
  gnutls_certificate_credentials_t Credentials_ = nullptr;
  gnutls_session_t Session_ = nullptr;
};

} // namespace celerybeam

#endif
