#ifndef CELERYBEAM_CTL_COMMAND_H
#define CELERYBEAM_CTL_COMMAND_H

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

#include <boost/program_options.hpp>

#include "ctl/exitcode.h"
#include "framework/error.h"

namespace celerybeam::ctl {

namespace po = boost::program_options;

/// What a command runs with.
struct Invocation {
  const po::variables_map &Options;
  std::ostream &Out;
  std::ostream &Err;

  /// Whether --output json was given.
  bool wantsJson() const;
  /// Prints the failure and returns its exit code.
  ExitCode fail(const Error &E) const;
  /// Prints wrong usage and returns its exit code.
  ExitCode usage(const std::string &Message) const;
  /// A string option; empty when it is not given.
  std::string text(const std::string &Name) const;
};

/// One subcommand of celerybeamctl.
struct Command {
  std::string Name;
  std::string Summary;
  /// Names of the arguments without a dash, in order.
  std::vector<std::string> Arguments;
  /// Adds the options; each argument is an option of the same name.
  std::function<void(po::options_description &)> Describe;
  std::function<ExitCode(const Invocation &)> Run;
};

/// All subcommands in the order of the help.
const std::vector<Command> &allCommands();

/// Runs the subcommand that the arguments name; the first argument is the
/// program's name.
ExitCode runCommandLine(const std::vector<std::string> &Arguments,
                        std::ostream &Out, std::ostream &Err);

} // namespace celerybeam::ctl

#endif
