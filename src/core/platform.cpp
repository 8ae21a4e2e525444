#include "core/platform.h"

#include "core/error.h"

#include <array>
#include <utility>

namespace apricotwing {

namespace {

constexpr std::array<std::pair<StopMode, std::string_view>, 3> StopModeNames = {
    {{StopMode::Stop, "stop"},
     {StopMode::Checkpoint, "checkpoint"},
     {StopMode::Throttle, "throttle"}}};

} // namespace

std::string_view listedStateName(ListedState Value) {
  return Value == ListedState::Live ? "live" : "leaving";
}

ListedState parseListedState(std::string_view Name) {
  if (Name == "live")
    return ListedState::Live;
  if (Name == "leaving")
    return ListedState::Leaving;
  throw Error(ErrorKind::BadRequest,
              "state has the unknown value '" + std::string(Name) + "'",
              "use one of: live, leaving");
}

std::string_view stopModeName(StopMode Value) {
  for (const auto &[Known, Name] : StopModeNames)
    if (Known == Value)
      return Name;
  return "invalid";
}

StopMode parseStopMode(std::string_view Name) {
  for (const auto &[Known, KnownName] : StopModeNames)
    if (KnownName == Name)
      return Known;
  throw Error(ErrorKind::BadRequest,
              "mode has the unknown value '" + std::string(Name) + "'",
              "use one of: stop, checkpoint, throttle");
}

} // namespace apricotwing
