/// \file
/// Levels of log lines and their names.
#ifndef APRICOTWING_DAEMON_LOGLEVEL_H
#define APRICOTWING_DAEMON_LOGLEVEL_H

#include <optional>
#include <string_view>

namespace apricotwing {

/// Levels in ascending order of importance.
enum class LogLevel { Debug, Info, Warning, Error };

/// "debug", "info", "warning" or "error". Thread-safe.
std::string_view logLevelName(LogLevel Value);

/// Level for a name; empty if the name is unknown. Thread-safe.
std::optional<LogLevel> logLevelFromName(std::string_view Name);

} // namespace apricotwing

#endif
