#ifndef CELERYBEAM_CONFIGURATION_INTERNAL_REVISIONKEEP_H
#define CELERYBEAM_CONFIGURATION_INTERNAL_REVISIONKEEP_H

#include <deque>
#include <mutex>

#include "blackboard/blackboard.h"
#include "configuration/tablesrevision.h"
#include "messages/peer.pb.h"

namespace celerybeam::detail {

/// The revision in force and those shortly before, from which peers get the
/// rows that changed. Thread-safe.
class RevisionKeep {
public:
  explicit RevisionKeep(Blackboard &Board) : Board_(Board) {}

  /// Puts a revision in force if it is higher than the one in force and
  /// passes its checks. True when it is in force now; false when it was not
  /// higher. Fails with InvalidTable.
  Result<bool> adopt(TablesRevision Next);

  /// What a peer that has a revision needs: changes from it while it is kept,
  /// else whole tables; no rows when the peer is up to date.
  messages::RevisionReply replyTo(Revision Have) const;

  /// The revision that a reply carries. Fails with InvalidTable when it
  /// changes a revision that is not kept.
  Result<TablesRevision> revisionIn(const messages::RevisionReply &Reply) const;

  /// Revisions kept to answer with changes.
  static constexpr std::size_t KeptRevisions = 32;

private:
  const TablesRevision *findLocked(Revision Number) const;

  Blackboard &Board_;
  mutable std::mutex Mutex_;
  /// Newest last.
  std::deque<TablesRevision> Kept_;
};

} // namespace celerybeam::detail

#endif
