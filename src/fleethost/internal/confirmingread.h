#ifndef CELERYBEAM_FLEETHOST_INTERNAL_CONFIRMINGREAD_H
#define CELERYBEAM_FLEETHOST_INTERNAL_CONFIRMINGREAD_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/readbarrier.h"
#include "fleet/storemirror.h"
#include "fleethost/internal/sourceranking.h"

namespace celerybeam::detail {

/// Brings this host's copy of the operator's tables up to the present by a
/// consistent read of the store, which this host makes or has another one make.
///
/// Handles these load patterns: "many hosts of a region need a confirmation at
/// the same time" and "one host is partitioned from the store". A host that
/// follows its region's watchers has one of them read for all that ask it, so
/// that the store's calls do not grow with the hosts; one that watches, or
/// knows nobody in its region, reads itself. Another source is asked after a
/// failure, and beside one that does not answer. When no watcher of the region
/// reaches the store, its hosts soon stop following and watch themselves. Not
/// thread-safe.
class ConfirmingRead {
public:
  /// The callbacks may come late but never on the calling stack.
  struct Hooks {
    /// Reads the store and applies what it returns. Errors: any.
    std::function<void(ReadBarrier::Done)> ReadStore;
    /// Has a host read the store, and fetches the changes after a revision from
    /// it. Errors: any.
    std::function<void(const std::string &Ip, StoreRevision Since,
                       StoreMirrorHooks::Answer)>
        ReadByHost;
    /// The copy includes all that the store acknowledged before this time.
    std::function<void(TimePoint)> Confirmed;
    /// A source has answered, or failed. \param Ip  empty for the store. May be
    /// empty.
    std::function<void(const std::string &Ip, const Result<void> &)> Report =
        {};
  };

  ConfirmingRead(Runtime R, const SourceRanking &Sources, StoreMirror &Operator,
                 Hooks H);
  ~ConfirmingRead();

  /// \param Done  gets the error of the source that failed last when all have.
  void read(ReadBarrier::Done Done);

  /// Time after which another source is asked beside one that does not answer:
  /// that of a watcher in another region than the store, which may have to wait
  /// for its next read.
  static constexpr Duration SourceWait = std::chrono::milliseconds(250);
  /// How long a source that has failed here comes after the others.
  static constexpr Duration FailureMemory = SourceRanking::FailureMemory;
  /// Hosts of this region that are asked for one read.
  static constexpr std::size_t HostsOfRegion = 2;

private:
  struct Round;
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace celerybeam::detail

#endif
