#ifndef CELERYBEAM_REQUESTS_INTERNAL_WIREERROR_H
#define CELERYBEAM_REQUESTS_INTERNAL_WIREERROR_H

#include "framework/error.h"
#include "messages/peer.pb.h"

namespace celerybeam::detail {

/// An error in the form that travels between entry hosts.
messages::WireError toWire(const Error &E);

/// The error in a message; an unknown kind becomes Internal.
Error fromWire(const messages::WireError &Wire);

} // namespace celerybeam::detail

#endif
