#ifndef CELERYBEAM_CTL_ROWDIFF_H
#define CELERYBEAM_CTL_ROWDIFF_H

#include <iosfwd>
#include <vector>

#include "configuration/tablesrevision.h"
#include "ctl/output.h"

namespace celerybeam::ctl {

/// Prints each changed row with the lines that went ("-") and came ("+").
void printChanges(std::ostream &Out, const std::vector<RowChange> &Changes);

/// The changes as JSON: table, name, change, before, after.
Json changesToJson(const std::vector<RowChange> &Changes);

} // namespace celerybeam::ctl

#endif
