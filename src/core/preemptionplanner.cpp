#include "core/preemptionplanner.h"

#include <algorithm>
#include <tuple>

namespace apricotwing {

namespace {

/// Once a plan exists, the search ends after this many workers.
constexpr std::uint32_t MaxComparedWorkers = 64;

} // namespace

bool PreemptionPlanner::Cost::isBelow(const Cost &Other) const {
  // A plan costs more if its oldest victim was started earlier.
  return std::tuple(WorstClass, Victims, ~Oldest) <
         std::tuple(Other.WorstClass, Other.Victims, ~Other.Oldest);
}

bool PreemptionPlanner::isVictim(const TaskRef &Task, const RunEntry &Run,
                                 TimePoint Now) const {
  const TaskEntry &Entry = Task.task();
  // The start command of a task that was started in this tick has not been sent
  // yet.
  if (Entry.State == TaskState::Stopping || Entry.Since == Now ||
      Task.Run->Record.Spec.Urgency == Priority::Urgent)
    return false;
  if (Task.Run->Team == Run.Team || !Data.Shares.isAboveShare(Run.Team))
    return true;
  return Data.Shares.rank(Task.Run->Team) > Data.Shares.rank(Run.Team);
}

int PreemptionPlanner::victimClass(const TaskRef &Task) const {
  const RunSpec &Spec = Task.Run->Record.Spec;
  return (Data.Shares.isAboveShare(Task.Run->Team) ? 0 : 4) +
         (Spec.Checkpointable ? 0 : 2) + (Spec.Kind == RunKind::Gang ? 1 : 0);
}

bool PreemptionPlanner::planOn(WorkerIndex Worker, const RunEntry &Run,
                               const Resources &Need, TimePoint Now,
                               PreemptionPlan &Plan, Cost &PlanCost) const {
  Plan.Worker = Worker;
  Plan.Victims.clear();
  Resources Available = Data.Index.unused(Worker);
  std::vector<std::pair<int, TaskRef>> PossibleVictims;
  for (const TaskRef &Task : Data.State.tasksOn(Worker))
    if (isVictim(Task, Run, Now))
      PossibleVictims.emplace_back(victimClass(Task), Task);
  std::ranges::sort(PossibleVictims, [](const auto &Left, const auto &Right) {
    return std::tuple(Left.first, ~Left.second.task().StartOrder) <
           std::tuple(Right.first, ~Right.second.task().StartOrder);
  });
  PlanCost = {0, 0, ~std::uint64_t(0)};
  for (const auto &[Class, Task] : PossibleVictims) {
    if (Need.fitsIn(Available))
      break;
    Available += Task.task().occupied();
    Plan.Victims.push_back(Task);
    PlanCost.WorstClass = std::max(PlanCost.WorstClass, Class);
    PlanCost.Oldest = std::min(PlanCost.Oldest, Task.task().StartOrder);
  }
  PlanCost.Victims = Plan.Victims.size();
  return Need.fitsIn(Available);
}

std::optional<PreemptionPlan>
PreemptionPlanner::plan(const RunEntry &Run, const Resources &Need,
                        const WorkerMask &Candidates, TimePoint Now) const {
  std::optional<PreemptionPlan> Best;
  Cost BestCost;
  PreemptionPlan Plan;
  Cost PlanCost;
  std::uint32_t Compared = 0;
  Candidates.forEach([&](WorkerIndex Worker) {
    if ((Best && Compared >= MaxComparedWorkers) ||
        !Data.Index.isEligible(Worker))
      return;
    ++Compared;
    if (!planOn(Worker, Run, Need, Now, Plan, PlanCost))
      return;
    if (Best && !PlanCost.isBelow(BestCost))
      return;
    Best = Plan;
    BestCost = PlanCost;
  });
  return Best;
}

} // namespace apricotwing
