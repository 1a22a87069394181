#ifndef CELERYBEAM_CTL_INTERNAL_HOSTCOMMANDS_H
#define CELERYBEAM_CTL_INTERNAL_HOSTCOMMANDS_H

#include <string>
#include <vector>

#include "ctl/command.h"
#include "ctl/output.h"

namespace celerybeam::ctl::detail {

/// Calls an entry host. Prints the response as JSON with --output json, or else
/// passes it to the given function. Returns the exit code.
ExitCode showResponse(const Invocation &I, const std::string &Method,
                      const std::string &Target,
                      const std::function<void(const Json &)> &Print);

/// Returns a command without arguments that prints the list in one field of the
/// response to a GET.
Command listCommand(const std::string &Name, const std::string &Summary,
                    const std::string &Target, const std::string &Field,
                    const std::vector<Column> &Columns);

} // namespace celerybeam::ctl::detail

#endif
