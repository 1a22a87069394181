#ifndef CELERYBEAM_RELAY_REQUESTRELAY_H
#define CELERYBEAM_RELAY_REQUESTRELAY_H

#include <memory>

#include "relay/relaytypes.h"

namespace celerybeam {

/// Processes one request from its arrival to its final response: places it,
/// forwards it, retries it where that is safe, and responds to the caller.
///
/// \param FromHost  whether another entry host forwarded the request.
///
/// The relay keeps itself alive until the request ends; the context must
/// outlive it.
void relayRequest(RelayContext &Context, HttpServerRequest Request,
                  std::shared_ptr<HttpExchange> Exchange, bool FromHost);

} // namespace celerybeam

#endif
