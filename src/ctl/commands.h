#ifndef CELERYBEAM_CTL_COMMANDS_H
#define CELERYBEAM_CTL_COMMANDS_H

#include "ctl/command.h"

namespace celerybeam::ctl {

// Each has a file of its own under internal/.
Command applyCommand();
Command bookingCommand();
Command checkCommand();
Command completionCommand();
Command diffCommand();
Command drainCommand();
Command endpointsCommand();
Command entriesCommand();
Command explainCommand();
Command getCommand();
Command historyCommand();
Command keygenCommand();
Command rollbackCommand();
Command statusCommand();
Command customerKeyCommand();
Command topCommand();
Command traceCommand();

} // namespace celerybeam::ctl

#endif
