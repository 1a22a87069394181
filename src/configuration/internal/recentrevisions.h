#ifndef CELERYBEAM_CONFIGURATION_INTERNAL_RECENTREVISIONS_H
#define CELERYBEAM_CONFIGURATION_INTERNAL_RECENTREVISIONS_H

#include <deque>
#include <mutex>

#include "blackboard/blackboard.h"
#include "configuration/tablesrevision.h"
#include "messages/peer.pb.h"

namespace celerybeam::detail {

/// Holds the revision in force and the last ones before it, from which it
/// computes the changed rows for peers. Thread-safe.
class RecentRevisions {
public:
  explicit RecentRevisions(Blackboard &Board) : Board_(Board) {}

  /// Puts a revision in force if it is higher than the one in force and
  /// passes its checks. True when it is in force now; false when it was not
  /// higher. Fails with InvalidTable.
  Result<bool> adopt(TablesRevision Next);

  /// Builds the reply to a peer that has the given revision: the changes since
  /// it while it is held here, else the full tables; no rows when the peer is
  /// up to date.
  messages::RevisionReply replyTo(Revision Have) const;

  /// Reads the revision from a reply. Fails with InvalidTable when the reply
  /// contains changes of a revision that is not held here.
  Result<TablesRevision> revisionIn(const messages::RevisionReply &Reply) const;

  /// Revisions held to reply with changes.
  static constexpr std::size_t MaxRevisions = 32;

private:
  const TablesRevision *findLocked(Revision Number) const;

  Blackboard &Board_;
  mutable std::mutex Mutex_;
  /// Newest last.
  std::deque<TablesRevision> Revisions_;
};

} // namespace celerybeam::detail

#endif
