#ifndef CELERYBEAM_CTL_INTERNAL_HOSTCOMMANDS_H
#define CELERYBEAM_CTL_INTERNAL_HOSTCOMMANDS_H

#include <string>
#include <vector>

#include "ctl/command.h"
#include "ctl/output.h"

namespace celerybeam::ctl::detail {

/// Calls an entry host. With --output json prints the answer as it came, else
/// hands it to the printer. Returns the exit code.
ExitCode showAnswer(const Invocation &I, const std::string &Method,
                    const std::string &Target,
                    const std::function<void(const Json &)> &Print);

/// A command without arguments that shows the list in one field of the
/// answer to a GET.
Command listCommand(const std::string &Name, const std::string &Summary,
                    const std::string &Target, const std::string &Field,
                    const std::vector<Column> &Columns);

} // namespace celerybeam::ctl::detail

#endif
