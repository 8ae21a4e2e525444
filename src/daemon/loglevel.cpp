#include "daemon/loglevel.h"

#include <array>
#include <utility>

namespace apricotwing {

namespace {

constexpr std::array<std::pair<LogLevel, std::string_view>, 4> LogLevelNames = {
    {
        {LogLevel::Debug, "debug"},
        {LogLevel::Info, "info"},
        {LogLevel::Warning, "warning"},
        {LogLevel::Error, "error"},
    }};

} // namespace

std::string_view logLevelName(LogLevel Value) {
  for (const auto &[Level, Name] : LogLevelNames)
    if (Level == Value)
      return Name;
  return "info";
}

std::optional<LogLevel> logLevelFromName(std::string_view Name) {
  for (const auto &[Level, Known] : LogLevelNames)
    if (Known == Name)
      return Level;
  return std::nullopt;
}

} // namespace apricotwing
