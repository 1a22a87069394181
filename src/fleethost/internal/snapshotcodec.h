#ifndef CELERYBEAM_FLEETHOST_INTERNAL_SNAPSHOTCODEC_H
#define CELERYBEAM_FLEETHOST_INTERNAL_SNAPSHOTCODEC_H

#include <string>

#include "fleet/storemirror.h"
#include "fleethost/internal/peerconfirmation.h"

namespace celerybeam::detail {

/// Encodes a snapshot of mirrored store content for another entry host.
std::string writeSnapshot(const StoreSnapshot &Snapshot);

/// Decodes another entry host's snapshot. Errors: Internal.
Result<StoreSnapshot> readSnapshot(const std::string &Bytes);

/// Encodes what this host's mirrors include for another entry host.
std::string writeSummary(const MirrorSummary &Summary);

/// Decodes another entry host's summary. Errors: Internal.
Result<MirrorSummary> readSummary(const std::string &Bytes);

} // namespace celerybeam::detail

#endif
