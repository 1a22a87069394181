#ifndef CELERYBEAM_CTL_EXITCODE_H
#define CELERYBEAM_CTL_EXITCODE_H

#include "framework/error.h"

namespace celerybeam::ctl {

/// Exit codes of celerybeamctl.
enum class ExitCode {
  Ok = 0,
  /// The command was refused or failed.
  Failed = 1,
  /// Wrong usage of the command line.
  Usage = 2,
  /// The platform or an entry host cannot be reached.
  Unreachable = 3,
  /// Another operator changed the same rows.
  Conflict = 4,
};

/// Returns the exit code for a kind of error.
ExitCode exitCodeOf(ErrorKind Kind);

} // namespace celerybeam::ctl

#endif
