#include "core/feasibility.h"

namespace apricotwing {

namespace {

constexpr std::size_t MaxCachedShapes = 10'000;

std::string describe(const Resources &Value) {
  return std::to_string(Value.CpuMillis) + " millicores, " +
         std::to_string(Value.MemoryMib) + " MiB, " +
         std::to_string(Value.Accelerators) + " accelerators";
}

} // namespace

std::uint32_t Feasibility::simultaneousTasks(const RunEntry &Run) {
  return Run.Record.Spec.Kind == RunKind::Gang ? Run.Record.Spec.Tasks : 1;
}

std::uint64_t Feasibility::slots(const Resources &Need,
                                 const Labels &Selector) {
  if (CachedGeneration != Data.Generation ||
      SlotsByShape.size() > MaxCachedShapes) {
    SlotsByShape.clear();
    CachedGeneration = Data.Generation;
  }
  const auto [Found, Inserted] = SlotsByShape.try_emplace(
      {Need.CpuMillis, Need.MemoryMib, Need.Accelerators, Selector}, 0);
  if (Inserted)
    Found->second =
        Data.Index.slotsWhenEmpty(Need, Data.Index.matching(Selector));
  return Found->second;
}

std::string Feasibility::obstacle(const RunEntry &Run) {
  const RunSpec &Spec = Run.Record.Spec;
  const TeamQueue &Queue = Data.queue(Run);
  if (!Queue.Configured)
    return "team " + Run.Record.Team +
           " is not configured; have both owners sign its shares and limit";
  const std::uint32_t SimultaneousTasks = simultaneousTasks(Run);
  const Resources Needed = Spec.PerTask * SimultaneousTasks;
  if (!Needed.fitsIn(Queue.Limit))
    return "it needs " + describe(Needed) + " at once, above the limit of " +
           describe(Queue.Limit) + "; ask for less or raise the limit";
  if (Data.Index.matching(Spec.Selector).empty())
    return "no worker has all labels of the selector; change the selector or "
           "label workers";
  const std::uint64_t Slots = slots(Spec.PerTask, Spec.Selector);
  if (Slots == 0)
    return "no matching worker is large enough for " + describe(Spec.PerTask) +
           " even when empty; ask for less per task";
  if (Slots < SimultaneousTasks)
    return "the matching workers hold only " + std::to_string(Slots) +
           " of the gang's " + std::to_string(SimultaneousTasks) +
           " tasks even when empty; ask for fewer or smaller tasks";
  return "";
}

Resources Feasibility::reservation(const RunEntry &Run) {
  const RunSpec &Spec = Run.Record.Spec;
  const Resources Wanted =
      Data.Estimator.reservation(Run.Scheduling.Class, Spec.PerTask);
  if (Wanted == Spec.PerTask)
    return Wanted;
  const std::uint32_t SimultaneousTasks = simultaneousTasks(Run);
  const bool CanBePlaced =
      (Wanted * SimultaneousTasks).fitsIn(Data.queue(Run).Limit) &&
      slots(Wanted, Spec.Selector) >= SimultaneousTasks;
  return CanBePlaced ? Wanted : Spec.PerTask;
}

} // namespace apricotwing
