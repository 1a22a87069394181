#ifndef CELERYBEAM_FRAMEWORK_CUSTOMERKEY_H
#define CELERYBEAM_FRAMEWORK_CUSTOMERKEY_H

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "framework/error.h"
#include "framework/runtime.h"
#include "framework/strongid.h"

namespace celerybeam {

using CustomerId = StrongId<struct CustomerTag>;

/// Creates and verifies the keys that customers send.
///
/// A key names its customer and expiry and is signed with a secret that all
/// entry hosts share, so that no host needs a list of customers:
/// "cbk1.<customer>.<expiry in Unix seconds, 0 for none>.<HMAC-SHA-256 in
/// hex>". Thread-safe.
class CustomerKeys {
public:
  /// \param Secrets  the first one signs new keys; all of them verify, so
  ///                 that a secret can be replaced while old keys stay valid.
  explicit CustomerKeys(std::vector<std::string> Secrets);
  ~CustomerKeys();
  CustomerKeys(CustomerKeys &&) noexcept;
  CustomerKeys &operator=(CustomerKeys &&) noexcept;

  /// Verifies the value of an Authorization header ("Bearer cbk1...."). Fails
  /// with Unauthorized.
  Result<CustomerId> verify(std::string_view Authorization,
                            UnixMillis Now) const;

  /// Creates a key. A customer's name has letters, digits, '-' and '_'; others
  /// fail with BadRequest. An expiry of 0 means none.
  Result<std::string> mint(const CustomerId &Customer,
                           std::chrono::seconds Expiry) const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
