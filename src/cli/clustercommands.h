/// \file
/// Commands for instances, workers and their state.
#ifndef APRICOTWING_CLI_CLUSTERCOMMANDS_H
#define APRICOTWING_CLI_CLUSTERCOMMANDS_H

#include "cli/command.h"

#include <span>

namespace apricotwing {

/// Rows of this group in the command table. Thread-safe.
std::span<const CommandInfo> clusterCommands();

} // namespace apricotwing

#endif
