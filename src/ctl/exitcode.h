#ifndef CELERYBEAM_CTL_EXITCODE_H
#define CELERYBEAM_CTL_EXITCODE_H

#include "framework/error.h"

namespace celerybeam::ctl {

/// What celerybeamctl reports to the shell.
enum class ExitCode {
  Ok = 0,
  /// Refused or failed.
  Failed = 1,
  /// Wrong usage of the command line.
  Usage = 2,
  /// The platform or an entry host cannot be reached.
  Unreachable = 3,
  /// Others changed the same rows.
  Conflict = 4,
};

/// The exit code for a failure.
ExitCode exitCodeOf(ErrorKind Kind);

} // namespace celerybeam::ctl

#endif
