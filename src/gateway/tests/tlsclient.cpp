#include "gateway/tests/tlsclient.h"

#include <array>
#include <fstream>
#include <stdexcept>

#include <gnutls/x509.h>
#include <unistd.h>

namespace celerybeam {

namespace {

/// Expiry of the test certificate, in Unix seconds: the year 2100, so that it
/// is valid whenever the tests run.
constexpr time_t NeverExpires = 4102444800;

std::string writeTemporary(const gnutls_datum_t &Pem) {
  std::string Name = "/tmp/celerybeam-test-XXXXXX";
  ::close(::mkstemp(Name.data()));
  std::ofstream(Name).write(reinterpret_cast<const char *>(Pem.data), Pem.size);
  gnutls_free(Pem.data);
  return Name;
}

} // namespace

TestCertificate::TestCertificate() {
  gnutls_x509_privkey_t Key = nullptr;
  gnutls_x509_crt_t Certificate = nullptr;
  gnutls_x509_privkey_init(&Key);
  gnutls_x509_privkey_generate(Key, GNUTLS_PK_ECDSA,
                               GNUTLS_CURVE_TO_BITS(GNUTLS_ECC_CURVE_SECP256R1),
                               0);
  gnutls_x509_crt_init(&Certificate);
  gnutls_x509_crt_set_version(Certificate, 3);
  gnutls_x509_crt_set_serial(Certificate, "1", 1);
  gnutls_x509_crt_set_activation_time(Certificate, 0);
  gnutls_x509_crt_set_expiration_time(Certificate, NeverExpires);
  gnutls_x509_crt_set_key(Certificate, Key);
  gnutls_x509_crt_sign2(Certificate, Certificate, Key, GNUTLS_DIG_SHA256, 0);
  gnutls_datum_t Pem{};
  gnutls_x509_privkey_export2(Key, GNUTLS_X509_FMT_PEM, &Pem);
  Files_.KeyFile = writeTemporary(Pem);
  gnutls_x509_crt_export2(Certificate, GNUTLS_X509_FMT_PEM, &Pem);
  Files_.CertificateFile = writeTemporary(Pem);
  gnutls_x509_crt_deinit(Certificate);
  gnutls_x509_privkey_deinit(Key);
}

TestCertificate::~TestCertificate() {
  ::unlink(Files_.KeyFile.c_str());
  ::unlink(Files_.CertificateFile.c_str());
}

TlsClient::TlsClient(int Socket) {
  gnutls_certificate_allocate_credentials(&Credentials_);
  gnutls_init(&Session_, GNUTLS_CLIENT);
  gnutls_set_default_priority(Session_);
  gnutls_credentials_set(Session_, GNUTLS_CRD_CERTIFICATE, Credentials_);
  gnutls_transport_set_int(Session_, Socket);
  if (gnutls_handshake(Session_) != GNUTLS_E_SUCCESS)
    throw std::runtime_error("The TLS handshake failed.");
}

TlsClient::~TlsClient() {
  gnutls_deinit(Session_);
  gnutls_certificate_free_credentials(Credentials_);
}

void TlsClient::send(std::string_view Data) const {
  gnutls_record_send(Session_, Data.data(), Data.size());
}

std::string TlsClient::readUntil(std::string_view Text) const {
  std::string Read;
  std::array<char, 4096> Block{};
  while (Read.find(Text) == std::string::npos) {
    ssize_t Count = gnutls_record_recv(Session_, Block.data(), Block.size());
    if (Count <= 0 && Count != GNUTLS_E_AGAIN)
      break;
    if (Count > 0)
      Read.append(Block.data(), static_cast<std::size_t>(Count));
  }
  return Read;
}

} // namespace celerybeam
