#ifndef CELERYBEAM_ENDPOINTS_INTERNAL_LOADPAGE_H
#define CELERYBEAM_ENDPOINTS_INTERNAL_LOADPAGE_H

#include "blackboard/calltypes.h"
#include "httpclient/httpfetch.h"

namespace celerybeam {

/// Parses the response to GET /load. Fails with ConnectionLost when it is not
/// a load page.
Result<LoadPage> parseLoadPage(const HttpResponse &Response, TimePoint Now);

} // namespace celerybeam

#endif
