#ifndef CELERYBEAM_RELAY_INTERNAL_SOCKETS_H
#define CELERYBEAM_RELAY_INTERNAL_SOCKETS_H

#include <optional>

#include "blackboard/idtypes.h"
#include "framework/runtime.h"
#include "relay/internal/beast.h"

namespace celerybeam::detail {

/// Parses "IP:PORT". Unset when the text is malformed.
std::optional<Tcp::endpoint> parseEndpoint(const Address &Where);

/// Whether the other end has closed its sending side or reset the connection,
/// also if bytes before that are still unread.
bool isClosedByPeer(Tcp::socket &Socket);

/// Number of sent bytes that the other side has not acknowledged; 0 when the
/// system does not tell.
std::size_t unacknowledgedBytes(Tcp::socket &Socket);

/// Disables the delay of small packets, and closes the connection when the
/// other side does not acknowledge sent bytes or keep-alive probes within
/// AckTimeout. Failures are ignored: the connection works without these
/// options.
void setConnectionOptions(Tcp::socket &Socket, Duration AckTimeout);

/// Whether an idle connection is still open and has received no unexpected
/// bytes.
bool isOpenAndIdle(Tcp::socket &Socket);

} // namespace celerybeam::detail

#endif
