#include "ctl/commands.h"
#include "ctl/internal/hostcommands.h"

namespace celerybeam::ctl {

Command entriesCommand() {
  return detail::listCommand("entries", "Lists the entry hosts",
                             "/admin/entries", "entries",
                             {{"HOST", "host"},
                              {"REGION", "region"},
                              {"ZONE", "zone"},
                              {"CALLERS", "caller_address"},
                              {"PEERS", "peer_address"},
                              {"STATE", "state"},
                              {"REVISION", "revision"},
                              {"HEARD MS AGO", "last_heard_age_ms"}});
}

} // namespace celerybeam::ctl
