/// \file
/// The command line program: parsing, help, error output and exit code.
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

/// Environment variables, transport and streams that the command line uses.
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

/// Runs one command and returns the exit code of the program. \p Arguments do
/// not include the program's name. Every failure is written to the error stream
/// with a remedy. Not thread-safe.
ExitCode runCommandLine(const std::vector<std::string> &Arguments,
                        const CommandLineContext &Context);

} // namespace apricotwing

#endif
