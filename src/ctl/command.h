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

/// Holds the parsed options and the output streams of one command run.
struct Invocation {
  const po::variables_map &Options;
  std::ostream &Out;
  std::ostream &Err;

  /// Whether --output json was given.
  bool wantsJson() const;
  /// Prints the error's message and returns its exit code.
  ExitCode fail(const Error &E) const;
  /// Prints a usage error and returns its exit code.
  ExitCode usage(const std::string &Message) const;
  /// Value of a string option; empty when the option is not given.
  std::string text(const std::string &Name) const;
};

/// Describes one subcommand of celerybeamctl: its help, options and action.
struct Command {
  std::string Name;
  std::string Summary;
  /// Names of the positional arguments, in order.
  std::vector<std::string> Arguments;
  /// Adds the options; each positional argument is also an option of the same
  /// name.
  std::function<void(po::options_description &)> Describe;
  std::function<ExitCode(const Invocation &)> Run;
};

/// All subcommands, in the order in which the help lists them.
const std::vector<Command> &allCommands();

/// Runs the subcommand named by the second argument; the first argument is the
/// program's name.
ExitCode runCommandLine(const std::vector<std::string> &Arguments,
                        std::ostream &Out, std::ostream &Err);

} // namespace celerybeam::ctl

#endif
