#ifndef CELERYBEAM_PLATFORM_INTERNAL_PLATFORMANSWERS_H
#define CELERYBEAM_PLATFORM_INTERNAL_PLATFORMANSWERS_H

#include "framework/storehooks.h"
#include "httpclient/httpfetch.h"
#include "membership/membershipcontroller.h"

namespace celerybeam {

/// Whether a call changes something at the platform, so that a lost reply
/// leaves its outcome open.
enum class StoreAccess { Read, Write };

/// The failure of a call without a usable answer.
Error lostAnswer(StoreAccess Access, const std::string &Cause);

/// The store's error for a failure of the HTTP client.
Error storeError(StoreAccess Access, const Error &Cause);

/// Passes answers on that say what happened (2xx, 304, 404); turns the others
/// into errors.
Result<HttpAnswer> checkStatus(StoreAccess Access, HttpAnswer Answer);

/// The value of a get or watch; 404 is NotFound.
Result<StoreValue> readValue(const HttpAnswer &Answer);

/// The version that a write made; 404 is LeaseLost.
Result<StoreVersion> readWritten(const HttpAnswer &Answer);

/// A granted or renewed lease; 404 is LeaseLost.
Result<StoreLease> readLease(const HttpAnswer &Answer);

/// The list of hosts, and how many of its rows could not be read.
struct ReadList {
  PlatformList List;
  std::uint64_t UnreadableRows = 0;
};
Result<ReadList> readList(const HttpAnswer &Answer);

} // namespace celerybeam

#endif
