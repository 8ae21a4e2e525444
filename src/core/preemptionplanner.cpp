#include "core/preemptionplanner.h"

#include <algorithm>
#include <tuple>

namespace apricotwing {

namespace {

/// Workers compared before the best plan so far is taken.
constexpr std::uint32_t ComparedWorkers = 64;

} // namespace

bool PreemptionPlanner::Cost::isBelow(const Cost &Other) const {
  // An older oldest victim costs more.
  return std::tuple(WorstClass, Victims, ~Oldest) <
         std::tuple(Other.WorstClass, Other.Victims, ~Other.Oldest);
}

bool PreemptionPlanner::isVictim(const TaskRef &Task, const RunEntry &Run,
                                 TimePoint Now) const {
  const TaskEntry &Entry = Task.task();
  // A start of this very tick has not been sent yet.
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
                               PreemptionPlan &Plan, Cost &Price) const {
  Plan.Worker = Worker;
  Plan.Victims.clear();
  Resources Room = Data.Index.unused(Worker);
  std::vector<std::pair<int, TaskRef>> Choices;
  for (const TaskRef &Task : Data.State.tasksOn(Worker))
    if (isVictim(Task, Run, Now))
      Choices.emplace_back(victimClass(Task), Task);
  std::ranges::sort(Choices, [](const auto &Left, const auto &Right) {
    return std::tuple(Left.first, ~Left.second.task().StartOrder) <
           std::tuple(Right.first, ~Right.second.task().StartOrder);
  });
  Price = {0, 0, ~std::uint64_t(0)};
  for (const auto &[Class, Task] : Choices) {
    if (Need.fitsIn(Room))
      break;
    Room += Task.task().occupied();
    Plan.Victims.push_back(Task);
    Price.WorstClass = std::max(Price.WorstClass, Class);
    Price.Oldest = std::min(Price.Oldest, Task.task().StartOrder);
  }
  Price.Victims = Plan.Victims.size();
  return Need.fitsIn(Room);
}

std::optional<PreemptionPlan>
PreemptionPlanner::plan(const RunEntry &Run, const Resources &Need,
                        const WorkerMask &Candidates, TimePoint Now) const {
  std::optional<PreemptionPlan> Best;
  Cost BestPrice;
  PreemptionPlan Plan;
  Cost Price;
  std::uint32_t Compared = 0;
  Candidates.forEach([&](WorkerIndex Worker) {
    if ((Best && Compared >= ComparedWorkers) || !Data.Index.isOpen(Worker))
      return;
    ++Compared;
    if (!planOn(Worker, Run, Need, Now, Plan, Price))
      return;
    if (Best && !Price.isBelow(BestPrice))
      return;
    Best = Plan;
    BestPrice = Price;
  });
  return Best;
}

} // namespace apricotwing
