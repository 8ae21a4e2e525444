/// \file
/// Commands for the configuration: show, diff, propose, sign, reject, history.
#ifndef APRICOTWING_CLI_CONFIGCOMMANDS_H
#define APRICOTWING_CLI_CONFIGCOMMANDS_H

#include "cli/command.h"

#include <span>

namespace apricotwing {

/// The entries of the command table for this group. Thread-safe.
std::span<const CommandInfo> configCommands();

} // namespace apricotwing

#endif
