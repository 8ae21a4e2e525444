/// \file
/// Commands that list instances and workers, drain workers and show state.
#ifndef APRICOTWING_CLI_CLUSTERCOMMANDS_H
#define APRICOTWING_CLI_CLUSTERCOMMANDS_H

#include "cli/command.h"

#include <span>

namespace apricotwing {

/// The entries of the command table for this group. Thread-safe.
std::span<const CommandInfo> clusterCommands();

} // namespace apricotwing

#endif
