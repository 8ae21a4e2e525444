/// \file
/// Commands for worker labels: list, set, remove.
#ifndef APRICOTWING_CLI_LABELCOMMANDS_H
#define APRICOTWING_CLI_LABELCOMMANDS_H

#include "cli/command.h"

#include <span>

namespace apricotwing {

/// The entries of the command table for this group. Thread-safe.
std::span<const CommandInfo> labelCommands();

} // namespace apricotwing

#endif
