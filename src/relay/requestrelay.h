#ifndef CELERYBEAM_RELAY_REQUESTRELAY_H
#define CELERYBEAM_RELAY_REQUESTRELAY_H

#include <memory>

#include "relay/relaytypes.h"

namespace celerybeam {

/// Carries one request from its arrival to its final answer.
///
/// \param FromHost  whether another entry host passed it on.
/// The relay lives as long as the request; the context must outlive it.
void relayRequest(RelayContext &Context, HttpServerRequest Request,
                  std::shared_ptr<HttpExchange> Answer, bool FromHost);

} // namespace celerybeam

#endif
