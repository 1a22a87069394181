#ifndef CELERYBEAM_CTL_INFORCE_H
#define CELERYBEAM_CTL_INFORCE_H

#include "blackboard/idtypes.h"
#include "ctl/command.h"

namespace celerybeam::ctl {

/// Adds --wait and the options for the operators' interface.
void addWaitOptions(po::options_description &Options);

/// With --wait, polls an entry host until the revision is in force in every
/// region or the wait has timed out, and prints the state of each region. Does
/// nothing without --wait.
ExitCode waitUntilInForce(const Invocation &I, Revision Number);

} // namespace celerybeam::ctl

#endif
