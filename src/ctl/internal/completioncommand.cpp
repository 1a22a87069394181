#include "ctl/commands.h"

namespace celerybeam::ctl {

namespace {

std::string optionsOf(const Command &C) {
  po::options_description Options;
  C.Describe(Options);
  std::string Names = "--output --help";
  for (const auto &Option : Options.options())
    Names += " --" + Option->long_name();
  return Names;
}

ExitCode run(const Invocation &I) {
  if (I.text("shell") != "bash")
    return I.usage("completion knows one shell: completion bash");
  std::string Names;
  std::string Cases;
  for (const Command &C : allCommands()) {
    Names += (Names.empty() ? "" : " ") + C.Name;
    Cases += "    " + C.Name + ") options=\"" + optionsOf(C) + "\" ;;\n";
  }
  I.Out << "_celerybeamctl() {\n"
           "  local word=\"${COMP_WORDS[COMP_CWORD]}\" options=\"\"\n"
           "  if [ \"$COMP_CWORD\" -eq 1 ]; then\n"
           "    COMPREPLY=($(compgen -W \""
        << Names
        << "\" -- \"$word\"))\n"
           "    return\n"
           "  fi\n"
           "  case \"${COMP_WORDS[1]}\" in\n"
        << Cases
        << "  esac\n"
           "  case \"$word\" in\n"
           "    -*) COMPREPLY=($(compgen -W \"$options\" -- \"$word\")) ;;\n"
           "    *) COMPREPLY=($(compgen -f -- \"$word\")) ;;\n"
           "  esac\n"
           "}\n"
           "complete -F _celerybeamctl celerybeamctl\n";
  return ExitCode::Ok;
}

} // namespace

Command completionCommand() {
  return {"completion",
          "Prints a script that completes commands and options",
          {"shell"},
          [](po::options_description &Options) {
            Options.add_options()("shell", po::value<std::string>(),
                                  "the shell: bash");
          },
          run};
}

} // namespace celerybeam::ctl
