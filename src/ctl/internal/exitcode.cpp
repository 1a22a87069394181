#include "ctl/exitcode.h"

namespace celerybeam::ctl {

ExitCode exitCodeOf(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::ConnectFailed:
  case ErrorKind::ConnectionLost:
  case ErrorKind::StoreUnreachable:
  case ErrorKind::StoreOutcomeUnknown:
    return ExitCode::Unreachable;
  case ErrorKind::BadRequest:
    return ExitCode::Usage;
  case ErrorKind::StoreConflict:
    return ExitCode::Conflict;
  default:
    return ExitCode::Failed;
  }
}

} // namespace celerybeam::ctl
