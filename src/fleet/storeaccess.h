#ifndef CELERYBEAM_FLEET_STOREACCESS_H
#define CELERYBEAM_FLEET_STOREACCESS_H

#include <functional>
#include <string>
#include <vector>

#include "fleet/storemirror.h"
#include "framework/error.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Identifies a lease in the store. Keys under a lease are removed when it
/// ends.
struct LeaseId {
  std::uint64_t Value = 0;
};

/// The calls to the platform's store. Each is made once; none is retried
/// automatically. Errors: StoreUnreachable (nothing was done, or the outcome is
/// unknown), StoreConflict (the history is gone, or a condition does not hold),
/// LeaseLost.
struct StoreAccess {
  using Answer = StoreMirrorHooks::Answer;
  using Done = std::function<void(Result<void>)>;

  std::function<void(const std::string &Prefix, Answer)> List;
  /// Like List at a tenth of the price, but the result may be some seconds old.
  std::function<void(const std::string &Prefix, Answer)> ListStale;
  std::function<void(const std::string &Prefix, StoreRevision After,
                     Duration Wait, Answer)>
      Watch;
  std::function<void(Duration TimeToLive, std::function<void(Result<LeaseId>)>)>
      Grant;
  std::function<void(LeaseId, Done)> Renew;
  std::function<void(LeaseId, Done)> End;
  std::function<void(const std::string &Key, const std::string &Value, LeaseId,
                     Done)>
      Put;
};

} // namespace celerybeam

#endif
