#ifndef CELERYBEAM_PLATFORM_PLATFORMCLIENT_H
#define CELERYBEAM_PLATFORM_PLATFORMCLIENT_H

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "framework/storehooks.h"
#include "httpclient/httpclient.h"
#include "membership/membershipcontroller.h"

namespace celerybeam {

/// Addresses, credentials and time limits of a PlatformClient.
struct PlatformClientOptions {
  /// Base addresses of the same service, as in "https://10.0.0.1:9000"; when
  /// one cannot be reached, the next is tried.
  std::vector<std::string> Addresses;
  /// Sent as a bearer token; empty: none.
  std::string Token;
  /// PEM file of the certificate authorities for https; empty: the system's.
  std::string CaFile;
  std::chrono::milliseconds ConnectTimeout{1000};
  /// Time limit for one call, added to the wait of a watch.
  std::chrono::milliseconds CallTimeout{3000};
};

/// Numbers of calls sent to the platform, by kind; each attempt counts.
struct PlatformCallCounts {
  std::uint64_t Gets = 0;
  std::uint64_t Puts = 0;
  std::uint64_t Watches = 0;
  std::uint64_t Leases = 0;
  std::uint64_t Lists = 0;
  /// Calls of any kind that got no response or a 5xx.
  std::uint64_t Failures = 0;
  /// Rows of the list of hosts that could not be read.
  std::uint64_t UnreadableRows = 0;
};

/// Calls the platform's key-value service, leases and list of hosts over HTTP;
/// see docs/CONTRACTS.md.
///
/// Thread-safe. Completions run on threads of the HTTP client, which must
/// outlive the hooks. A write is sent at most once: it goes to the next
/// address only when no byte of it was sent.
class PlatformClient {
public:
  PlatformClient(HttpClient &Http, PlatformClientOptions Settings);
  ~PlatformClient();

  /// Errors are those of StoreHooks, and BodyTooLarge for a value above the
  /// service's limit. A watch on an unresponsive connection ends only after its
  /// wait and the call timeout, so the wait limits how late a change is
  /// received. A watch that ends without a newer value reads the current one;
  /// it gives version 0 when After is 0.
  StoreHooks hooks() const;

  /// Reads the list of hosts; fails with StoreUnreachable. Rows that cannot
  /// be read are skipped and counted.
  void list(Completion<PlatformList> Done) const;

  PlatformCallCounts counts() const;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
