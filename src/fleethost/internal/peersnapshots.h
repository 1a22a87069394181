#ifndef CELERYBEAM_FLEETHOST_INTERNAL_PEERSNAPSHOTS_H
#define CELERYBEAM_FLEETHOST_INTERNAL_PEERSNAPSHOTS_H

#include <optional>
#include <set>
#include <string>
#include <utility>

#include "fleet/storemirror.h"
#include "fleethost/fleethost.h"
#include "relay/httpcaller.h"

namespace celerybeam::detail {

/// A revision as text: its era, a dot and its number.
std::string revisionText(StoreRevision Revision);

/// Fetches mirrored store content from other entry hosts, and reads their
/// requests for it.
class PeerSnapshots {
public:
  using Answer = StoreMirrorHooks::Answer;

  /// \param Port  at which entry hosts receive requests from each other.
  PeerSnapshots(HttpCaller &Caller, std::string Port);

  /// Fetches the changes after a revision from a host; it may return all keys
  /// instead. Errors: ConnectionLost, Internal.
  void fetch(const std::string &Ip, MirrorPart Part, StoreRevision Since,
             const Answer &Then);
  /// Like fetch, but does nothing while an earlier call of this function for
  /// the same host is in progress.
  void fetchOnce(const std::string &Ip, MirrorPart Part, StoreRevision Since,
                 const Answer &Then);

  /// The part and revision that another host's request asks for; empty when it
  /// asks for something else. An unreadable revision counts as zero, for which
  /// all keys are sent.
  static std::optional<std::pair<MirrorPart, StoreRevision>>
  requested(const HttpRequestHead &Head);

private:
  HttpCaller &Caller_;
  std::string Port_;
  std::set<std::pair<std::string, MirrorPart>> InProgress_;
};

} // namespace celerybeam::detail

#endif
