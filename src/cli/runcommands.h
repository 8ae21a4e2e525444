/// \file
/// Commands for runs: submit, status, list, wait, cancel.
#ifndef APRICOTWING_CLI_RUNCOMMANDS_H
#define APRICOTWING_CLI_RUNCOMMANDS_H

#include "cli/command.h"

#include <span>

namespace apricotwing {

/// The entries of the command table for this group. Thread-safe.
std::span<const CommandInfo> runCommands();

} // namespace apricotwing

#endif
