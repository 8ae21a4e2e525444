#include "core/runschedulingstate.h"

#include <utility>

namespace apricotwing {

namespace {

constexpr std::pair<WaitReason, std::string_view> WaitReasonTexts[] = {
    {WaitReason::NotTried, "its turn among the teams has not come yet"},
    {WaitReason::TeamLimit, "the team is at its limit"},
    {WaitReason::Grant, "this shard's part of the team's limit is in use"},
    {WaitReason::NoRoom, "no worker that matches has enough free resources"},
    {WaitReason::ReservedRoom,
     "the free workers are reserved for a run that has waited longer"},
    {WaitReason::GangIncomplete,
     "tasks of the gang's previous start are still ending"},
    {WaitReason::RetryDelay, "the delay after a failure has not passed"},
    {WaitReason::StartsPerTick, "the bound of starts per tick is reached"},
};

} // namespace

std::string_view waitReasonText(WaitReason Value) {
  for (const auto &[Known, Text] : WaitReasonTexts)
    if (Known == Value)
      return Text;
  return "unknown";
}

} // namespace apricotwing
