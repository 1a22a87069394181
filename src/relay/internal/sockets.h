#ifndef CELERYBEAM_RELAY_INTERNAL_SOCKETS_H
#define CELERYBEAM_RELAY_INTERNAL_SOCKETS_H

#include <optional>

#include "blackboard/idtypes.h"
#include "framework/runtime.h"
#include "relay/internal/beast.h"

namespace celerybeam::detail {

/// Reads "IP:PORT". Empty when it is neither.
std::optional<Tcp::endpoint> parseEndpoint(const Address &Where);

/// Sends at once, and ends the connection when the other side has not
/// acknowledged anything for AckTimeout although it should have. Failures are
/// ignored: the connection works without these options.
void setConnectionOptions(Tcp::socket &Socket, Duration AckTimeout);

/// Whether an idle connection is open and holds no bytes that nobody asked
/// for.
bool isQuiet(Tcp::socket &Socket);

} // namespace celerybeam::detail

#endif
