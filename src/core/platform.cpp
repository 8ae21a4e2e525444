#include "core/platform.h"

#include "core/nametable.h"

namespace apricotwing {

namespace {

constexpr NameTable<ListedState, 2> ListedStateNames = {{
    {ListedState::Live, "live"},
    {ListedState::Leaving, "leaving"},
}};

constexpr NameTable<StopMode, 3> StopModeNames = {{
    {StopMode::Stop, "stop"},
    {StopMode::Checkpoint, "checkpoint"},
    {StopMode::Throttle, "throttle"},
}};

} // namespace

std::string_view listedStateName(ListedState Value) {
  return enumName(ListedStateNames, Value);
}

ListedState parseListedState(std::string_view Name) {
  return parseEnum(ListedStateNames, "state", Name);
}

std::string_view stopModeName(StopMode Value) {
  return enumName(StopModeNames, Value);
}

StopMode parseStopMode(std::string_view Name) {
  return parseEnum(StopModeNames, "mode", Name);
}

} // namespace apricotwing
