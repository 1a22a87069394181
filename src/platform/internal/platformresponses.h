#ifndef CELERYBEAM_PLATFORM_INTERNAL_PLATFORMRESPONSES_H
#define CELERYBEAM_PLATFORM_INTERNAL_PLATFORMRESPONSES_H

#include "framework/storehooks.h"
#include "httpclient/httpfetch.h"
#include "membership/membershipcontroller.h"

namespace celerybeam {

/// Whether a call only reads from the platform or changes something there. The
/// outcome of a write is unknown when its response is lost.
enum class StoreAccess { Read, Write };

/// The error of a call without a usable response.
Error missingResponseError(StoreAccess Access, const std::string &Cause);

/// The store's error for a failure of the HTTP client.
Error storeError(StoreAccess Access, const Error &Cause);

/// Returns responses with a definite result (2xx, 304, 404) unchanged and turns
/// the others into errors.
Result<HttpResponse> checkStatus(StoreAccess Access, HttpResponse Response);

/// The value of a get or watch; 404 is NotFound.
Result<StoreValue> readValue(const HttpResponse &Response);

/// The version that a write created; 404 is LeaseLost.
Result<StoreVersion> readWrittenVersion(const HttpResponse &Response);

/// A granted or renewed lease; 404 is LeaseLost.
Result<StoreLease> readLease(const HttpResponse &Response);

/// The list of hosts, and the number of rows that could not be read.
struct ParsedList {
  PlatformList List;
  std::uint64_t UnreadableRows = 0;
};
Result<ParsedList> readList(const HttpResponse &Response);

} // namespace celerybeam

#endif
