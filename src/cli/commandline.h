/// \file
/// The command line as a whole: parsing, help, output of errors, exit code.
#ifndef APRICOTWING_CLI_COMMANDLINE_H
#define APRICOTWING_CLI_COMMANDLINE_H

#include "cli/command.h"
#include "cli/transport.h"

#include <istream>
#include <ostream>
#include <span>
#include <string>
#include <vector>

namespace apricotwing {

/// What the command line takes from its surroundings.
struct CommandLineContext {
  std::string ServerVariable; ///< Value of APRICOTWING_SERVER.
  std::string KeyVariable;    ///< Value of APRICOTWING_KEY.
  Transport &Network;
  PauseFunction Pause;
  std::istream &In;
  std::ostream &Out;
  std::ostream &Err;
};

/// All commands in the order of the help text. Thread-safe.
std::vector<CommandInfo> commandTable();

/// Options that every command has. Thread-safe.
std::span<const OptionInfo> commonOptions();

/// Text of `--help`. Thread-safe.
std::string commandLineHelp();

/// Text of `COMMAND --help`. Thread-safe.
std::string commandHelp(const CommandInfo &Command);

/// Runs one command. \p Arguments are without the program's name. Every
/// failure is reported on the error stream with its remedy and decides the
/// exit code. Not thread-safe.
ExitCode runCommandLine(const std::vector<std::string> &Arguments,
                        const CommandLineContext &Context);

} // namespace apricotwing

#endif
