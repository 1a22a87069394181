#ifndef CELERYBEAM_GATEWAY_INTERNAL_TLSFILES_H
#define CELERYBEAM_GATEWAY_INTERNAL_TLSFILES_H

#include <optional>
#include <string>

#include "framework/error.h"
#include "gateway/callerserver.h"

namespace celerybeam {

/// Certificate chain and private key in PEM format.
struct TlsMaterial {
  std::string Certificate;
  std::string Key;
};

/// Reads both files; empty when TLS is not configured. Fails with
/// InvalidSettings.
Result<std::optional<TlsMaterial>> readTlsFiles(const TlsFiles &Files);

} // namespace celerybeam

#endif
