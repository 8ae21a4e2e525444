/// \file
/// Commands for API keys: list, create, revoke, generate.
#ifndef APRICOTWING_CLI_KEYCOMMANDS_H
#define APRICOTWING_CLI_KEYCOMMANDS_H

#include "cli/command.h"

#include <span>

namespace apricotwing {

/// The entries of the command table for this group. Thread-safe.
std::span<const CommandInfo> keyCommands();

} // namespace apricotwing

#endif
