#include "ctl/command.h"

#include <algorithm>
#include <iostream>
#include <utility>

#include "ctl/commands.h"

namespace celerybeam::ctl {

namespace {

constexpr const char *Program = "celerybeamctl";
constexpr const char *Version = "0.1.0";

void printOverview(std::ostream &Out) {
  Out << "Usage: " << Program << " COMMAND [ARGUMENTS] [OPTIONS]\n\n";
  std::size_t Width = 0;
  for (const Command &C : allCommands())
    Width = std::max(Width, C.Name.size());
  for (const Command &C : allCommands())
    Out << "  " << C.Name << std::string(Width - C.Name.size() + 2, ' ')
        << C.Summary << "\n";
  Out << "\n"
      << Program << " COMMAND --help explains a command.\n"
      << "Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 the "
         "platform or an\nentry host cannot be reached, 4 others changed the "
         "same rows.\n";
}

std::string upperCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(), [](unsigned char C) {
    return static_cast<char>(std::toupper(C));
  });
  return Text;
}

po::options_description describe(const Command &C) {
  po::options_description Options("Options");
  C.Describe(Options);
  Options.add_options()(
      "output", po::value<std::string>()->default_value("table"),
      "how results are printed: table or json")("help", "print this help");
  return Options;
}

void printHelp(const Command &C, std::ostream &Out) {
  Out << "Usage: " << Program << " " << C.Name;
  for (const std::string &Argument : C.Arguments)
    Out << " [" << upperCase(Argument) << "]";
  Out << " [OPTIONS]\n\n" << C.Summary << ".\n\n" << describe(C);
}

ExitCode run(const Command &C, const std::vector<std::string> &Arguments,
             std::ostream &Out, std::ostream &Err) {
  po::options_description Options = describe(C);
  po::positional_options_description Positions;
  for (const std::string &Argument : C.Arguments)
    Positions.add(Argument.c_str(), 1);
  po::variables_map Values;
  Invocation I{Values, Out, Err};
  try {
    po::store(po::command_line_parser(Arguments)
                  .options(Options)
                  .positional(Positions)
                  .run(),
              Values);
    po::notify(Values);
  } catch (const po::error &E) {
    return I.usage(std::string(E.what()) + "; " + Program + " " + C.Name +
                   " --help lists the options");
  }
  if (Values.count("help") != 0) {
    printHelp(C, Out);
    return ExitCode::Ok;
  }
  std::string Output = I.text("output");
  if (Output != "table" && Output != "json")
    return I.usage("--output is \"" + Output + "\"; give table or json");
  return C.Run(I);
}

} // namespace

bool Invocation::wantsJson() const { return text("output") == "json"; }

ExitCode Invocation::fail(const Error &E) const {
  Err << Program << ": " << E.Message << "\n";
  return exitCodeOf(E.Kind);
}

ExitCode Invocation::usage(const std::string &Message) const {
  Err << Program << ": " << Message << "\n";
  return ExitCode::Usage;
}

std::string Invocation::text(const std::string &Name) const {
  auto It = Options.find(Name);
  return It == Options.end() ? std::string() : It->second.as<std::string>();
}

const std::vector<Command> &allCommands() {
  static const std::vector<Command> Commands = {
      checkCommand(),       applyCommand(),     getCommand(),
      diffCommand(),        historyCommand(),   rollbackCommand(),
      statusCommand(),      entriesCommand(),   endpointsCommand(),
      bookingCommand(),     topCommand(),       explainCommand(),
      traceCommand(),       drainCommand(),     keygenCommand(),
      customerKeyCommand(), completionCommand()};
  return Commands;
}

ExitCode runCommandLine(const std::vector<std::string> &Arguments,
                        std::ostream &Out, std::ostream &Err) {
  std::string Name = Arguments.size() > 1 ? Arguments[1] : "";
  if (Name == "--help" || Name == "help") {
    printOverview(Out);
    return ExitCode::Ok;
  }
  if (Name == "--version") {
    Out << Program << " " << Version << "\n";
    return ExitCode::Ok;
  }
  const std::vector<Command> &All = allCommands();
  auto It = std::find_if(All.begin(), All.end(),
                         [&](const Command &C) { return C.Name == Name; });
  if (It == All.end()) {
    Err << Program << ": "
        << (Name.empty() ? "no command is given"
                         : "there is no command \"" + Name + "\"")
        << "; " << Program << " --help lists them\n";
    return ExitCode::Usage;
  }
  return run(*It, {Arguments.begin() + 2, Arguments.end()}, Out, Err);
}

} // namespace celerybeam::ctl
