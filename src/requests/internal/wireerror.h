#ifndef CELERYBEAM_REQUESTS_INTERNAL_WIREERROR_H
#define CELERYBEAM_REQUESTS_INTERNAL_WIREERROR_H

#include "framework/error.h"
#include "messages/peer.pb.h"

namespace celerybeam::detail {

/// Converts an error to the message sent between entry hosts.
messages::WireError toWire(const Error &E);

/// Converts a message to an error; an unknown kind becomes Internal.
Error fromWire(const messages::WireError &Wire);

} // namespace celerybeam::detail

#endif
