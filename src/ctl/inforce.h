#ifndef CELERYBEAM_CTL_INFORCE_H
#define CELERYBEAM_CTL_INFORCE_H

#include "blackboard/idtypes.h"
#include "ctl/command.h"

namespace celerybeam::ctl {

/// Adds --wait and the options of an operators' interface.
void addWaitOptions(po::options_description &Options);

/// Does nothing without --wait; else asks an entry host until the revision is
/// in force in every region or the wait ends, and shows each region.
ExitCode waitUntilInForce(const Invocation &I, Revision Number);

} // namespace celerybeam::ctl

#endif
