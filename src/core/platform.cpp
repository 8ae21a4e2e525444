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
  return nameIn(ListedStateNames, Value);
}

ListedState parseListedState(std::string_view Name) {
  return parseIn(ListedStateNames, "state", Name);
}

std::string_view stopModeName(StopMode Value) {
  return nameIn(StopModeNames, Value);
}

StopMode parseStopMode(std::string_view Name) {
  return parseIn(StopModeNames, "mode", Name);
}

} // namespace apricotwing
