/// \file
/// The command for interactive requests.
#ifndef APRICOTWING_CLI_REQUESTCOMMANDS_H
#define APRICOTWING_CLI_REQUESTCOMMANDS_H

#include "cli/command.h"

#include <span>

namespace apricotwing {

/// The entries of the command table for this group. Thread-safe.
std::span<const CommandInfo> requestCommands();

} // namespace apricotwing

#endif
