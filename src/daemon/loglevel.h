/// \file
/// Levels of log lines and their names.
#ifndef APRICOTWING_DAEMON_LOGLEVEL_H
#define APRICOTWING_DAEMON_LOGLEVEL_H

#include <optional>
#include <string_view>

namespace apricotwing {

/// Log levels in ascending order of severity.
enum class LogLevel { Debug, Info, Warning, Error };

/// Returns "debug", "info", "warning" or "error". Thread-safe.
std::string_view logLevelName(LogLevel Value);

/// Returns the level called \p Name; empty if there is none. Thread-safe.
std::optional<LogLevel> logLevelFromName(std::string_view Name);

} // namespace apricotwing

#endif
