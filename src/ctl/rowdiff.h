#ifndef CELERYBEAM_CTL_ROWDIFF_H
#define CELERYBEAM_CTL_ROWDIFF_H

#include <iosfwd>
#include <vector>

#include "configuration/tablesrevision.h"
#include "ctl/output.h"

namespace celerybeam::ctl {

/// Prints each changed row with its removed ("-") and added ("+") lines.
void printChanges(std::ostream &Out, const std::vector<RowChange> &Changes);

/// Converts the changes to JSON: table, name, change, before, after.
Json changesToJson(const std::vector<RowChange> &Changes);

} // namespace celerybeam::ctl

#endif
