#ifndef CELERYBEAM_PEERS_INTERNAL_PEERADDRESS_H
#define CELERYBEAM_PEERS_INTERNAL_PEERADDRESS_H

#include <string_view>

#include "blackboard/idtypes.h"
#include "framework/error.h"

namespace celerybeam {

/// Checks that an address is an IP address with a port, and that it is a
/// loopback address unless connections are encrypted. Fails with
/// InvalidSettings.
Result<void> checkPeerAddress(const Address &Where, bool Encrypted);

} // namespace celerybeam

#endif
