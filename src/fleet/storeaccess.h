#ifndef CELERYBEAM_FLEET_STOREACCESS_H
#define CELERYBEAM_FLEET_STOREACCESS_H

#include <functional>
#include <string>
#include <vector>

#include "fleet/storemirror.h"
#include "framework/error.h"
#include "framework/runtime.h"

namespace celerybeam {

/// Names a lease of the store; keys under it vanish when it ends.
struct LeaseId {
  std::uint64_t Value = 0;
};

/// The calls to the platform's store, each made once and never repeated on its
/// own. Errors: StoreUnreachable (nothing was done, or it is not known),
/// StoreConflict (history gone, or a condition does not hold), LeaseLost.
struct StoreAccess {
  using Answer = StoreMirrorHooks::Answer;
  using Done = std::function<void(Result<void>)>;

  std::function<void(const std::string &Prefix, Answer)> List;
  /// The same, perhaps seconds old, at a tenth of the price.
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
