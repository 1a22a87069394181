#ifndef CELERYBEAM_FRAMEWORK_TENANTKEY_H
#define CELERYBEAM_FRAMEWORK_TENANTKEY_H

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "framework/error.h"
#include "framework/runtime.h"
#include "framework/strongid.h"

namespace celerybeam {

using TenantId = StrongId<struct TenantTag>;

/// Mints and verifies the keys that tenants send.
///
/// A key states its tenant and expiry and is signed with a secret that all
/// entry hosts hold, so that no host needs a list of tenants:
/// "cbk1.<tenant>.<expiry in Unix seconds, 0 for none>.<HMAC-SHA-256 in hex>".
/// Thread-safe.
class TenantKeys {
public:
  /// \param Secrets  the first one mints; all of them verify, so that a
  ///                 secret can be replaced without refusing anyone.
  explicit TenantKeys(std::vector<std::string> Secrets);
  ~TenantKeys();
  TenantKeys(TenantKeys &&) noexcept;
  TenantKeys &operator=(TenantKeys &&) noexcept;

  /// Takes the value of an Authorization header ("Bearer cbk1...."). Fails
  /// with Unauthorized.
  Result<TenantId> verify(std::string_view Authorization, UnixMillis Now) const;

  /// Makes a key. A tenant's name has letters, digits, '-' and '_'; others
  /// fail with BadRequest. An expiry of 0 means none.
  Result<std::string> mint(const TenantId &Tenant,
                           std::chrono::seconds Expiry) const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
