/// \file
/// Commands for keys.
#ifndef APRICOTWING_CLI_KEYCOMMANDS_H
#define APRICOTWING_CLI_KEYCOMMANDS_H

#include "cli/command.h"

#include <span>

namespace apricotwing {

/// Rows of this group in the command table. Thread-safe.
std::span<const CommandInfo> keyCommands();

} // namespace apricotwing

#endif
