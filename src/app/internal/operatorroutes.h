#ifndef CELERYBEAM_APP_INTERNAL_OPERATORROUTES_H
#define CELERYBEAM_APP_INTERNAL_OPERATORROUTES_H

#include "app/internal/adminpages.h"
#include "core/entryhost.h"
#include "framework/runtime.h"
#include "gateway/operatorserver.h"

namespace celerybeam {

/// Registers handlers for the pages of docs/operations/admin-api.md.
/// \param Drain  starts the host's graceful shutdown; must not block.
void addOperatorRoutes(OperatorServer &Server, const AdminPages &Pages,
                       EntryHost &Host, const Runtime &R, const Task &Drain);

} // namespace celerybeam

#endif
