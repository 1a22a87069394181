#ifndef CELERYBEAM_APP_INTERNAL_CALLERPAGES_H
#define CELERYBEAM_APP_INTERNAL_CALLERPAGES_H

#include <string>

#include "core/entryhost.h"
#include "framework/error.h"
#include "framework/httptypes.h"

namespace celerybeam {

/// How long callers may cache a list of entry hosts.
inline constexpr std::chrono::milliseconds EntriesTimeToLive{5000};

/// JSON of GET /v1/models: the models of all routes.
std::string modelsPage(const Blackboard &Board);

/// JSON of GET /v1/entries: the entry hosts to use, best first. With `route`
/// in the query, only hosts in regions where the route's data may be handled.
/// Fails with UnknownRoute.
Result<std::string> entriesPage(EntryHost &Host, const RequestHead &Head);

/// JSON array of the entry hosts in the only region where a refused request may
/// be handled; empty when the request head does not determine that region.
std::string homeEntries(EntryHost &Host, const RequestHead &Head);

} // namespace celerybeam

#endif
