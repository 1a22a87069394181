#ifndef CELERYBEAM_FLEETHOST_INTERNAL_UPDATECODEC_H
#define CELERYBEAM_FLEETHOST_INTERNAL_UPDATECODEC_H

#include <optional>

#include "dispatch/placementtypes.h"
#include "dispatch/regionloadtracker.h"
#include "fleet/confirmationtracker.h"
#include "fleet/fleetview.h"
#include "fleet/hoststate.h"
#include "limits/limittypes.h"
#include "messages/fleetnews.pb.h"

namespace celerybeam::detail {

/// These functions convert between the dispatcher's types and the protobuf
/// messages that carry them. Points in time are sent as durations, since the
/// clocks of hosts differ.

void writeCrash(const CrashReport &Report, messages::CrashReport &Out);
void writeSound(const SoundReport &Report, messages::SoundReport &Out);
void writeRefused(const RefusedSuspect &Report, messages::RefusedSuspect &Out);
/// Reads what an update says of crashes.
CrashNews readCrashNews(const messages::FleetNews &In);

void writeConfirmation(const TablesConfirmation &Confirmation,
                       messages::TablesConfirmation &Out);
TablesConfirmation readConfirmation(const messages::TablesConfirmation &In);
void writeOutlook(const PoolLoadSummary &Load, messages::PoolOutlook &Out);
PoolLoadSummary readOutlook(const messages::PoolOutlook &In);
void writeShare(const ShareNote &Note, messages::ShareNote &Out);
ShareNote readShare(const messages::ShareNote &In);
/// A time stamp of this host's clock, which other hosts only return.
std::uint64_t stampMillis(TimePoint At);
TimePoint stampOf(std::uint64_t Millis);

void writeHost(const HostState &Host, Duration Age, messages::HostNews &Out);
/// Writes the state of the sending host, with the fleet's size.
void writeSelf(const HostState &Self, messages::HostNews &Out);
HostState readHost(const messages::HostNews &In);

void writeNote(PlacementId Id, const PlacementNote &Note, TimePoint Now,
               messages::PlacementNote &Out);
/// Reads a note; empty when its kind is unknown. Endpoints are looked up in the
/// view; one that is not listed there has only its key set.
std::optional<PlacementNote> readNote(const messages::PlacementNote &In,
                                      TimePoint Now, const FleetView &Fleet);

void writeReport(const EndpointReport &Report, messages::EndpointWord &Out);
EndpointReport readReport(const messages::EndpointWord &In);

void writeListed(const ListedPlacement &Listed, messages::ListedPlacement &Out);
ListedPlacement readListed(const messages::ListedPlacement &In);

} // namespace celerybeam::detail

#endif
