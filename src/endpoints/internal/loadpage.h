#ifndef CELERYBEAM_ENDPOINTS_INTERNAL_LOADPAGE_H
#define CELERYBEAM_ENDPOINTS_INTERNAL_LOADPAGE_H

#include "blackboard/calltypes.h"
#include "httpclient/httpfetch.h"

namespace celerybeam {

/// Reads the answer to GET /load; fails with ConnectionLost when it is not a
/// load page.
Result<LoadAnswer> readLoadPage(const HttpAnswer &Answer, TimePoint Now);

} // namespace celerybeam

#endif
