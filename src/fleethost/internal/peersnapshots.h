#ifndef CELERYBEAM_FLEETHOST_INTERNAL_PEERSNAPSHOTS_H
#define CELERYBEAM_FLEETHOST_INTERNAL_PEERSNAPSHOTS_H

#include <functional>
#include <memory>
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
  PeerSnapshots(Runtime R, HttpCaller &Caller, std::string Port);
  ~PeerSnapshots();

  /// Fetches the changes after a revision from a host; it may return all keys
  /// instead. A transfer may take as long as bytes arrive; when one begins,
  /// those of the same part that have not begun are ended. Errors:
  /// ConnectionLost; StreamStalled when a part of the copy had arrived;
  /// Overloaded; Internal; Cancelled when the transfer was ended from here.
  void fetch(const std::string &Ip, MirrorPart Part, StoreRevision Since,
             const Answer &Then);
  /// Whether a host is handing over a part, so that it is not worth asking
  /// another one; see TransferProgress::isOnItsWay.
  bool isReceiving(MirrorPart Part) const;
  /// Ends the transfer of a part of which least has arrived, if its rate is
  /// known.
  void endSlowest(MirrorPart Part);
  /// Ends all transfers of a part.
  void endAll(MirrorPart Part);
  /// Has a host read the store, and fetches the changes of the operator's
  /// tables after a revision from it; it may return all keys instead. What it
  /// returns includes all that was acknowledged before the call. Errors: those
  /// of fetch, but not Cancelled.
  void fetchConfirmed(const std::string &Ip, StoreRevision Since,
                      const Answer &Then);
  /// Asks a host what its mirrors include, without their content. Errors:
  /// ConnectionLost, Internal.
  void askSummary(const std::string &Ip, const SummaryAnswer &Then);

  /// The part and revision that another host's request asks for; empty when it
  /// asks for something else. An unreadable revision counts as zero, for which
  /// all keys are sent.
  static std::optional<std::pair<MirrorPart, StoreRevision>>
  requested(const HttpRequestHead &Head);
  /// The revision of a request by fetchConfirmed; empty when it is none.
  static std::optional<StoreRevision>
  requestedConfirmed(const HttpRequestHead &Head);
  /// Whether another host's request asks for a summary.
  static bool isSummaryRequest(const HttpRequestHead &Head);

private:
  struct Transfer;
  struct OpenTransfers;
  /// Calls a path of a host and returns the body. Errors: ConnectionLost, with
  /// what went wrong. \param Of  the transfer that the call belongs to; null
  /// for none.
  void call(const std::string &Ip, const std::string &Path,
            const std::shared_ptr<Transfer> &Of,
            std::function<void(Result<std::string>)> Then);

  Runtime Runtime_;
  HttpCaller &Caller_;
  std::string Port_;
  /// Outlives this object while calls are open.
  std::shared_ptr<OpenTransfers> Open_;
};

} // namespace celerybeam::detail

#endif
