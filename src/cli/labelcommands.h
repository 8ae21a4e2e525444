/// \file
/// Commands for labels of workers.
#ifndef APRICOTWING_CLI_LABELCOMMANDS_H
#define APRICOTWING_CLI_LABELCOMMANDS_H

#include "cli/command.h"

#include <span>

namespace apricotwing {

/// Rows of this group in the command table. Thread-safe.
std::span<const CommandInfo> labelCommands();

} // namespace apricotwing

#endif
