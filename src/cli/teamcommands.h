/// \file
/// Commands for teams, shares and limits.
#ifndef APRICOTWING_CLI_TEAMCOMMANDS_H
#define APRICOTWING_CLI_TEAMCOMMANDS_H

#include "cli/command.h"

#include <span>

namespace apricotwing {

/// The entries of the command table for this group. Thread-safe.
std::span<const CommandInfo> teamCommands();

} // namespace apricotwing

#endif
