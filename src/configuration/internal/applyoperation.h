#ifndef CELERYBEAM_CONFIGURATION_INTERNAL_APPLYOPERATION_H
#define CELERYBEAM_CONFIGURATION_INTERNAL_APPLYOPERATION_H

#include <memory>
#include <string>

#include "configuration/internal/revisionreader.h"
#include "configuration/internal/storeretry.h"
#include "configuration/tableswriter.h"

namespace celerybeam::detail {

/// Writes one edit of the tables to the store, with merging and retries; keeps
/// itself alive until it has ended. Its store calls run one after the other, so
/// that it needs no lock.
class ApplyOperation : public std::enable_shared_from_this<ApplyOperation> {
public:
  ApplyOperation(StoreRetry Store, ApplyRequest Request,
                 Completion<ApplyOutcome> Done);

  void start();

private:
  void onHead(HeadState State);
  void onStoredTables(const ReadRevision &Theirs);
  void writeRevision(const MergedRows &Merged, const ReadRevision &Theirs);
  void putHead();
  void onHeadWritten(Result<StoreVersion> Reply);
  void resolveOutcome();
  void resolveOutcomeLater(const std::string &Reason);
  void onHeadReread(HeadState State);
  void retry();
  void giveUp(const std::string &Reason);
  void fail(Error E) { Done_(tl::make_unexpected(std::move(E))); }
  /// Returns a completion that calls a step with the value, or ends the
  /// operation with the error.
  template <typename Value, typename Step> auto continueWith(Step NextStep);

  StoreRetry Store_;
  ApplyRequest Request_;
  Completion<ApplyOutcome> Done_;
  HeadState CurrentHead_;
  /// The head that this operation writes.
  ConfigurationHead NewHead_;
  std::vector<RowChange> ChangedByOthers_;
  /// Whether a write of NewHead_ may have taken effect although its reply was
  /// lost.
  bool MayBeWritten_ = false;
  /// Whether the store has refused a write that expected CurrentHead_.Version,
  /// so that a read of that version is stale.
  bool CurrentHeadIsStale_ = false;
  int Attempts_ = 0;
  std::shared_ptr<const ChunkCache> Cache_;
};

} // namespace celerybeam::detail

#endif
