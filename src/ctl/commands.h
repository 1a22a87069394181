#ifndef CELERYBEAM_CTL_COMMANDS_H
#define CELERYBEAM_CTL_COMMANDS_H

#include "ctl/command.h"

namespace celerybeam::ctl {

// Each function returns one subcommand and has its own file under internal/.
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
