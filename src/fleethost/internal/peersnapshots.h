#ifndef CELERYBEAM_FLEETHOST_INTERNAL_PEERSNAPSHOTS_H
#define CELERYBEAM_FLEETHOST_INTERNAL_PEERSNAPSHOTS_H

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "fleet/storemirror.h"
#include "fleethost/fleethost.h"
#include "fleethost/internal/peerconfirmation.h"
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
  /// Asks a host what its mirrors include, without their content. Errors:
  /// ConnectionLost, Internal.
  void askSummary(const std::string &Ip, const SummaryAnswer &Then);

  /// The part and revision that another host's request asks for; empty when it
  /// asks for something else. An unreadable revision counts as zero, for which
  /// all keys are sent.
  static std::optional<std::pair<MirrorPart, StoreRevision>>
  requested(const HttpRequestHead &Head);
  /// Whether another host's request asks for a summary.
  static bool isSummaryRequest(const HttpRequestHead &Head);

private:
  /// Calls a path of a host and returns the body. Errors: ConnectionLost, with
  /// what went wrong.
  void call(const std::string &Ip, const std::string &Path,
            std::function<void(Result<std::string>)> Then);

  HttpCaller &Caller_;
  std::string Port_;
};

} // namespace celerybeam::detail

#endif
