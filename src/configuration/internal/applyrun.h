#ifndef CELERYBEAM_CONFIGURATION_INTERNAL_APPLYRUN_H
#define CELERYBEAM_CONFIGURATION_INTERNAL_APPLYRUN_H

#include <memory>
#include <string>

#include "configuration/internal/revisionreader.h"
#include "configuration/internal/storeretry.h"
#include "configuration/tableswriter.h"

namespace celerybeam::detail {

/// One edit on its way into force; keeps itself alive until it has ended. Its
/// store calls follow one another, so that it needs no lock.
class ApplyRun : public std::enable_shared_from_this<ApplyRun> {
public:
  ApplyRun(StoreRetry Store, ApplyRequest Request,
           Completion<ApplyOutcome> Done);

  void start();

private:
  void takeHead(HeadState State);
  void takeTheirs(const ReadRevision &Theirs);
  void writeRevision(const MergedRows &Merged, const ReadRevision &Theirs);
  void putHead();
  void takeHeadWritten(Result<StoreVersion> Answer);
  void settle();
  void settleLater(const std::string &Reason);
  void takeSettled(HeadState State);
  void again();
  void giveUp(const std::string &Reason);
  void fail(Error E) { Done_(tl::make_unexpected(std::move(E))); }
  /// Calls a step with the value, or ends the run with the error.
  template <typename Value, typename Step> auto next(Step TheStep);

  StoreRetry Store_;
  ApplyRequest Request_;
  Completion<ApplyOutcome> Done_;
  HeadState Seen_;
  /// The head that this run writes.
  ConfigurationHead Own_;
  std::vector<RowChange> ChangedByOthers_;
  /// Whether a write of Own_ may have taken effect unnoticed.
  bool MayHaveLanded_ = false;
  /// Whether the store has refused a write that expected Seen_.Version, so
  /// that a read of that version is an old one.
  bool SeenIsOld_ = false;
  int Attempts_ = 0;
  std::shared_ptr<const ChunkCache> Cache_;
};

} // namespace celerybeam::detail

#endif
