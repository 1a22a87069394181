#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "ctl/command.h"

int main(int Count, char **Arguments) {
  try {
    std::vector<std::string> All(Arguments, Arguments + Count);
    return static_cast<int>(
        celerybeam::ctl::runCommandLine(All, std::cout, std::cerr));
  } catch (const std::exception &E) {
    std::cerr << "celerybeamctl: " << E.what() << "\n";
    return static_cast<int>(celerybeam::ctl::ExitCode::Failed);
  }
}
